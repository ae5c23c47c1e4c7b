#include "Version/DemandPlacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "Version/PlacementSearch.h"

namespace wisteria {

namespace {

/// Share of the counts that is left after a while.
constexpr double fadeTo = 0.25;
constexpr milliseconds fadeTime{300};
/// Counts of a set below which its demand is too uncertain to act on: the noise of one expert's
/// count is then still a tenth of it.
constexpr double leastCounts = 4000;
/// Terms that one set's search may evaluate: some 4 ms of a core at full speed.
constexpr std::uint64_t searchTerms = 300000;

void fade(ExpertDemand &demand, TimePoint now)
{
    if (!demand.fadedAt) {
        demand.fadedAt = now;
        return;
    }
    const std::chrono::duration<double> passed = now - *demand.fadedAt;
    const std::chrono::duration<double> unit = fadeTime;
    const double factor = std::pow(fadeTo, passed.count() / unit.count());
    for (std::vector<double> &set : demand.loads) {
        for (double &load : set)
            load *= factor;
    }
    demand.fadedAt = now;
}

RankGroup groupFor(const ExpertProfile &profile, std::size_t ranks)
{
    RankGroup group;
    group.ranks.assign(ranks, RankCapacity{.slots = profile.expertsPerRank});
    group.layers = 1;
    group.experts = profile.expertsPerSet;
    return group;
}

double sumOf(const std::vector<double> &loads)
{
    return std::accumulate(loads.begin(), loads.end(), 0.0);
}

/// One set of the map in search.
struct SetSearch
{
    std::size_t set = 0;
    double skew = 1;
};

/// The sets in the order of their skew, the worst first: it has the first use of the copies.
std::vector<SetSearch> worstFirst(const RankGroup &group, const ExpertDemand &demand,
                                  const RankMap &present)
{
    std::vector<SetSearch> order;
    for (std::size_t set = 0; set < present.size(); ++set)
        order.push_back({set, layerSkew(group, LayerMap{present[set]}, demand.loads[set])});
    std::sort(order.begin(), order.end(),
              [](const SetSearch &a, const SetSearch &b) { return a.skew > b.skew; });
    return order;
}

bool enoughCounts(const ExpertDemand &demand, std::size_t sets)
{
    if (demand.loads.size() != sets || sets == 0)
        return false;
    return std::all_of(demand.loads.begin(), demand.loads.end(),
                       [](const auto &loads) { return sumOf(loads) >= leastCounts; });
}

} // namespace

void takeCounts(ExpertDemand &demand, const ExpertProfile &profile, std::uint32_t rank,
                const std::vector<std::uint64_t> &counts, TimePoint now)
{
    const std::size_t experts = profile.expertsPerSet;
    if (experts == 0 || counts.size() != profile.sets * experts)
        return;
    fade(demand, now);
    if (demand.loads.size() != profile.sets)
        demand.loads.assign(profile.sets, std::vector<double>(experts, 0));
    std::vector<std::uint64_t> &before = demand.told[rank];
    // What was counted before this process knew the rank says nothing of the present.
    if (before.size() == counts.size()) {
        for (std::size_t i = 0; i < counts.size(); ++i) {
            const std::uint64_t gained = counts[i] >= before[i] ? counts[i] - before[i] : counts[i];
            demand.loads[i / experts][i % experts] += static_cast<double>(gained);
        }
    }
    before = counts;
}

double demandSkew(const ExpertDemand &demand, const RankMap &map)
{
    if (map.empty() || demand.loads.size() != map.size())
        return 1;
    double sum = 0;
    for (std::size_t set = 0; set < map.size(); ++set) {
        RankGroup group;
        group.ranks.assign(map[set].size(), RankCapacity{});
        group.experts = static_cast<std::uint32_t>(demand.loads[set].size());
        sum += layerSkew(group, LayerMap{map[set]}, demand.loads[set]);
    }
    return sum / static_cast<double>(map.size());
}

std::optional<PlacementProposal> proposeMap(const ExpertProfile &profile,
                                            const ExpertDemand &demand, const RankMap &present,
                                            const PlacementBounds &bounds)
{
    if (!enoughCounts(demand, present.size()))
        return std::nullopt;
    const std::size_t ranks = present.front().size();
    const RankGroup group = groupFor(profile, ranks);
    PlacementProposal proposal{.map = present, .skewBefore = demandSkew(demand, present)};
    // No map is better than balanced: most looks end here, without a search of milliseconds.
    if ((proposal.skewBefore - 1) * static_cast<double>(present.size()) < bounds.leastGain)
        return std::nullopt;
    std::vector<std::uint32_t> left(ranks, bounds.loadsPerRank);
    for (const SetSearch &entry : worstFirst(group, demand, present)) {
        const LayerMap layer{present[entry.set]};
        const double total = sumOf(demand.loads[entry.set]);
        const SearchProblem problem{
            .loads = demand.loads[entry.set],
            .noise = std::sqrt(static_cast<double>(profile.expertsPerSet) / total)};
        SearchLimits limits{.maxMoves = static_cast<std::uint32_t>(ranks) * profile.loadsPerMap,
                            .minGainPerMove = bounds.leastGainPerLoad,
                            .stagingRoom = left};
        for (std::uint32_t &room : limits.stagingRoom)
            room = std::min(room, profile.loadsPerMap);
        SearchBudget budget{.terms = searchTerms};
        const SearchResult found = improveLayerMap(group, layer, layer, problem, limits, budget);
        proposal.map[entry.set] = found.map.ranks;
        proposal.loads += found.moves;
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            const auto loaded =
                missingExperts(present[entry.set][rank], found.map.ranks[rank]).size();
            left[rank] -= std::min(left[rank], static_cast<std::uint32_t>(loaded));
        }
    }
    proposal.skewAfter = demandSkew(demand, proposal.map);
    const double gain =
        (proposal.skewBefore - proposal.skewAfter) * static_cast<double>(present.size());
    if (proposal.loads == 0 || gain < bounds.leastGain)
        return std::nullopt;
    return proposal;
}

} // namespace wisteria
