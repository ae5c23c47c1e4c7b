#pragma once

#include <string>

namespace wisteria::soak {

/// Stops two gateways in turn and starts them again, without other faults, under callers that ask
/// again at once. Checks that each request on a connection that a gateway had accepted gets a
/// status, and prints the counts.
/// @param program Path of the gateway's program.
/// @param folder Folder for the logs of the gateways.
/// @param stops Number of stops.
/// @return Whether nothing was violated.
bool runRollingStops(const std::string &program, const std::string &folder, int stops);

} // namespace wisteria::soak
