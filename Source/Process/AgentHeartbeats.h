#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Connection/PeerPool.h"
#include "Peer.pb.h"
#include "Process/EventLoop.h"
// Whom to ask follows from the routing state.
#include "Request/EntryRequest.h"

namespace wisteria {

/// Asks agents for a sign of life from the control loop. Traffic tells more and sooner; heartbeats
/// are for backend servers that get none, and carry suspects and configuration versions.
class AgentHeartbeats
{
public:
    /// Called with each answer, or with nothing when none came in time.
    using Answered = std::function<void(const std::string &backendServer,
                                        const std::optional<v1::Heartbeat> &reply)>;

    /// @param state Routing state of the control loop; outlives this object, as all others do.
    /// @param describe Makes the heartbeat that is sent.
    AgentHeartbeats(EventLoop &loop, PeerPool &peers, const EntryState &state,
                    std::function<v1::Heartbeat()> describe, Answered answered);

    /// Begins; goes on until the loop stops.
    void start();

private:
    void sendAll();
    void send(const std::string &backendServer, const v1::Heartbeat &heartbeat);

    EventLoop &loop_;
    PeerPool &peers_;
    const EntryState &state_;
    std::function<v1::Heartbeat()> describe_;
    Answered answered_;
    std::map<std::string, bool> awaited_;
};

/// Time between two heartbeats to the same agent. Grows with the number of agents, so that the
/// control traffic of an entry stays within its 7 KB a second at any size.
milliseconds heartbeatInterval(std::size_t agents);

} // namespace wisteria
