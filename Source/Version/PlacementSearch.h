#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "Version/ExpertMap.h"

namespace wisteria {

/// Expected loads of one layer, the input of the search.
struct SearchProblem
{
    /// Expected tokens of each expert, in any unit.
    std::vector<double> loads;
    /// Standard deviation of a report, relative to the expected load.
    double noise = 0;
};

/// Bounds of one search.
struct SearchLimits
{
    /// Maximum number of replicas to copy.
    std::uint32_t maxMoves = 0;
    /// Minimum gain in expected skew for each placed replica, whether it needs a copy or not, see
    /// SearchStep::placed.
    double minGainPerReplica = 0;
    /// Replicas that each rank can stage beside those in use; empty when unlimited.
    std::vector<std::uint32_t> stagingCapacity;
    /// Besides the busiest rank, a step may involve ranks that are no busier than the
    /// (maxPartners + 1)-th least busy one; 0 for all ranks.
    std::uint32_t maxPartners = 0;
};

/// Remaining work of a decision. Counted instead of timed, so that the same input gives the same
/// decision on every machine.
struct SearchBudget
{
    /// Remaining evaluations of a rank's term, see expectedSkew(). The search ends soon after it
    /// reaches 0.
    std::uint64_t terms = std::numeric_limits<std::uint64_t>::max();
};

/// A map found by the search.
struct SearchResult
{
    LayerMap map;
    /// Expected skew of the current map and of the one found.
    double currentSkew = 1;
    double foundSkew = 1;
    /// Number of replicas to copy, see countMoves().
    std::uint32_t moves = 0;
};

/// Returns an upper bound of the expected skew of a map under the noise:
/// log(sum of exp(k mean + k^2 variance / 2)) / k, with one term for the time of each rank. For
/// every k this bounds the expected maximum of normal variables, independent or not; k is chosen to
/// make the bound tight. Splitting a noisy expert into replicas lowers the bound even where the
/// mean times don't change.
double expectedSkew(const RankGroup &group, const LayerMap &map, const SearchProblem &problem);

/// Improves a map by steepest descent: applies the step with the most gain per placed replica while
/// the gain reaches SearchLimits::minGainPerReplica. When no single step does, it applies the best
/// pair of steps. A step relieves the busiest rank by adding a replica elsewhere, by replacing one
/// of its replicated experts, or by exchanging two experts. Deterministic: ties go to the first
/// step found. Every intermediate map is valid, so the search may end early when the budget is used
/// up.
/// @param current The map in force, whose replicas need no copy.
/// @param start The map to improve: the current one, or another one for the same group.
SearchResult improveLayerMap(const RankGroup &group, const LayerMap &current, const LayerMap &start,
                             const SearchProblem &problem, const SearchLimits &limits,
                             SearchBudget &budget);

} // namespace wisteria
