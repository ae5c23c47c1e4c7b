#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// `wisteria-bench placement`: replays a trace against one policy and writes the results.
/// @return NotFound for a file that can't be opened; BadInput for an invalid flag or trace;
/// BadSettings for an invalid group.
Result<void> runPlacementCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
