#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Peer.pb.h"
#include "Process/Time.h"

namespace wisteria {

/// Heartbeat of one probed process.
struct ProbeResult
{
    std::string address;
    /// Nothing if no complete answer arrived before the timeout.
    std::optional<v1::Heartbeat> heartbeat;
};

/// Requests a heartbeat from processes, up to 256 in parallel, and waits for the answers. Keeps no
/// connections between calls, so that an idle admin puts no load on the fleet.
/// @param own Heartbeat of the calling process, which is sent along.
/// @param timeout For each batch of 256 addresses.
/// @return One result for each address, in the same order.
std::vector<ProbeResult> probeFleet(const std::vector<std::string> &addresses,
                                    const v1::Heartbeat &own, milliseconds timeout);

/// Requests a configuration of a version above `newerThan` from peers.
/// @return The one with the highest `as_of` among the answers; nothing if none is newer.
std::optional<v1::SnapshotRecord> fetchConfigFromPeers(const std::vector<std::string> &addresses,
                                                       std::uint64_t newerThan,
                                                       milliseconds timeout);

} // namespace wisteria
