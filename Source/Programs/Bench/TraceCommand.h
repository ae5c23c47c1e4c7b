#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// `wisteria-bench trace`: writes a generated trace.
Result<void> runTraceCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
