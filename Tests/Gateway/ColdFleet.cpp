#include "Gateway/ColdFleet.h"

#include <algorithm>

#include "Gateway/RegistryEntries.h"

namespace wisteria::gateway_tests {

namespace {

constexpr milliseconds tick{5};

Endpoint addressOf(std::size_t gateway)
{
    return {static_cast<std::uint32_t>(gateway + 1), 7340};
}

} // namespace

ColdFleet::ColdFleet(std::size_t gateways, const std::vector<std::string> &servers, double lossRate,
                     std::uint64_t seed)
    : lossRate_(lossRate), random_(seed)
{
    for (std::size_t i = 0; i < gateways; ++i)
        known_["front-" + std::to_string(i)] = {.address = addressOf(i)};
    for (std::size_t i = 0; i < gateways; ++i)
        gateways_.push_back(newPeer());
    for (const std::string &server : servers)
        putEntry(server, std::nullopt);
}

ColdFleet::Peer ColdFleet::newPeer() const
{
    Peer peer;
    peer.known = known_;
    RetryQuota quota;
    noteGateways(quota, static_cast<std::uint32_t>(known_.size()));
    ColdServers &cold = peer.registry.coldServers;
    cold.gateways = assumedGateways(quota);
    cold.bounds = {.overshoot = overshoot_, .slack = 5};
    ServiceRule rule;
    rule.coldPerSecond = coldPerSecond;
    rule.coldDuration = coldTime;
    setColdServices(cold, peer.registry.limits, {{"s", rule}}, now_);
    for (const auto &[server, entry] : entries_)
        putBackend(peer.registry, entry, now_);
    return peer;
}

void ColdFleet::putEntry(const std::string &server, std::optional<milliseconds> coldRemaining)
{
    BackendEntry entry = entryOf(server, 1);
    entry.address.port = static_cast<std::uint16_t>(1000 + std::hash<std::string>()(server) % 9000);
    entry.coldRemaining = coldRemaining;
    entry.recordOffset = ++lastOffset_;
    entries_[server] = entry;
    for (Peer &peer : gateways_)
        putBackend(peer.registry, entry, now_);
}

void ColdFleet::setOvershoot(double overshoot)
{
    overshoot_ = overshoot;
    for (Peer &peer : gateways_)
        peer.registry.coldServers.bounds.overshoot = overshoot;
}

void ColdFleet::setSuspended(std::size_t gateway, bool suspended)
{
    gateways_[gateway].suspended = suspended;
}

void ColdFleet::restart(std::size_t gateway)
{
    gateways_[gateway] = newPeer();
}

std::size_t ColdFleet::ownerOf(const std::string &server) const
{
    return std::stoul(limitOwnerOf(known_, server, now_)->substr(std::string("front-").size()));
}

std::size_t ColdFleet::sent(const std::string &server, TimePoint from, milliseconds time) const
{
    const auto found = sentAt_.find(server);
    if (found == sentAt_.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [&](TimePoint at) { return at >= from && at < from + time; }));
}

std::size_t ColdFleet::maxInSecond() const
{
    std::size_t highest = 0;
    for (const auto &[server, times] : sentAt_) {
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= seconds(1))
                ++first;
            highest = std::max(highest, last - first + 1);
        }
    }
    return highest;
}

void ColdFleet::run(milliseconds time, double requestsPerSecond)
{
    const double perTick =
        requestsPerSecond * secondsOf(tick) / static_cast<double>(gateways_.size());
    for (const TimePoint end = now_ + time; now_ < end; now_ += tick) {
        deliver();
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (gateways_[i].suspended)
                continue;
            for (double left = perTick; left > 0; left -= 1) {
                if (randomUnit() < left)
                    handleRequest(gateways_[i]);
            }
            requestPermits(i);
        }
    }
}

void ColdFleet::handleRequest(Peer &peer)
{
    for (auto &[id, state] : peer.registry.backends)
        state.ownInFlight = full_[id] ? state.entry.slots : 0;
    const BackendChoice choice = chooseBackend(peer.registry, criteriaOf(), now_, randomUnit());
    markPermitWanted(peer.registry.limits, choice.preferredAtLimit, now_);
    if (choice.backend == nullptr)
        return;
    noteSend(peer.registry, *choice.backend, now_);
    sentAt_[choice.backend->entry.id].push_back(now_);
}

void ColdFleet::requestPermits(std::size_t index)
{
    Peer &peer = gateways_[index];
    removeExpiredLimits(peer.registry, now_);
    endColdPhases(peer.registry.coldServers, now_);
    std::vector<PermitRequest> due;
    for (const auto &[id, limit] : peer.registry.limits) {
        if (auto request = nextPermitRequest(peer.registry.limits, id, now_))
            due.push_back(std::move(*request));
    }
    for (const PermitRequest &request : due) {
        const std::string owner = *limitOwnerOf(peer.known, request.server, now_);
        PeerGateway &to = peer.known[owner];
        if (to.address == addressOf(index)) {
            applyPermitReply(peer.registry.limits,
                             answerPermitRequest(peer.owned[request.server], request, now_), now_);
            continue;
        }
        noteRequestSent(to, now_);
        sendDatagram({.from = index, .to = to.address.ip - 1, .request = request});
    }
}

void ColdFleet::sendDatagram(PermitDatagram datagram)
{
    if (datagram.from % groups_ == datagram.to % groups_ && randomUnit() >= lossRate_)
        inTransit_.push_back(std::move(datagram));
}

void ColdFleet::deliver()
{
    std::deque<PermitDatagram> due;
    due.swap(inTransit_);
    for (const PermitDatagram &datagram : due) {
        Peer &peer = gateways_[datagram.to];
        if (peer.suspended)
            continue;
        if (!datagram.request) {
            noteMessageReceived(peer.known, addressOf(datagram.from));
            applyPermitReply(peer.registry.limits, datagram.reply, now_);
            continue;
        }
        OwnedLimit &owned = peer.owned[datagram.request->server];
        sendDatagram({.from = datagram.to,
                      .to = datagram.from,
                      .reply = answerPermitRequest(owned, *datagram.request, now_)});
    }
}

} // namespace wisteria::gateway_tests
