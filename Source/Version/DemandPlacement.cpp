#include "Version/DemandPlacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "Version/PlacementSearch.h"

namespace wisteria {

namespace {

/// Share of the counts that is left after a while. A shift of demand clears them, so what fades is
/// the noise of single prompts: some ten passes count.
constexpr double decayTo = 0.05;
constexpr milliseconds decayTime{1000};
/// Counts of a set below which its demand is too uncertain to act on: the noise of one expert's
/// count is then still a tenth of it.
constexpr double minCounts = 4000;
/// Terms that one set's search may evaluate: it ends within the time of a pass.
constexpr std::uint64_t searchTerms = 300000;
/// Ranks that each step of the search may move experts to. The busiest one's work goes to the
/// idlest anyway; looking at more of them takes longer and leads to the same skew.
constexpr std::uint32_t searchPartners = 8;

void decay(ExpertDemand &demand, TimePoint now)
{
    if (!demand.decayedAt) {
        demand.decayedAt = now;
        return;
    }
    const std::chrono::duration<double> passed = now - *demand.decayedAt;
    const std::chrono::duration<double> unit = decayTime;
    const double factor = std::pow(decayTo, passed.count() / unit.count());
    for (std::vector<double> &set : demand.loads) {
        for (double &load : set)
            load *= factor;
    }
    demand.decayedAt = now;
}

/// A rank this much slower than usual holds no experts: spread over the others, its share costs
/// them less than its slowness costs all.
constexpr double emptyAtSlowdown = 1.4;

RankGroup groupFor(const ExpertProfile &profile, const std::vector<double> &slowdowns)
{
    RankGroup group;
    for (const double slowdown : slowdowns) {
        group.ranks.push_back({.slots = slowdown >= emptyAtSlowdown ? 0 : profile.expertsPerRank,
                               .speed = 1 / std::max(1.0, slowdown)});
    }
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

std::size_t replicasOf(const LayerMap &map, ExpertId expert)
{
    return static_cast<std::size_t>(
        std::count_if(map.ranks.begin(), map.ranks.end(), [expert](const auto &held) {
            return std::find(held.begin(), held.end(), expert) != held.end();
        }));
}

/// Where an expert may go: the rank that would have the least to do with it.
struct Destination
{
    std::size_t rank = 0;
    /// Place whose expert gives way, or the end of the list for a free place.
    std::size_t slot = 0;
};

std::optional<Destination> destinationFor(const RankGroup &group, const LayerMap &map,
                                          const std::vector<double> &loads, ExpertId expert,
                                          const std::vector<std::uint32_t> &capacity)
{
    const std::vector<double> times = rankTimes(group, map, loads);
    std::optional<Destination> best;
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        const std::vector<ExpertId> &held = map.ranks[rank];
        const bool holds = std::find(held.begin(), held.end(), expert) != held.end();
        if (group.ranks[rank].slots == 0 || capacity[rank] == 0 || holds)
            continue;
        if (best && times[rank] >= times[best->rank])
            continue;
        if (held.size() < group.ranks[rank].slots) {
            best = Destination{rank, held.size()};
            continue;
        }
        for (std::size_t slot = 0; slot < held.size(); ++slot) {
            if (replicasOf(map, held[slot]) > 1)
                best = Destination{rank, slot};
        }
    }
    return best;
}

/// Takes the experts off the ranks that may hold none. One without any other replica stays where
/// it is when no rank has room for it.
LayerMap withoutEmptied(const RankGroup &group, LayerMap map, const std::vector<double> &loads,
                        std::vector<std::uint32_t> capacity)
{
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        if (group.ranks[rank].slots > 0)
            continue;
        const std::vector<ExpertId> leaving = map.ranks[rank];
        for (const ExpertId expert : leaving) {
            if (replicasOf(map, expert) < 2) {
                const auto to = destinationFor(group, map, loads, expert, capacity);
                if (!to)
                    continue;
                --capacity[to->rank];
                std::vector<ExpertId> &held = map.ranks[to->rank];
                if (to->slot < held.size())
                    held[to->slot] = expert;
                else
                    held.push_back(expert);
            }
            std::erase(map.ranks[rank], expert);
        }
    }
    return map;
}

/// The sets in the order of their skew, the worst first: it has the first use of the copies.
std::vector<SetSearch> worstFirst(const RankGroup &group, const ExpertDemand &demand,
                                  const RankMap &current)
{
    std::vector<SetSearch> order;
    for (std::size_t set = 0; set < current.size(); ++set)
        order.push_back({set, layerSkew(group, LayerMap{current[set]}, demand.loads[set])});
    std::sort(order.begin(), order.end(),
              [](const SetSearch &a, const SetSearch &b) { return a.skew > b.skew; });
    return order;
}

/// Experts that one rank may load for one change.
std::uint32_t copiesPerRank(const ExpertProfile &profile, const PlacementBounds &bounds)
{
    const auto maxCopies = profile.copiesPerMap * profile.sets;
    if (profile.copyMilliseconds <= 0)
        return maxCopies;
    const double fit = static_cast<double>(bounds.copyTime.count()) / profile.copyMilliseconds;
    return std::clamp(static_cast<std::uint32_t>(std::min(fit, 1e6)), 1U, std::max(1U, maxCopies));
}

/// Skew of one set that each loaded expert must gain.
double minGainPerCopy(const ExpertProfile &profile, const PlacementBounds &bounds)
{
    constexpr double millisecondsPerSecond = 1000;
    const double copySeconds = profile.copyMilliseconds / millisecondsPerSecond;
    return bounds.minGainPerCopySecond * copySeconds * profile.sets;
}

bool enoughCounts(const ExpertDemand &demand, std::size_t sets)
{
    if (demand.loads.size() != sets || sets == 0)
        return false;
    return std::all_of(demand.loads.begin(), demand.loads.end(),
                       [](const auto &loads) { return sumOf(loads) >= minCounts; });
}

} // namespace

