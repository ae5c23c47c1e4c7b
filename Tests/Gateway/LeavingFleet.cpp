#include "Gateway/LeavingFleet.h"

#include <algorithm>
#include <utility>

#include <poll.h>

#include "Gateway/GatewayUnderTest.h"

namespace wisteria::gateway_tests {

namespace {

constexpr const char *listTopic = "keyed.servers";
/// Heartbeat intervals of silence after which an entry expires.
constexpr int intervalsToExpiry = 3;

} // namespace

LeavingFleet::LeavingFleet(std::size_t gateways, std::size_t servers,
                           milliseconds heartbeatInterval)
    : fleet(gateways), heartbeatInterval_(heartbeatInterval), servers_(servers)
{
    const TimePoint now = monotonicNow();
    for (std::size_t i = 0; i < servers; ++i) {
        Server &server = servers_[i];
        server.id = "i-" + std::to_string(i);
        server.dueAt = now + heartbeatInterval * (i + 1) / servers;
        server.program = std::make_unique<ScriptedServer>(
            [this, i](const SeenRequest &request, ScriptPeer &peer) {
                {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    servers_[i].arrivals.push_back(monotonicNow());
                }
                peer.send(sealed(request, 200, "here"));
            });
        server.heartbeatAt = now;
        writeEntry(server, "ready", ++server.sequence);
    }
    writer_ = std::thread([this] { run(); });
}

LeavingFleet::~LeavingFleet()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    writer_.join();
    // Their scripts use members of this object.
    for (Server &server : servers_)
        server.program.reset();
}

void LeavingFleet::start()
{
    fleet.start("heartbeat_ms=" + std::to_string(heartbeatInterval_.count()) + "\n");
}

void LeavingFleet::writeEntry(Server &server, const std::string &state, std::uint64_t sequence)
{
    fleet.store.put(listTopic, server.id,
                    {{"service", "plain"},
                     {"address", toText(server.program->endpoint())},
                     {"zone", "a"},
                     {"slot_count", 8},
                     {"state", state},
                     {"born", 1},
                     {"sequence", sequence}});
}

void LeavingFleet::leave(std::size_t index, Notice notice)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    Server &server = servers_[index];
    const std::uint64_t older = server.sequence + 1;
    server.sequence += 2;
    if (notice == Notice::Removal)
        fleet.store.append(listTopic, server.id, "");
    else
        writeEntry(server, "draining", server.sequence);
    server.leftAt = monotonicNow();
    if (notice == Notice::DrainingThenOlder)
        writeEntry(server, "ready", older);
}

void LeavingFleet::beginOutage(StoreFault fault, std::vector<milliseconds> backAfter)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    storeAway_ = true;
    backAfter_ = std::move(backAfter);
    fleet.store.setFaults([fault](const std::string &) { return fault; });
}

void LeavingFleet::endOutage()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    storeAway_ = false;
    fleet.store.setFaults({});
    const TimePoint now = monotonicNow();
    for (std::size_t i = 0; i < servers_.size(); ++i)
        servers_[i].dueAt = now + backAfter_[i];
}

void LeavingFleet::run()
{
    constexpr int periodMs = 5;
    for (;;) {
        ::poll(nullptr, 0, periodMs);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_)
            return;
        for (Server &server : servers_)
            keepEntry(server, monotonicNow());
    }
}

/// Writes a server's heartbeat when it is due, or removes its entry when it expires.
void LeavingFleet::keepEntry(Server &server, TimePoint now)
{
    if (server.leftAt)
        return;
    if (server.listed && now - server.heartbeatAt >= intervalsToExpiry * heartbeatInterval_) {
        fleet.store.append(listTopic, server.id, "");
        server.listed = false;
    }
    if (storeAway_ || now < server.dueAt)
        return;
    writeEntry(server, "ready", ++server.sequence);
    server.listed = true;
    server.heartbeatAt = now;
    server.dueAt = now + heartbeatInterval_;
}

std::size_t LeavingFleet::lateArrivals(milliseconds bound) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t late = 0;
    for (const Server &server : servers_) {
        if (!server.leftAt)
            continue;
        const TimePoint last = *server.leftAt + bound;
        late +=
            static_cast<std::size_t>(std::count_if(server.arrivals.begin(), server.arrivals.end(),
                                                   [last](TimePoint at) { return at > last; }));
    }
    return late;
}

std::size_t LeavingFleet::arrivals(std::size_t server) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return servers_[server].arrivals.size();
}

} // namespace wisteria::gateway_tests
