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
    const auto hasLessLoad = [&](ExpertId a, ExpertId b) {
        const double loadA = loads[a] / counts[a];
        const double loadB = loads[b] / counts[b];
        return loadA < loadB || (loadA == loadB && a > b);
    };
    std::vector<ExpertId> heap(group.experts);
    std::iota(heap.begin(), heap.end(), 0);
    std::make_heap(heap.begin(), heap.end(), hasLessLoad);
    while (spare > 0 && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), hasLessLoad);
        const ExpertId mostLoaded = heap.back();
        if (counts[mostLoaded] >= group.ranks.size()) {
            heap.pop_back();
            continue;
        }
        ++counts[mostLoaded];
        --spare;
        std::push_heap(heap.begin(), heap.end(), hasLessLoad);
    }
    return counts;
}

/// Assigns replicas to ranks, one at a time, and tracks the time of each rank.
class Packing
{
public:
    Packing(const RankGroup &group, const std::vector<double> &loads)
        : group_(group), loads_(loads), counts_(chooseReplicaCounts(group, loads)),
          times_(group.ranks.size(), 0.0)
    {
        map_.ranks.resize(group.ranks.size());
    }

    std::vector<ExpertId> replicasBySize() const
    {
        std::vector<ExpertId> replicas;
        for (ExpertId expert = 0; expert < group_.experts; ++expert)
            replicas.insert(replicas.end(), counts_[expert], expert);
        std::stable_sort(replicas.begin(), replicas.end(), [this](ExpertId a, ExpertId b) {
            return loadPerReplica(a) > loadPerReplica(b);
        });
        return replicas;
    }

    /// Returns the least busy rank that has a free slot and no replica of the expert. With
    /// `preferredMap`, only ranks that hold the expert in that map are considered.
    std::optional<std::size_t> leastBusyRank(ExpertId expert, const LayerMap *preferredMap) const
    {
        std::optional<std::size_t> best;
        for (std::size_t rank = 0; rank < map_.ranks.size(); ++rank) {
            if (map_.ranks[rank].size() >= group_.ranks[rank].slots || holds(map_, rank, expert))
                continue;
            if (preferredMap && !holds(*preferredMap, rank, expert))
                continue;
            if (!best || timeWith(rank, expert) < timeWith(*best, expert))
                best = rank;
        }
        return best;
    }

    double timeWith(std::size_t rank, ExpertId expert) const
    {
        return times_[rank] + loadPerReplica(expert) / group_.ranks[rank].speed;
    }

    void put(std::size_t rank, ExpertId expert)
    {
        times_[rank] = timeWith(rank, expert);
        map_.ranks[rank].push_back(expert);
    }

    const LayerMap &map() const { return map_; }

private:
    static bool holds(const LayerMap &map, std::size_t rank, ExpertId expert)
    {
        const std::vector<ExpertId> &held = map.ranks[rank];
        return std::find(held.begin(), held.end(), expert) != held.end();
    }

    double loadPerReplica(ExpertId expert) const { return loads_[expert] / counts_[expert]; }

    const RankGroup &group_;
    const std::vector<double> &loads_;
    std::vector<std::uint32_t> counts_;
    std::vector<double> times_;
    LayerMap map_;
};

double balancedTime(const RankGroup &group, const std::vector<double> &loads)
{
    double speed = 0;
    for (const RankCapacity &rank : group.ranks)
        speed += rank.speed;
    return std::accumulate(loads.begin(), loads.end(), 0.0) / speed;
}

} // namespace

LayerMap greedyLayerMap(const RankGroup &group, const std::vector<double> &loads)
{
    Packing packing(group, loads);
    for (const ExpertId expert : packing.replicasBySize()) {
        // Only a second or later replica can find no rank; a slot stays empty then.
        if (const auto rank = packing.leastBusyRank(expert, nullptr))
            packing.put(*rank, expert);
    }
    return packing.map();
}

LayerMap stickyLayerMap(const RankGroup &group, const std::vector<double> &loads,
                        const LayerMap &current, double ceiling)
{
    const double maxTime = ceiling * balancedTime(group, loads);
    Packing packing(group, loads);
    for (const ExpertId expert : packing.replicasBySize()) {
        auto rank = packing.leastBusyRank(expert, &current);
        if (!rank || packing.timeWith(*rank, expert) > maxTime)
            rank = packing.leastBusyRank(expert, nullptr);
        if (rank)
            packing.put(*rank, expert);
    }
    return packing.map();
}

} // namespace wisteria
