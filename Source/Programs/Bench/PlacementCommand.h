#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// `wisteria-bench placement`: replays a trace against one policy and writes what it measured.
Result<void> runPlacementCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
