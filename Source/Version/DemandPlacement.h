#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Process/Time.h"
#include "Version/ExpertMap.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Demand for the experts of one group, from recent counts of its ranks. A value type without I/O.
///
/// A set is several layers that share one map; LayerMap and the search treat it as one layer.
///
/// Demand may move to other experts from one moment to the next. It is cleared then, see
/// hasShifted(); between shifts it decays slowly, so that single prompts do not determine the map.
struct ExpertDemand
{
    /// Decayed counts, by set and expert.
    std::vector<std::vector<double>> loads;
    std::optional<TimePoint> decayedAt;
};

/// Returns the difference between two counts of a rank, one set after the other. They are
/// sent instead of totals because a lost one only makes the demand less certain.
/// @return Empty when there are no earlier counts, or when the counts show that the rank restarted.
std::vector<std::uint64_t> countsSince(const std::vector<std::uint64_t> &before,
                                       const std::vector<std::uint64_t> &now);

/// Adds counts of ranks, one set after the other; counts that don't match the profile's number of
/// experts are ignored.
void addCounts(ExpertDemand &demand, const ExpertProfile &profile,
               const std::vector<std::uint64_t> &counts);

/// Decays the demand up to `now` and adds the counts of a window.
void mergeWindow(ExpertDemand &demand, const ExpertDemand &window, TimePoint now);

/// Minimum increase of a map's skew, averaged over the sets, from the known demand to the latest
/// counts, to count as a shift. The noise of one pass's prompts in a large group stays below it; a
/// shift is far above it.
constexpr double minShiftSkew = 0.5;

/// Returns whether the map's skew under the latest counts exceeds its skew under the known demand
/// by more than minShiftSkew. False while the known demand is empty.
bool hasShifted(const ExpertDemand &known, const ExpertDemand &latest, const RankMap &map,
                const std::vector<double> &slowdowns);

/// Bounds of one change of the map. They suit groups of any size: the cost of a copy is its
/// duration, and its gain is averaged over the sets.
struct PlacementBounds
{
    /// Minimum gain of a change in skew, averaged over the sets. Passes take longer while experts
    /// are copied: changes for a smaller gain slow a loaded group down more than they gain.
    double minGain = 0.25;
    /// Minimum gain in skew, averaged over the sets, for each second of copying one expert. It
    /// avoids copies that gain little.
    double minGainPerCopySecond = 0.045;
    /// Maximum time that one rank may copy for one change, over all sets: a rank copies one expert
    /// after the other, and the switch waits for the slowest rank. Until then all streams of the
    /// group are late after a shift of demand.
    milliseconds copyTime{170};
    /// Number of experts that one rank may copy however long a copy takes: with fewer, a group
    /// whose copies are slow stays unbalanced after several changes.
    std::uint32_t minCopiesPerRank = 3;
};

/// A map that suits the current demand better than the one in force.
struct PlacementProposal
{
    RankMap map;
    /// Step-time skew, averaged over the sets, before and after.
    double skewBefore = 1;
    double skewAfter = 1;
    /// Number of experts to copy.
    std::uint32_t copies = 0;
    /// Work of the search, in evaluations of a rank's term, see SearchBudget; a million take about
    /// 10 ms of a core.
    std::uint64_t searchedTerms = 0;
};

/// Searches for a better map.
/// @param slowdowns Factor of each rank, above 1 for one slower than usual. A rank that is much
/// slower gets no experts, because all ranks wait for it in every pass.
/// @return std::nullopt when the gain does not justify the copies, or there are too few counts.
std::optional<PlacementProposal> proposeMap(const ExpertProfile &profile,
                                            const ExpertDemand &demand, const RankMap &current,
                                            const std::vector<double> &slowdowns,
                                            const PlacementBounds &bounds);

/// Returns the step-time skew of a map under a demand, averaged over the sets; 1 is balanced. Also
/// 1 when the map is empty, or has another number of sets or further experts than the demand.
double demandSkew(const ExpertDemand &demand, const RankMap &map,
                  const std::vector<double> &slowdowns);

} // namespace wisteria
