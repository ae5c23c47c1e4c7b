#pragma once

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

#include "Process/Endpoint.h"
#include "Process/Time.h"

namespace wisteria {

/// The link of a VM, as far as messages to and from many sidecars are concerned.
struct LinkBandwidth
{
    double bytesPerMillisecond = 1000;
};

inline LinkBandwidth linkBandwidthOf(double megabitsPerSecond)
{
    constexpr double bytesPerMegabit = 125'000;
    constexpr double millisecondsPerSecond = 1000;
    return {megabitsPerSecond * bytesPerMegabit / millisecondsPerSecond};
}

/// How long one VM's link may be busy with a message to many, or with their answers. Beyond it,
/// relays pay although each stage adds its way and its processing.
constexpr milliseconds linkTimePerStage{16};
/// Branches at least, however large the message: with fewer the stages become too many.
constexpr std::size_t minBranches = 5;
/// So many receivers for each branch still get the message directly; one more stage would take
/// longer.
constexpr std::size_t directPerBranch = 2;

/// One send of a message to many engines' sidecars: to the first, which passes it on to the rest.
struct RelayBranch
{
    Endpoint first;
    std::vector<Endpoint> rest;
};

/// Branches for a message to so many receivers; as many as receivers when it goes to each directly.
inline std::size_t branchCount(std::size_t receivers, std::size_t messageBytes,
                               const LinkBandwidth &bandwidth)
{
    const double inTime =
        bandwidth.bytesPerMillisecond * static_cast<double>(linkTimePerStage.count());
    const double bytes = static_cast<double>(std::max<std::size_t>(messageBytes, 1));
    const auto fitting = static_cast<std::size_t>(inTime / bytes);
    const std::size_t branches = std::max(minBranches, fitting);
    return receivers <= branches * directPerBranch ? receivers : branches;
}

/// Splits the receivers of a message into branches. A message of few bytes in all goes to each
/// receiver directly; the relay of a branch splits it again.
///
/// With one stage of relays a large group's map, and the counts of its ranks, keep the leader's
/// link busy for longer than a pass takes: statuses and orders between them come late or get lost.
/// @param engines The ones that were heard of last come first. The first of each branch is its
/// relay, as one that is gone costs its whole branch a resend; the rest keep their order, by which
/// the relay chooses the next ones. Neighbouring addresses, which are mostly in one failure domain,
/// share a branch.
inline std::vector<RelayBranch> relayPlan(const std::vector<Endpoint> &engines,
                                          std::size_t messageBytes, const LinkBandwidth &bandwidth)
{
    std::vector<std::size_t> byAddress(engines.size());
    std::iota(byAddress.begin(), byAddress.end(), 0);
    std::sort(byAddress.begin(), byAddress.end(),
              [&engines](std::size_t a, std::size_t b) { return engines[a] < engines[b]; });
    const std::size_t count = branchCount(engines.size(), messageBytes, bandwidth);
    std::vector<RelayBranch> branches;
    for (std::size_t branch = 0; branch < count; ++branch) {
        const auto at = [&](std::size_t index) {
            return byAddress.begin() + static_cast<std::ptrdiff_t>(index * engines.size() / count);
        };
        std::vector<std::size_t> members(at(branch), at(branch + 1));
        std::sort(members.begin(), members.end());
        RelayBranch &added = branches.emplace_back(RelayBranch{engines[members.front()], {}});
        for (auto member = members.begin() + 1; member != members.end(); ++member)
            added.rest.push_back(engines[*member]);
    }
    return branches;
}

/// How long a sidecar's own answer takes, with the way there and back and the reading of its
/// engine.
constexpr milliseconds ownAnswerTime{25};

/// Time within which the answers of so many sidecars are there, each summed up on the way: the
/// stages wait for each other, and the answers to each of them share its link.
inline milliseconds gatherTime(std::size_t sidecars, std::size_t answerBytes,
                               const LinkBandwidth &bandwidth)
{
    milliseconds time = ownAnswerTime;
    while (sidecars > 0) {
        const std::size_t branches = branchCount(sidecars, answerBytes, bandwidth);
        const double bytes = static_cast<double>(branches * answerBytes);
        time += milliseconds(static_cast<int>(bytes / bandwidth.bytesPerMillisecond));
        sidecars = (sidecars + branches - 1) / branches - 1;
        if (sidecars > 0)
            time += ownAnswerTime;
    }
    return time;
}

} // namespace wisteria
