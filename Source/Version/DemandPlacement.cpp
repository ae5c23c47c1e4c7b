#include "Version/DemandPlacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "Version/PlacementSearch.h"

namespace wisteria {

namespace {

/// Fraction of the counts that remains after one decay period. A shift of demand clears them, so
/// the decay only averages the noise of single prompts: about ten passes contribute.
constexpr double decayFactor = 0.05;
constexpr milliseconds decayPeriod{1000};
/// Minimum total count of a set. With fewer counts the demand is too uncertain to act on: the
/// relative noise of an average expert's count is then sqrt(expertsPerSet / minCounts), a tenth for
/// 40 experts.
constexpr double minCounts = 4000;
/// Evaluations of a rank's term, see SearchBudget, that the search of one set may make, so that it
/// ends within the duration of a pass.
constexpr std::uint64_t maxSearchTerms = 300000;
/// Ranks that each step of the search may move experts to. Work of the busiest rank goes to the
/// least busy ones; more candidates take longer and lead to the same skew.
constexpr std::uint32_t maxSearchPartners = 8;

void decay(ExpertDemand &demand, TimePoint now)
{
    if (!demand.decayedAt) {
        demand.decayedAt = now;
        return;
    }
    const std::chrono::duration<double> passed = now - *demand.decayedAt;
    const std::chrono::duration<double> period = decayPeriod;
    const double factor = std::pow(decayFactor, passed.count() / period.count());
    for (std::vector<double> &set : demand.loads) {
        for (double &load : set)
            load *= factor;
    }
    demand.decayedAt = now;
}

/// A rank at this slowdown or above holds no experts: distributing its experts over the other ranks
/// costs them less than waiting for it costs the whole group.
constexpr double evictionSlowdown = 1.4;

RankGroup groupFor(const ExpertProfile &profile, const std::vector<double> &slowdowns)
{
    RankGroup group;
    for (const double slowdown : slowdowns) {
        group.ranks.push_back({.slots = slowdown >= evictionSlowdown ? 0 : profile.expertsPerRank,
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

/// A set and the skew of its current map.
struct SetSkew
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

/// Rank and slot that an expert is to be placed in.
struct Destination
{
    std::size_t rank = 0;
    /// Slot whose expert is replaced, or the number of held experts for a free slot.
    std::size_t slot = 0;
};

/// Returns the least busy rank that can take the expert, in a free slot or in place of an expert
/// with further replicas; std::nullopt when there is none.
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

/// Removes the experts from ranks without slots. An expert whose only replica is there moves to
/// another rank, or stays when no rank has capacity for it.
LayerMap evictFromSlowRanks(const RankGroup &group, LayerMap map, const std::vector<double> &loads,
                            std::vector<std::uint32_t> capacity)
{
    for (std::size_t rank = 0; rank < map.ranks.size(); ++rank) {
        if (group.ranks[rank].slots > 0)
            continue;
        const std::vector<ExpertId> toEvict = map.ranks[rank];
        for (const ExpertId expert : toEvict) {
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

/// Returns the sets by descending skew: the worst set uses the limited number of copies first.
std::vector<SetSkew> setsByDescendingSkew(const RankGroup &group, const ExpertDemand &demand,
                                          const RankMap &current)
{
    std::vector<SetSkew> order;
    for (std::size_t set = 0; set < current.size(); ++set)
        order.push_back({set, layerSkew(group, LayerMap{current[set]}, demand.loads[set])});
    std::sort(order.begin(), order.end(),
              [](const SetSkew &a, const SetSkew &b) { return a.skew > b.skew; });
    return order;
}

/// Returns how many experts one rank may copy for one change, over all sets.
std::uint32_t copiesPerRank(const ExpertProfile &profile, const PlacementBounds &bounds)
{
    const auto maxCopies = profile.copiesPerMap * profile.sets;
    if (profile.copyMilliseconds <= 0)
        return maxCopies;
    const double copiesInTime =
        static_cast<double>(bounds.copyTime.count()) / profile.copyMilliseconds;
    const auto copies = static_cast<std::uint32_t>(std::min(copiesInTime, 1e6));
    return std::clamp(copies, std::min(bounds.minCopiesPerRank, maxCopies),
                      std::max(1U, maxCopies));
}

/// Returns the minimum gain in skew of one set for each copied expert. The bound on the mean over
/// the sets is scaled by their number.
double minGainPerCopy(const ExpertProfile &profile, const PlacementBounds &bounds)
{
    constexpr double millisecondsPerSecond = 1000;
    const double copySeconds = profile.copyMilliseconds / millisecondsPerSecond;
    return bounds.minGainPerCopySecond * copySeconds * profile.sets;
}

/// Whether the demand is of the profile's experts. The operator may change their number.
bool isDemandOf(const ExpertProfile &profile, const ExpertDemand &demand)
{
    return demand.loads.size() == profile.sets
        && std::all_of(demand.loads.begin(), demand.loads.end(),
                       [&profile](const auto &set) { return set.size() == profile.expertsPerSet; });
}

bool isSameSize(const ExpertDemand &a, const ExpertDemand &b)
{
    return std::equal(
        a.loads.begin(), a.loads.end(), b.loads.begin(), b.loads.end(),
        [](const auto &first, const auto &second) { return first.size() == second.size(); });
}

/// Whether the demand has all experts of a set's map.
bool hasExpertsOf(const std::vector<std::vector<std::uint32_t>> &ranks,
                  const std::vector<double> &loads)
{
    return std::all_of(ranks.begin(), ranks.end(), [&loads](const auto &held) {
        return std::all_of(held.begin(), held.end(),
                           [&loads](std::uint32_t expert) { return expert < loads.size(); });
    });
}

bool hasEnoughCounts(const ExpertProfile &profile, const ExpertDemand &demand, std::size_t sets)
{
    if (!isDemandOf(profile, demand) || demand.loads.size() != sets || sets == 0)
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
    if (!isDemandOf(profile, demand))
        demand.loads.assign(profile.sets, std::vector<double>(experts, 0));
    for (std::size_t i = 0; i < counts.size(); ++i)
        demand.loads[i / experts][i % experts] += static_cast<double>(counts[i]);
}

void mergeWindow(ExpertDemand &demand, const ExpertDemand &window, TimePoint now)
{
    if (window.loads.empty())
        return;
    decay(demand, now);
    if (!isSameSize(demand, window)) {
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
    return demandSkew(latest, map, slowdowns) > demandSkew(known, map, slowdowns) + minShiftSkew;
}

double demandSkew(const ExpertDemand &demand, const RankMap &map,
                  const std::vector<double> &slowdowns)
{
    if (map.empty() || demand.loads.size() != map.size())
        return 1;
    double sum = 0;
    for (std::size_t set = 0; set < map.size(); ++set) {
        if (!hasExpertsOf(map[set], demand.loads[set]))
            return 1;
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
    if (!hasEnoughCounts(profile, demand, current.size()))
        return std::nullopt;
    const std::size_t ranks = current.front().size();
    const RankGroup group = groupFor(profile, slowdowns);
    PlacementProposal proposal{.map = current,
                               .skewBefore = demandSkew(demand, current, slowdowns)};
    // A balanced map has skew 1, which bounds the gain. Most calls return here, without a search
    // that takes milliseconds.
    if (proposal.skewBefore - 1 < bounds.minGain)
        return std::nullopt;
    std::vector<std::uint32_t> remainingCopies(ranks, copiesPerRank(profile, bounds));
    for (const SetSkew &entry : setsByDescendingSkew(group, demand, current)) {
        const LayerMap layer{current[entry.set]};
        const double total = sumOf(demand.loads[entry.set]);
        const SearchProblem problem{
            .loads = demand.loads[entry.set],
            .noise = std::sqrt(static_cast<double>(profile.expertsPerSet) / total)};
        SearchLimits limits{.maxMoves = static_cast<std::uint32_t>(ranks) * profile.copiesPerMap,
                            .minGainPerReplica = minGainPerCopy(profile, bounds),
                            .stagingCapacity = remainingCopies,
                            .maxPartners = maxSearchPartners};
        for (std::uint32_t &capacity : limits.stagingCapacity)
            capacity = std::min(capacity, profile.copiesPerMap);
        SearchBudget budget{.terms = maxSearchTerms};
        const LayerMap start =
            evictFromSlowRanks(group, layer, problem.loads, limits.stagingCapacity);
        const SearchResult found = improveLayerMap(group, layer, start, problem, limits, budget);
        proposal.map[entry.set] = found.map.ranks;
        proposal.copies += found.moves;
        proposal.searchedTerms += maxSearchTerms - budget.terms;
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            const auto copied =
                missingExperts(current[entry.set][rank], found.map.ranks[rank]).size();
            remainingCopies[rank] -=
                std::min(remainingCopies[rank], static_cast<std::uint32_t>(copied));
        }
    }
    proposal.skewAfter = demandSkew(demand, proposal.map, slowdowns);
    const double gain = proposal.skewBefore - proposal.skewAfter;
    if (proposal.map == current || gain < bounds.minGain)
        return std::nullopt;
    return proposal;
}

} // namespace wisteria
