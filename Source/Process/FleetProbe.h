#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Peer.pb.h"
#include "Process/Time.h"

namespace wisteria {

/// What one process said of itself when it was asked.
struct ProbeResult
{
    std::string address;
    /// Nothing when no whole answer came in time.
    std::optional<v1::Heartbeat> heartbeat;
};

/// Asks processes of the system for a sign of life, all at once, and waits for the answers. Keeps
/// no connection between calls, so that an admin that nobody asks costs the fleet nothing.
/// @param own What the asker says of itself.
/// @return One result for each address, in the same order.
std::vector<ProbeResult> probeFleet(const std::vector<std::string> &addresses,
                                    const v1::Heartbeat &own, milliseconds timeout);

/// Asks peers for a configuration of a version above `newerThan`.
/// @return The one with the highest `as_of` among those that answered; nothing when none is newer.
std::optional<v1::SnapshotRecord> fetchConfigFromPeers(const std::vector<std::string> &addresses,
                                                       std::uint64_t newerThan,
                                                       milliseconds timeout);

} // namespace wisteria
