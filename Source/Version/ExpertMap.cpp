#include "Version/ExpertMap.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

std::uint64_t totalSlots(const RankGroup &group)
{
    std::uint64_t slots = 0;
    for (const RankCapacity &rank : group.ranks)
        slots += rank.slots;
    return slots;
}

Result<void> checkRank(const RankGroup &group, std::size_t index)
{
    const RankCapacity &rank = group.ranks[index];
    const std::string name = "rank " + std::to_string(index);
    if (rank.slots == 0 || rank.slots > group.experts) {
        return failure(ErrorKind::BadSettings,
                       name + " has " + std::to_string(rank.slots)
                           + " slots per layer; set between 1 and the number of experts, "
                           + std::to_string(group.experts));
    }
    if (!std::isfinite(rank.speed) || rank.speed <= 0) {
        return failure(ErrorKind::BadSettings,
                       name + " has speed " + std::to_string(rank.speed)
                           + "; set a number above 0, 1 for a healthy rank");
    }
    return boost::outcome_v2::success();
}

bool isValidWeight(double weight)
{
    return std::isfinite(weight) && weight >= 0;
}

} // namespace

Result<void> checkRankGroup(const RankGroup &group)
{
    if (group.ranks.empty() || group.layers == 0 || group.experts == 0) {
        return failure(ErrorKind::BadSettings,
                       "the group has no ranks, layers or experts; declare at least one of each");
    }
    for (std::size_t i = 0; i < group.ranks.size(); ++i) {
        BOOST_OUTCOME_TRYV(checkRank(group, i));
    }
    if (totalSlots(group) < group.experts) {
        return failure(ErrorKind::BadSettings,
                       std::to_string(totalSlots(group)) + " slots can't hold "
                           + std::to_string(group.experts)
                           + " experts per layer; increase the slots of each rank or add ranks");
    }
    if (!(group.storeBytesPerSecond > 0) || !std::isfinite(group.storeBytesPerSecond)) {
        return failure(ErrorKind::BadSettings,
                       "the weight store's rate is not above 0; set its bytes per second");
    }
    const double weights = group.skewWeight + group.costWeight;
    if (!isValidWeight(group.skewWeight) || !isValidWeight(group.costWeight) || weights <= 0) {
        return failure(ErrorKind::BadSettings,
                       "the weights of skew and cost are both 0, or one is negative or not finite; "
                       "set two numbers of at least 0, one of them above 0");
    }
    return boost::outcome_v2::success();
}

Result<void> checkLayerMap(const RankGroup &group, const LayerMap &map)
{
    if (map.ranks.size() != group.ranks.size()) {
        return failure(ErrorKind::BadInput,
                       "the map is for " + std::to_string(map.ranks.size())
                           + " ranks, but the group has " + std::to_string(group.ranks.size())
                           + "; use a map for this group");
    }
    std::vector<bool> placed(group.experts, false);
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        std::vector<ExpertId> held = map.ranks[rank];
        std::sort(held.begin(), held.end());
        const bool twice = std::adjacent_find(held.begin(), held.end()) != held.end();
        const bool unknown = !held.empty() && held.back() >= group.experts;
        if (held.size() > group.ranks[rank].slots || twice || unknown) {
            return failure(ErrorKind::BadInput,
                           "rank " + std::to_string(rank) + " has more experts than its "
                               + std::to_string(group.ranks[rank].slots)
                               + " slots, an expert twice, or one that does not exist; "
                                 "use a map for this group");
        }
        for (const ExpertId expert : held)
            placed[expert] = true;
    }
    const auto missing = std::find(placed.begin(), placed.end(), false);
    if (missing != placed.end()) {
        return failure(ErrorKind::BadInput,
                       "expert " + std::to_string(missing - placed.begin())
                           + " is on no rank; place at least one replica of it");
    }
    return boost::outcome_v2::success();
}

LayerMap initialLayerMap(const RankGroup &group)
{
    LayerMap map;
    map.ranks.resize(group.ranks.size());
    ExpertId next = 0;
    for (std::size_t rank = 0; rank < group.ranks.size(); ++rank) {
        for (std::uint32_t slot = 0; slot < group.ranks[rank].slots; ++slot) {
            map.ranks[rank].push_back(next);
            next = (next + 1) % group.experts;
        }
    }
    return map;
}

std::vector<std::uint32_t> replicaCounts(const LayerMap &map, std::uint32_t experts)
{
    std::vector<std::uint32_t> counts(experts, 0);
    for (const std::vector<ExpertId> &rank : map.ranks) {
        for (const ExpertId expert : rank)
            ++counts[expert];
    }
    return counts;
}

std::vector<double> rankTimes(const RankGroup &group, const LayerMap &map,
                              const std::vector<double> &loads)
{
    const std::vector<std::uint32_t> counts = replicaCounts(map, group.experts);
    std::vector<double> times(map.ranks.size(), 0.0);
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        for (const ExpertId expert : map.ranks[rank])
            times[rank] += loads[expert] / counts[expert];
        times[rank] /= group.ranks[rank].speed;
    }
    return times;
}

double layerSkew(const RankGroup &group, const LayerMap &map, const std::vector<double> &loads)
{
    double load = 0;
    for (const double expertLoad : loads)
        load += expertLoad;
    double speed = 0;
    for (const RankCapacity &rank : group.ranks)
        speed += rank.speed;
    if (load <= 0)
        return 1.0;
    const std::vector<double> times = rankTimes(group, map, loads);
    return *std::max_element(times.begin(), times.end()) / (load / speed);
}

std::vector<ExpertId> missingExperts(const std::vector<ExpertId> &from,
                                     const std::vector<ExpertId> &to)
{
    std::vector<ExpertId> missing;
    for (const ExpertId expert : to) {
        if (std::find(from.begin(), from.end(), expert) == from.end())
            missing.push_back(expert);
    }
    return missing;
}

std::uint32_t countMoves(const LayerMap &from, const LayerMap &to)
{
    std::uint32_t moves = 0;
    for (std::size_t rank = 0; rank < to.ranks.size(); ++rank)
        moves +=
            static_cast<std::uint32_t>(missingExperts(from.ranks[rank], to.ranks[rank]).size());
    return moves;
}

bool reserveStagingCapacity(std::vector<std::uint32_t> &capacity, const LayerMap &current,
                            const LayerMap &next)
{
    std::vector<std::uint32_t> left = capacity;
    for (std::size_t rank = 0; rank < left.size(); ++rank) {
        const std::size_t needed = missingExperts(current.ranks[rank], next.ranks[rank]).size();
        if (needed > left[rank])
            return false;
        left[rank] -= static_cast<std::uint32_t>(needed);
    }
    capacity = std::move(left);
    return true;
}

} // namespace wisteria
