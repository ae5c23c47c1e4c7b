#pragma once

#include <cstdint>
#include <string>

namespace wisteria::soak {

/// Runs the sidecars of one rank group as processes before engines with little work that execute
/// orders late, and kills the leader or all sidecars right after decisive orders. Checks that no
/// pass begins with two maps, and that maps change again afterwards.
/// @param program Path of the sidecar's program.
/// @param folder Folder for the logs of the sidecars.
/// @return Whether nothing was violated.
bool runRankSwitches(const std::string &program, const std::string &folder, std::uint64_t seed);

} // namespace wisteria::soak
