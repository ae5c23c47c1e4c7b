#pragma once

namespace wisteria {

/// Sends load to a running system and prints what came back as JSON: "wisteria-bench load".
/// @return The process's exit code; not zero when an answer belonged to another request.
int runLoad(int argc, char **argv);

} // namespace wisteria
