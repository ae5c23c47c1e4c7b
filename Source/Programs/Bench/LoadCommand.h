#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// Sends load to a running system and prints what came back as JSON: "wisteria-bench load".
/// @return NotFound for a process that is not there; Internal when an answer belonged to another
/// request.
Result<void> runLoadCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
