#include "Version/PlacementGreedy.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace wisteria {

namespace {

std::vector<std::uint32_t> chooseReplicaCounts(const RankGroup &group,
                                               const std::vector<double> &loads)
{
    std::uint64_t spare = 0;
    for (const RankCapacity &rank : group.ranks)
        spare += rank.slots;
    spare -= group.experts;
    std::vector<std::uint32_t> counts(group.experts, 1);
    for (; spare > 0; --spare) {
        std::optional<ExpertId> hottest;
        for (ExpertId expert = 0; expert < group.experts; ++expert) {
            if (counts[expert] >= group.ranks.size())
                continue;
            if (!hottest || loads[expert] / counts[expert] > loads[*hottest] / counts[*hottest])
                hottest = expert;
        }
        if (!hottest)
            break;
        ++counts[*hottest];
    }
    return counts;
}

/// The least busy rank that has a free slot and no replica of the expert yet.
std::optional<std::size_t> leastBusyRank(const RankGroup &group, const LayerMap &map,
                                         const std::vector<double> &times, ExpertId expert,
                                         double share)
{
    std::optional<std::size_t> best;
    double bestTime = 0;
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        const std::vector<ExpertId> &held = map.ranks[rank];
        const bool holds = std::find(held.begin(), held.end(), expert) != held.end();
        if (held.size() >= group.ranks[rank].slots || holds)
            continue;
        const double time = times[rank] + share / group.ranks[rank].speed;
        if (!best || time < bestTime) {
            best = rank;
            bestTime = time;
        }
    }
    return best;
}

} // namespace

LayerMap greedyLayerMap(const RankGroup &group, const std::vector<double> &loads)
{
    const std::vector<std::uint32_t> counts = chooseReplicaCounts(group, loads);
    std::vector<ExpertId> replicas;
    for (ExpertId expert = 0; expert < group.experts; ++expert)
        replicas.insert(replicas.end(), counts[expert], expert);
    const auto share = [&](ExpertId expert) { return loads[expert] / counts[expert]; };
    std::stable_sort(replicas.begin(), replicas.end(),
                     [&](ExpertId a, ExpertId b) { return share(a) > share(b); });
    LayerMap map;
    map.ranks.resize(group.ranks.size());
    std::vector<double> times(group.ranks.size(), 0.0);
    for (const ExpertId expert : replicas) {
        const auto rank = leastBusyRank(group, map, times, expert, share(expert));
        // Only a further replica can find no rank; the slot then stays empty.
        if (!rank)
            continue;
        map.ranks[*rank].push_back(expert);
        times[*rank] += share(expert) / group.ranks[*rank].speed;
    }
    return map;
}

} // namespace wisteria
