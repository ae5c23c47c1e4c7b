#pragma once

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

#include "Process/Endpoint.h"
#include "Process/Time.h"

namespace wisteria {

/// Bandwidth of a VM's network link for messages to and from many sidecars.
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

/// How long one VM's link may be busy with a message to many receivers, or with their replies.
/// Above this, relays are faster, although each stage adds network and processing time.
constexpr milliseconds linkTimePerStage{16};
/// Minimum number of branches, however large the message is: fewer would need too many stages.
constexpr std::size_t minBranches = 5;
/// Up to this many receivers per branch, all receivers get the message directly, as another stage
/// would take longer.
constexpr std::size_t directReceiversPerBranch = 2;

/// One send of a message to many engines' sidecars: to the first, which relays it to the rest.
struct RelayBranch
{
    Endpoint first;
    std::vector<Endpoint> rest;
};

/// Returns the number of branches for a message; the number of receivers if each gets it directly.
inline std::size_t branchCount(std::size_t receivers, std::size_t messageBytes,
                               const LinkBandwidth &bandwidth)
{
    const double bytesInTime =
        bandwidth.bytesPerMillisecond * static_cast<double>(linkTimePerStage.count());
    const double bytes = static_cast<double>(std::max<std::size_t>(messageBytes, 1));
    const auto fitting = static_cast<std::size_t>(bytesInTime / bytes);
    const std::size_t branches = std::max(minBranches, fitting);
    return receivers <= branches * directReceiversPerBranch ? receivers : branches;
}

/// Splits the receivers of a message into branches; the relay of a branch splits its receivers
/// again. A message whose sends take few bytes in total goes to each receiver directly.
///
/// With only one stage of relays a large group's map, and the counts of its ranks, would keep the
/// leader's link busy for longer than a pass takes, and statuses and orders would be late or lost.
/// @param engines Sorted by the last message received from them, most recent first. The first
/// engine of each branch is its relay: a dead relay costs its whole branch a resend. The rest keep
/// their order, by which the relay chooses the next relays. Neighbouring addresses, which are
/// mostly in one failure domain, share a branch.
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

/// How long a sidecar's own reply takes, including the round trip and reading its engine.
constexpr milliseconds ownReplyTime{25};

/// Returns the time within which the replies of this many sidecars arrive, summed up by the relays.
/// Each stage waits for the next one, and the replies to one relay share its link.
inline milliseconds aggregationTime(std::size_t sidecars, std::size_t answerBytes,
                                    const LinkBandwidth &bandwidth)
{
    milliseconds time = ownReplyTime;
    while (sidecars > 0) {
        const std::size_t branches = branchCount(sidecars, answerBytes, bandwidth);
        const double bytes = static_cast<double>(branches * answerBytes);
        time += milliseconds(static_cast<int>(bytes / bandwidth.bytesPerMillisecond));
        sidecars = (sidecars + branches - 1) / branches - 1;
        if (sidecars > 0)
            time += ownReplyTime;
    }
    return time;
}

} // namespace wisteria
