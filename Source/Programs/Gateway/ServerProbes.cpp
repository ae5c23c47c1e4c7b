#include "Programs/Gateway/ServerProbes.h"

#include <utility>

namespace wisteria {

ServerProbes::ServerProbes(EventLoop &loop) : loop_(loop) { }

ServerProbes::~ServerProbes() = default;

void ServerProbes::probe(const Endpoint &address, Done done, TimePoint now)
{
    Probe &probe = probes_[address];
    probe.waiting.push_back(std::move(done));
    if (probe.connection)
        return;
    probe.begunAt = now;
    const auto resultOf = [](TcpEnd end) {
        return end == TcpEnd::Refused ? ProbeResult::Refused : ProbeResult::Unknown;
    };
    probe.connection = TcpConnection::connect(
        loop_, address,
        {.connected = [this, address] { finish(address, ProbeResult::Listening); },
         .received = [](std::string_view) {},
         .ended = [this, address, resultOf](TcpEnd end) { finish(address, resultOf(end)); },
         .drained = {}});
}

void ServerProbes::checkTimeouts(TimePoint now)
{
    std::vector<Endpoint> expired;
    for (const auto &[address, probe] : probes_) {
        if (now - probe.begunAt >= probeTimeout)
            expired.push_back(address);
    }
    for (const Endpoint &address : expired)
        finish(address, ProbeResult::Unknown);
}

void ServerProbes::finish(const Endpoint &address, ProbeResult result)
{
    const auto found = probes_.find(address);
    if (found == probes_.end())
        return;
    std::vector<Done> waiting = std::move(found->second.waiting);
    found->second.connection->abort();
    probes_.erase(found);
    for (const Done &done : waiting)
        done(result);
}

} // namespace wisteria
