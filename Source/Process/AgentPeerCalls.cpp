#include "Process/AgentPeerCalls.h"

#include <utility>

#include "Connection/FrameCodec.h"
#include "Connection/PeerCall.h"
#include "Version/Snapshot.h"

namespace wisteria {

namespace {

constexpr milliseconds handoverInterval(200);

} // namespace

AgentPeerCalls::AgentPeerCalls(EventLoop &loop, PeerServer &server, AdmissionState &admission,
                               AgentIdentity identity, const AgentWorkerEvents &events)
    : loop_(loop), server_(server), admission_(admission), identity_(std::move(identity)),
      events_(events), peers_(loop, PeerTimeouts{})
{ }

void AgentPeerCalls::start()
{
    requestHandovers();
    loop_.runAfter(handoverInterval, [this] { start(); });
}

void AgentPeerCalls::received(PeerStreamId stream, const std::string &path,
                              const std::string &content)
{
    if (path == "/v1/heartbeat")
        return heartbeatReceived(stream, content);
    if (path == "/v1/config")
        return configRequested(stream, content);
    if (path == "/v1/handover")
        return handoverRequested(stream, content);
    server_.abort(stream);
}

void AgentPeerCalls::setConfiguration(std::shared_ptr<const ConfigState> config)
{
    config_ = std::move(config);
}

void AgentPeerCalls::heartbeatReceived(PeerStreamId stream, const std::string &content)
{
    v1::Heartbeat heartbeat;
    if (!heartbeat.ParseFromString(content))
        return server_.abort(stream);
    const TimePoint now = monotonicNow();
    for (const v1::SuspectReport &report : heartbeat.suspects())
        mergeSuspectReport(admission_.suspects, report, now);
    if (heartbeat.config_version() > admission_.configVersion)
        fetchConfig(heartbeat.address());
    answer(stream, ownHeartbeat(now));
}

v1::Heartbeat AgentPeerCalls::ownHeartbeat(TimePoint now) const
{
    v1::Heartbeat heartbeat;
    heartbeat.set_process(identity_.name);
    heartbeat.set_role("agent");
    heartbeat.set_incarnation(identity_.incarnation);
    heartbeat.set_config_version(admission_.configVersion);
    heartbeat.set_state(admission_.draining ? "leaving" : "serving");
    *heartbeat.mutable_load() = loadReport(admission_);
    for (const v1::SuspectReport &report : suspectReports(admission_.suspects, now))
        *heartbeat.add_suspects() = report;
    return heartbeat;
}

void AgentPeerCalls::fetchConfig(const std::string &address)
{
    if (address.empty() || std::exchange(fetching_, true))
        return;
    v1::ConfigFetch fetch;
    fetch.set_newer_than(admission_.configVersion);
    callPeer<v1::ConfigFetchReply>(peers_.clientFor(address), "/v1/config", fetch,
                                   [this](const std::optional<v1::ConfigFetchReply> &reply) {
                                       fetching_ = false;
                                       if (reply && reply->has_snapshot())
                                           events_.snapshotOffered(reply->snapshot());
                                   });
}

void AgentPeerCalls::configRequested(PeerStreamId stream, const std::string &content)
{
    v1::ConfigFetch fetch;
    if (!fetch.ParseFromString(content))
        return server_.abort(stream);
    v1::ConfigFetchReply reply;
    if (config_ && config_->version > fetch.newer_than())
        *reply.mutable_snapshot() = snapshotOf(*config_);
    answer(stream, reply);
}

void AgentPeerCalls::handoverRequested(PeerStreamId stream, const std::string &content)
{
    v1::KeyHandover request;
    if (!request.ParseFromString(content))
        return server_.abort(stream);
    answer(stream, answerHandover(admission_, request));
}

void AgentPeerCalls::requestHandovers()
{
    for (const HandoverRequest &request : pendingHandovers(admission_)) {
        if (!handoversInFlight_.insert(request.formerOwner).second)
            continue;
        callPeer<v1::KeyHandoverReply>(
            peers_.clientFor(request.address), "/v1/handover", request.message,
            [this, owner = request.formerOwner](const std::optional<v1::KeyHandoverReply> &reply) {
                handoversInFlight_.erase(owner);
                if (reply)
                    handoverAnswered(admission_, owner, *reply, monotonicNow(), wallNow());
            });
    }
}

void AgentPeerCalls::answer(PeerStreamId stream, const google::protobuf::MessageLite &message)
{
    std::string out;
    appendFrame(out, message);
    server_.reply(stream, out, true);
}

} // namespace wisteria
