#include "Request/LimitOwners.h"

#include <boost/container_hash/hash.hpp>

namespace wisteria {

namespace {

/// A gateway counts as unresponsive after this many unanswered permit requests, the first of them
/// at least this long ago.
constexpr milliseconds unresponsiveAfter{1500};
constexpr std::uint32_t unresponsiveRequests = 5;
/// Interval between two probes of an unresponsive gateway.
constexpr milliseconds probeInterval{1000};

std::size_t rendezvousScore(const std::string &gateway, const std::string &server)
{
    std::size_t score = 0;
    boost::hash_combine(score, gateway);
    boost::hash_combine(score, server);
    return score;
}

} // namespace

std::optional<std::string> limitOwnerOf(const PeerGateways &gateways, const std::string &server,
                                        TimePoint now)
{
    std::optional<std::string> owner;
    std::size_t highest = 0;
    for (const auto &[name, gateway] : gateways) {
        const std::size_t score = rendezvousScore(name, server);
        if (isUnresponsive(gateway, now) || (owner && score <= highest))
            continue;
        owner = name;
        highest = score;
    }
    return owner;
}

void noteRequestSent(PeerGateway &gateway, TimePoint now)
{
    gateway.lastRequestAt = now;
    if (gateway.unanswered++ == 0)
        gateway.firstUnansweredAt = now;
}

void noteMessageReceived(PeerGateways &gateways, const Endpoint &from)
{
    for (auto &[name, gateway] : gateways) {
        if (gateway.address == from)
            gateway.unanswered = 0;
    }
}

bool isUnresponsive(const PeerGateway &gateway, TimePoint now)
{
    return gateway.unanswered >= unresponsiveRequests
        && now - gateway.firstUnansweredAt >= unresponsiveAfter;
}

bool shouldProbe(const PeerGateway &gateway, TimePoint now)
{
    return isUnresponsive(gateway, now) && now - gateway.lastRequestAt >= probeInterval;
}

} // namespace wisteria
