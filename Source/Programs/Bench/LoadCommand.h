#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// `wisteria-bench load`: sends load to a running system and prints the results as JSON.
/// @return NotFound for a process that does not exist; Internal when an answer lacked the mark of
/// its request.
Result<void> runLoadCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
