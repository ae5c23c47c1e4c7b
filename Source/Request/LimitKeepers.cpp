#include "Request/LimitKeepers.h"

#include <boost/container_hash/hash.hpp>

namespace wisteria {

namespace {

/// Without any answer to so many questions over this time, a gateway is silent.
constexpr milliseconds silentAfter{1500};
constexpr std::uint32_t silentQuestions = 5;
/// Pause between two questions to a silent gateway.
constexpr milliseconds tryAgainPause{1000};

std::size_t rankOf(const std::string &gateway, const std::string &server)
{
    std::size_t rank = 0;
    boost::hash_combine(rank, gateway);
    boost::hash_combine(rank, server);
    return rank;
}

} // namespace

std::optional<std::string> keeperOf(const PeerGateways &gateways, const std::string &server,
                                    TimePoint now)
{
    std::optional<std::string> keeper;
    std::size_t highest = 0;
    for (const auto &[name, gateway] : gateways) {
        const std::size_t rank = rankOf(name, server);
        if (isSilent(gateway, now) || (keeper && rank <= highest))
            continue;
        keeper = name;
        highest = rank;
    }
    return keeper;
}

void noteAsked(PeerGateway &gateway, TimePoint now)
{
    gateway.askedAt = now;
    if (gateway.unanswered++ == 0)
        gateway.firstUnansweredAt = now;
}

void noteHeard(PeerGateways &gateways, const Endpoint &from)
{
    for (auto &[name, gateway] : gateways) {
        if (gateway.address == from)
            gateway.unanswered = 0;
    }
}

bool isSilent(const PeerGateway &gateway, TimePoint now)
{
    return gateway.unanswered >= silentQuestions && now - gateway.firstUnansweredAt >= silentAfter;
}

bool shouldTryAgain(const PeerGateway &gateway, TimePoint now)
{
    return isSilent(gateway, now) && now - gateway.askedAt >= tryAgainPause;
}

} // namespace wisteria
