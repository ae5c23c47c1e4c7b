#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// Measures how fast changes of the configuration are in force and what following them costs:
/// `--mode publish` fills the log, each `--mode follow` is one process that follows it, and
/// `--mode report` sums up what the followers printed. Utilities/bench-config runs them all.
Result<void> runConfigCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
