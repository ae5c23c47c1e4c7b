#include "Process/AgentHeartbeats.h"

#include <algorithm>
#include <utility>

#include "Connection/PeerCall.h"

namespace wisteria {

namespace {

constexpr milliseconds minInterval(1000);
constexpr milliseconds maxInterval(10'000);
/// Limits heartbeats to 20 a second for up to 200 agents, as each costs control traffic.
constexpr milliseconds intervalPerAgent(50);

} // namespace

milliseconds heartbeatInterval(std::size_t agents)
{
    const milliseconds wanted = intervalPerAgent * static_cast<milliseconds::rep>(agents);
    return std::clamp(wanted, minInterval, maxInterval);
}

AgentHeartbeats::AgentHeartbeats(EventLoop &loop, PeerPool &peers, const EntryState &state,
                                 std::function<v1::Heartbeat()> makeHeartbeat, Answered answered)
    : loop_(loop), peers_(peers), state_(state), makeHeartbeat_(std::move(makeHeartbeat)),
      answered_(std::move(answered))
{ }

void AgentHeartbeats::start()
{
    sendAll();
    loop_.runAfter(heartbeatInterval(heartbeatTargets(state_).size()), [this] { start(); });
}

void AgentHeartbeats::sendAll()
{
    const v1::Heartbeat heartbeat = makeHeartbeat_();
    for (const std::string &name : heartbeatTargets(state_))
        send(name, heartbeat);
}

void AgentHeartbeats::send(const std::string &backendServer, const v1::Heartbeat &heartbeat)
{
    // One heartbeat at a time, so that they do not queue up at a frozen agent.
    if (std::exchange(pending_[backendServer], true))
        return;
    PeerClient &client = peers_.clientFor(agentAddress(state_, backendServer));
    callPeer<v1::Heartbeat>(client, "/v1/heartbeat", heartbeat,
                            [this, backendServer](const std::optional<v1::Heartbeat> &reply) {
                                pending_.erase(backendServer);
                                answered_(backendServer, reply);
                            });
}

} // namespace wisteria
