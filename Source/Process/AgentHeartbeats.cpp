#include "Process/AgentHeartbeats.h"

#include <algorithm>
#include <utility>

#include "Connection/PeerCall.h"

namespace wisteria {

namespace {

constexpr milliseconds shortestInterval(1000);
constexpr milliseconds longestInterval(10'000);
/// One heartbeat and its answer were measured at 134 to 147 bytes; 20 a second make 3 KB.
constexpr milliseconds intervalPerAgent(50);

} // namespace

milliseconds heartbeatInterval(std::size_t agents)
{
    const milliseconds wanted = intervalPerAgent * static_cast<milliseconds::rep>(agents);
    return std::clamp(wanted, shortestInterval, longestInterval);
}

AgentHeartbeats::AgentHeartbeats(EventLoop &loop, PeerPool &peers, const EntryState &state,
                                 std::function<v1::Heartbeat()> describe, Answered answered)
    : loop_(loop), peers_(peers), state_(state), describe_(std::move(describe)),
      answered_(std::move(answered))
{ }

void AgentHeartbeats::start()
{
    sendAll();
    loop_.runAfter(heartbeatInterval(heartbeatTargets(state_).size()), [this] { start(); });
}

void AgentHeartbeats::sendAll()
{
    const v1::Heartbeat heartbeat = describe_();
    for (const std::string &name : heartbeatTargets(state_))
        send(name, heartbeat);
}

void AgentHeartbeats::send(const std::string &backendServer, const v1::Heartbeat &heartbeat)
{
    // One question at a time: a frozen agent must not gather a queue of them.
    if (std::exchange(awaited_[backendServer], true))
        return;
    PeerClient &client = peers_.clientFor(agentAddress(state_, backendServer));
    callPeer<v1::Heartbeat>(client, "/v1/heartbeat", heartbeat,
                            [this, backendServer](const std::optional<v1::Heartbeat> &reply) {
                                awaited_.erase(backendServer);
                                answered_(backendServer, reply);
                            });
}

} // namespace wisteria
