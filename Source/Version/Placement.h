#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/ExpertMap.h"
#include "Version/PlacementEstimate.h"

namespace wisteria {

/// Ways to place experts.
enum class PlacementPolicy {
    Static, ///< Never moves.
    Greedy, ///< From scratch at every report, as if moves cost nothing.
    Periodic, ///< As greedy, every ten minutes.
    CostAware, ///< Moves what pays back within the time that the drift leaves.
};

/// The policy of that name, in lower case.
/// @return BadInput that lists the names.
Result<PlacementPolicy> placementPolicyFromName(const std::string &name);

/// Why a layer keeps its map.
enum class StayReason {
    None, ///< It does not stay.
    PolicyNeverMoves, ///< The policy is static.
    NotDue, ///< The policy's next decision is not due yet.
    NoDrift, ///< Loads and ranks are what the present map was made for.
    NoNewReport, ///< No report came since the last decision.
    TooFewReports, ///< The estimate is still too uncertain for a first move.
    GainWithinNoise, ///< What could be gained can't be told from noise.
    NoPayback, ///< The moves would cost more than they gain before the loads have drifted on.
    NoStagingCapacity, ///< A rank lacks the memory to stage the new weights beside the old.
    SwitchPending, ///< A switch to an earlier decision's map is still under way.
};

/// The reason in words, for logs and operators.
const char *stayReasonText(StayReason reason);

/// What a map was made for. Empty for the map that a group began with.
struct MapBasis
{
    /// Estimated share of each expert, and how uncertain it was.
    std::vector<double> shares;
    double uncertainty = 0;
    /// LoadForecast::settled of that estimate.
    bool settled = false;
    std::vector<double> rankSpeeds;
};

/// What a decision says of one layer.
struct LayerDecision
{
    std::uint32_t layer = 0;
    /// The new map; absent when the layer stays, because of `stay`.
    std::optional<LayerMap> next;
    StayReason stay = StayReason::None;
    /// Expected skew of the present and of the new map; only the wisteria policy fills them in.
    double currentSkew = 0;
    double nextSkew = 0;
    /// Replicas that have to be loaded.
    std::uint32_t moves = 0;
    /// What the new map was made for; only the wisteria policy fills it in.
    MapBasis basis;
};

/// A decision on the whole group.
struct PlacementDecision
{
    std::vector<LayerDecision> layers;

    /// Whether any layer moves.
    bool moves() const;
};

/// One layer as decisions see it.
struct LayerPlacement
{
    LayerMap map;
    LoadEstimate estimate;
    /// The newest report as it came, for the policies that don't smooth.
    std::vector<double> newestLoads;
    /// Reports seen when the last decision was made.
    std::uint32_t decidedAtReports = 0;
    /// What the present map was made for.
    MapBasis basis;
};

/// All that placement remembers of a group. A plain value.
struct PlacementState
{
    std::vector<LayerPlacement> layers;
    /// Set from a decision that moves until its switch ends.
    bool switching = false;
    /// When the periodic policy last decided.
    std::optional<TimePoint> lastPeriodic;
};

/// The state of a group that runs on the given map.
/// @return BadSettings for a group that can't be, BadInput for a map that does not fit it.
Result<PlacementState> startPlacement(const RankGroup &group, const ExpertMap &map);

/// Takes in a load report.
/// @return BadInput for a report that does not fit the group; the state is then unchanged.
Result<void> addLoadReport(const RankGroup &group, PlacementState &state, const LoadReport &report);

/// Decides on new maps. After a decision that moves, every layer stays until switchDone().
PlacementDecision decidePlacement(PlacementPolicy policy, const RankGroup &group,
                                  PlacementState &state, TimePoint now);

/// Tells how the switch to a decision's maps ended: they are in force, or the old ones stay.
void switchDone(PlacementState &state, const PlacementDecision &decision, bool inForce);

} // namespace wisteria
