#pragma once

#include <memory>
#include <set>
#include <string>

#include "Connection/PeerPool.h"
#include "Connection/PeerServer.h"
#include "Process/AgentWorkerEvents.h"
// The questions are about the gate's state.
#include "Request/AgentAdmission.h"

namespace wisteria {

/// Who an agent is, as it tells its peers.
struct AgentIdentity
{
    std::string name;
    /// Differs between lives of the process.
    std::uint64_t incarnation = 0;
};

/// An agent's control talk with its peers: heartbeats, configuration, handover of keys and the map
/// switch. Lives on the traffic loop, where the gate is.
class AgentPeerCalls
{
public:
    /// All references outlive this object.
    AgentPeerCalls(EventLoop &loop, PeerServer &server, AdmissionState &admission,
                   AgentIdentity identity, const AgentWorkerEvents &events);

    /// Begins to ask former homes for their keys; goes on until the loop stops.
    void start();

    /// Answers one message.
    void received(PeerStreamId stream, const std::string &path, const std::string &content);

    /// The configuration that peers may fetch.
    void setConfiguration(std::shared_ptr<const ConfigState> config);

private:
    void heartbeatReceived(PeerStreamId stream, const std::string &content);
    void configAsked(PeerStreamId stream, const std::string &content);
    void handoverAsked(PeerStreamId stream, const std::string &content);
    void fetchConfig(const std::string &address);
    void askHandovers();
    v1::Heartbeat ownHeartbeat(TimePoint now) const;
    void answer(PeerStreamId stream, const google::protobuf::MessageLite &message);

    EventLoop &loop_;
    PeerServer &server_;
    AdmissionState &admission_;
    AgentIdentity identity_;
    const AgentWorkerEvents &events_;
    PeerPool peers_;
    std::shared_ptr<const ConfigState> config_;
    std::set<std::string> asked_;
    bool fetching_ = false;
};

} // namespace wisteria
