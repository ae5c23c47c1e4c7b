#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// One subcommand of wisteria-bench.
struct Subcommand
{
    const char *name;
    const char *summary;
    /// Parses its own flags (the first argument is the subcommand's name) and writes its result.
    Result<void> (*run)(std::vector<std::string> arguments, std::ostream &out);
};

} // namespace wisteria
