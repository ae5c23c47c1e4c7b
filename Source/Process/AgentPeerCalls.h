#pragma once

#include <memory>
#include <set>
#include <string>

#include "Connection/PeerPool.h"
#include "Connection/PeerServer.h"
#include "Process/AgentWorkerEvents.h"
// The messages read and change the state of admission control.
#include "Request/AgentAdmission.h"

namespace wisteria {

/// Identity of an agent as it reports it to its peers.
struct AgentIdentity
{
    std::string name;
    /// Differs between incarnations of the process.
    std::uint64_t incarnation = 0;
};

/// An agent's control messages to and from peers: heartbeats, configuration and handover of keys.
/// Runs on the traffic loop, as admission control does.
class AgentPeerCalls
{
public:
    /// All references outlive this object.
    AgentPeerCalls(EventLoop &loop, PeerServer &server, AdmissionState &admission,
                   AgentIdentity identity, const AgentWorkerEvents &events);

    /// Starts sending handover requests to former owners of keys; continues until the loop stops.
    void start();

    /// Answers one message; aborts the stream if it is malformed or its path is unknown.
    void received(PeerStreamId stream, const std::string &path, const std::string &content);

    /// Sets the configuration that peers may fetch.
    void setConfiguration(std::shared_ptr<const ConfigState> config);

private:
    void heartbeatReceived(PeerStreamId stream, const std::string &content);
    void configRequested(PeerStreamId stream, const std::string &content);
    void handoverRequested(PeerStreamId stream, const std::string &content);
    void fetchConfig(const std::string &address);
    void requestHandovers();
    v1::Heartbeat ownHeartbeat(TimePoint now) const;
    void answer(PeerStreamId stream, const google::protobuf::MessageLite &message);

    EventLoop &loop_;
    PeerServer &server_;
    AdmissionState &admission_;
    AgentIdentity identity_;
    const AgentWorkerEvents &events_;
    PeerPool peers_;
    std::shared_ptr<const ConfigState> config_;
    std::set<std::string> handoversInFlight_;
    bool fetching_ = false;
};

} // namespace wisteria
