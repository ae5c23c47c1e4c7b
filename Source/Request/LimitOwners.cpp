#include "Request/LimitOwners.h"

#include <boost/container_hash/hash.hpp>

namespace wisteria {

namespace {

/// Without any answer to so many questions over this time, a gateway is silent.
constexpr milliseconds unresponsiveAfter{1500};
constexpr std::uint32_t unresponsiveRequests = 5;
/// Pause between two questions to a silent gateway.
constexpr milliseconds probeInterval{1000};

std::size_t rankOf(const std::string &gateway, const std::string &server)
{
    std::size_t rank = 0;
    boost::hash_combine(rank, gateway);
    boost::hash_combine(rank, server);
    return rank;
}

} // namespace

std::optional<std::string> limitOwnerOf(const PeerGateways &gateways, const std::string &server,
                                        TimePoint now)
{
    std::optional<std::string> owner;
    std::size_t highest = 0;
    for (const auto &[name, gateway] : gateways) {
        const std::size_t rank = rankOf(name, server);
        if (isUnresponsive(gateway, now) || (owner && rank <= highest))
            continue;
        owner = name;
        highest = rank;
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
