#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Connection/PeerPool.h"
#include "Peer.pb.h"
#include "Process/EventLoop.h"
// The routing state determines which agents get heartbeats.
#include "Request/EntryRequest.h"

namespace wisteria {

/// Sends heartbeats to agents from the control loop. Frames of requests report load more often;
/// heartbeats serve backend servers without traffic, and carry suspects and configuration versions.
class AgentHeartbeats
{
public:
    /// Called with each reply, or with nothing if none arrived in time.
    using Answered = std::function<void(const std::string &backendServer,
                                        const std::optional<v1::Heartbeat> &reply)>;

    /// @param state Routing state of the control loop; outlives this object, as all references do.
    /// @param makeHeartbeat Returns the heartbeat to send.
    AgentHeartbeats(EventLoop &loop, PeerPool &peers, const EntryState &state,
                    std::function<v1::Heartbeat()> makeHeartbeat, Answered answered);

    /// Starts sending; continues until the loop stops.
    void start();

private:
    void sendAll();
    void send(const std::string &backendServer, const v1::Heartbeat &heartbeat);

    EventLoop &loop_;
    PeerPool &peers_;
    const EntryState &state_;
    std::function<v1::Heartbeat()> makeHeartbeat_;
    Answered answered_;
    std::map<std::string, bool> pending_;
};

/// Time between two heartbeats to the same agent. Grows with the number of agents, up to 10 s, to
/// limit the control traffic of an entry.
milliseconds heartbeatInterval(std::size_t agents);

} // namespace wisteria
