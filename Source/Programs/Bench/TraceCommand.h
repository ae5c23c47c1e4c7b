#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// `wisteria-bench trace`: writes a generated trace.
/// @return BadInput for an unknown kind; BadSettings for an invalid group.
Result<void> runTraceCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