std::vector<std::uint64_t> countsSince(const std::vector<std::uint64_t> &before,
                                       const std::vector<std::uint64_t> &now)
{
    std::vector<std::uint64_t> since;
    if (before.size() != now.size())
        return since;
    for (std::size_t i = 0; i < now.size(); ++i) {
        if (now[i] < before[i])
            return {};
        since.push_back(now[i] - before[i]);
    }
    return since;
}

void addCounts(ExpertDemand &demand, const ExpertProfile &profile,
               const std::vector<std::uint64_t> &counts)
{
    const std::size_t experts = profile.expertsPerSet;
    if (experts == 0 || counts.size() != profile.sets * experts)
        return;
    if (demand.loads.size() != profile.sets)
        demand.loads.assign(profile.sets, std::vector<double>(experts, 0));
    for (std::size_t i = 0; i < counts.size(); ++i)
        demand.loads[i / experts][i % experts] += static_cast<double>(counts[i]);
}

void mergeWindow(ExpertDemand &demand, const ExpertDemand &window, TimePoint now)
{
    if (window.loads.empty())
        return;
    decay(demand, now);
    if (demand.loads.size() != window.loads.size()) {
        demand.loads = window.loads;
        return;
    }
    for (std::size_t set = 0; set < window.loads.size(); ++set) {
        for (std::size_t expert = 0; expert < window.loads[set].size(); ++expert)
            demand.loads[set][expert] += window.loads[set][expert];
    }
}

bool hasShifted(const ExpertDemand &known, const ExpertDemand &latest, const RankMap &map,
                const std::vector<double> &slowdowns)
{
    if (map.empty() || known.loads.size() != map.size())
        return false;
    return demandSkew(latest, map, slowdowns) > demandSkew(known, map, slowdowns) + shiftSkew;
}

double demandSkew(const ExpertDemand &demand, const RankMap &map,
                  const std::vector<double> &slowdowns)
{
    if (map.empty() || demand.loads.size() != map.size())
        return 1;
    double sum = 0;
    for (std::size_t set = 0; set < map.size(); ++set) {
        ExpertProfile profile;
        profile.expertsPerSet = static_cast<std::uint32_t>(demand.loads[set].size());
        const RankGroup group = groupFor(profile, slowdowns);
        sum += layerSkew(group, LayerMap{map[set]}, demand.loads[set]);
    }
    return sum / static_cast<double>(map.size());
}

std::optional<PlacementProposal> proposeMap(const ExpertProfile &profile,
                                            const ExpertDemand &demand, const RankMap &current,
                                            const std::vector<double> &slowdowns,
                                            const PlacementBounds &bounds)
{
    if (!enoughCounts(demand, current.size()))
        return std::nullopt;
    const std::size_t ranks = current.front().size();
    const RankGroup group = groupFor(profile, slowdowns);
    PlacementProposal proposal{.map = current,
                               .skewBefore = demandSkew(demand, current, slowdowns)};
    // No map is better than balanced: most looks end here, without a search of milliseconds.
    if (proposal.skewBefore - 1 < bounds.minGain)
        return std::nullopt;
    std::vector<std::uint32_t> left(ranks, copiesPerRank(profile, bounds));
    for (const SetSearch &entry : worstFirst(group, demand, current)) {
        const LayerMap layer{current[entry.set]};
        const double total = sumOf(demand.loads[entry.set]);
        const SearchProblem problem{
            .loads = demand.loads[entry.set],
            .noise = std::sqrt(static_cast<double>(profile.expertsPerSet) / total)};
        SearchLimits limits{.maxMoves = static_cast<std::uint32_t>(ranks) * profile.copiesPerMap,
                            .minGainPerMove = minGainPerCopy(profile, bounds),
                            .stagingCapacity = left,
                            .partners = searchPartners};
        for (std::uint32_t &capacity : limits.stagingCapacity)
            capacity = std::min(capacity, profile.copiesPerMap);
        SearchBudget budget{.terms = searchTerms};
        const LayerMap start = withoutEmptied(group, layer, problem.loads, limits.stagingCapacity);
        const SearchResult found = improveLayerMap(group, layer, start, problem, limits, budget);
        proposal.map[entry.set] = found.map.ranks;
        proposal.copies += found.moves;
        proposal.searchedTerms += searchTerms - budget.terms;
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            const auto copied =
                missingExperts(current[entry.set][rank], found.map.ranks[rank]).size();
            left[rank] -= std::min(left[rank], static_cast<std::uint32_t>(copied));
        }
    }
    proposal.skewAfter = demandSkew(demand, proposal.map, slowdowns);
    const double gain = proposal.skewBefore - proposal.skewAfter;
    if (proposal.map == current || gain < bounds.minGain)
        return std::nullopt;
    return proposal;
}

} // namespace wisteria
