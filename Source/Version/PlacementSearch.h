#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "Version/ExpertMap.h"

namespace wisteria {

/// What the search knows of one layer.
struct SearchProblem
{
    /// Expected tokens of each expert, in any unit.
    std::vector<double> loads;
    /// Standard deviation of a report around the expected load, relative to it.
    double noise = 0;
};

/// What the search may spend.
struct SearchLimits
{
    /// Replicas that it may load at most.
    std::uint32_t maxMoves = 0;
    /// Expected skew that each loaded replica must gain at least.
    double minGainPerMove = 0;
    /// Replicas that each rank has room to stage beside those in use; empty when unbounded.
    std::vector<std::uint32_t> stagingCapacity;
    /// Ranks, the least busy first, that a step may bring in besides the busiest; 0 for all.
    std::uint32_t partners = 0;
};

/// Work that a decision may still spend. Counted and not timed, so that the same input gives the
/// same decision on every machine.
struct SearchBudget
{
    /// Terms of ranks' times that may still be evaluated; the search ends soon after it is 0.
    std::uint64_t terms = std::numeric_limits<std::uint64_t>::max();
};

/// A map found by the search.
struct SearchResult
{
    LayerMap map;
    /// Expected skew of the present map and of the one found.
    double currentSkew = 1;
    double foundSkew = 1;
    std::uint32_t moves = 0;
};

/// An upper bound of the expected skew of a map under the noise:
/// log(sum of exp(k mean + k^2 variance / 2)) / k over the ranks' times, which bounds the expected
/// maximum of normal variables for every k, whether they are independent or not; k is chosen to
/// make it tight. Replicas that split a noisy expert make it smaller, although they leave the mean
/// times as they are.
double expectedSkew(const RankGroup &group, const LayerMap &map, const SearchProblem &problem);

/// Improves a map by steepest descent: as long as it pays, the step with the most gain a loaded
/// replica is taken. A step relieves the busiest rank by a further replica elsewhere, by dropping a
/// replica, or by exchanging two experts. Deterministic: ties go to the first found.
/// Any map on the way is a valid one, so the search may end early for want of budget.
/// @param start The map to improve: the present one, or another for the same group.
SearchResult improveLayerMap(const RankGroup &group, const LayerMap &current, const LayerMap &start,
                             const SearchProblem &problem, const SearchLimits &limits,
                             SearchBudget &budget);

} // namespace wisteria
