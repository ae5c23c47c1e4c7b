#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// Compares the ways to run a key at most once: claim records in the log against a home that
/// remembers. Prints JSON; docs/design/at-most-once.md quotes it.
Result<void> runKeysCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
