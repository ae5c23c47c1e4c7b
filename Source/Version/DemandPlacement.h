#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Process/Time.h"
#include "Version/ExpertMap.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Demand for experts of one group as its ranks counted it lately. A plain value.
///
/// Demand may move to other experts within one step of time. What is known is cleared then, see
/// hasShifted(); between shifts it fades slowly, so that single prompts do not decide on the map.
struct ExpertDemand
{
    /// Faded counts, by set and expert.
    std::vector<std::vector<double>> loads;
    std::optional<TimePoint> decayedAt;
};

/// What a rank counted since it was last asked, one set after the other. Differences take a third
/// of the bytes that the whole counts take, and one that gets lost only makes the demand less
/// certain.
/// @return Empty when nothing is known of before, or when the rank started anew.
std::vector<std::uint64_t> countsSince(const std::vector<std::uint64_t> &before,
                                       const std::vector<std::uint64_t> &now);

/// Adds what ranks counted lately, one set after the other; counts of another shape are left out.
void addCounts(ExpertDemand &demand, const ExpertProfile &profile,
               const std::vector<std::uint64_t> &counts);

/// Fades the demand and adds what came since.
void mergeWindow(ExpertDemand &demand, const ExpertDemand &window, TimePoint now);

/// Skew, averaged over the sets, by which the counts of a moment must exceed what is known for
/// demand to count as shifted. The prompts of one pass of a large group stay below it, and a shift
/// is far above.
constexpr double shiftSkew = 0.5;

/// Whether demand has moved away from the map between what is known and the latest counts.
bool hasShifted(const ExpertDemand &known, const ExpertDemand &latest, const RankMap &map,
                const std::vector<double> &slowdowns);

/// Bounds of one change of the map. They hold for groups of any size: what a copy costs follows
/// from its time, and what it gains from the mean over the sets.
struct PlacementBounds
{
    /// Skew, averaged over the sets, that a change must gain at least. While experts are copied
    /// each pass takes longer: changes for less slow a loaded group down more than they gain.
    double minGain = 0.25;
    /// Skew, averaged over the sets, that each second of copying one expert must gain at least;
    /// halves the memory that is copied.
    double minGainPerCopySecond = 0.045;
    /// Longest time that one rank may copy for one change, over all sets: the copies of a rank come
    /// one after the other, and the slowest rank sets the moment of the switch.
    milliseconds copyTime{340};
};

/// A map that is better for the present demand than the one in force.
struct PlacementProposal
{
    RankMap map;
    /// Step-time skew, averaged over the sets, before and after.
    double skewBefore = 1;
    double skewAfter = 1;
    /// Experts to be copied.
    std::uint32_t copies = 0;
    /// Work of the search, in ranks' times evaluated; a million take some 10 ms of a core.
    std::uint64_t searchedTerms = 0;
};

/// Looks for a better map.
/// @param slowdowns Of each rank, above 1 for one slower than usual. A rank that is much slower
/// gets no experts at all: all ranks wait for it in every pass.
/// @return Nothing when the gain is not worth the copies, or too little demand is known.
std::optional<PlacementProposal> proposeMap(const ExpertProfile &profile,
                                            const ExpertDemand &demand, const RankMap &current,
                                            const std::vector<double> &slowdowns,
                                            const PlacementBounds &bounds);

/// Step-time skew of a map under the present demand, averaged over the sets; 1 is balanced.
double demandSkew(const ExpertDemand &demand, const RankMap &map,
                  const std::vector<double> &slowdowns);

} // namespace wisteria
