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

/// Policies for the placement of experts.
enum class PlacementPolicy {
    Static, ///< Never moves experts.
    Greedy, ///< Computes a new map at every report, regardless of the cost of moves.
    Periodic, ///< Same as Greedy, but every ten minutes.
    CostAware, ///< Moves experts only when the gain until the loads drift justifies the cost.
};

/// Returns the policy with a lower-case name.
/// @return BadInput that lists the valid names when the name is unknown.
Result<PlacementPolicy> placementPolicyFromName(const std::string &name);

/// Reason why a layer keeps its map.
enum class StayReason {
    None, ///< The layer gets a new map.
    PolicyNeverMoves, ///< The policy is static.
    NotDue, ///< The policy's next decision is not due yet.
    NoDrift, ///< Loads and rank speeds still match those that the current map was computed for.
    NoNewReport, ///< No load report has arrived since the last decision.
    TooFewReports, ///< The estimate is still too uncertain for a first move.
    /// The possible gain is not larger than the noise, or the greedy map needs no copies.
    GainWithinNoise,
    NoPayback, ///< The moves would cost more than they gain before the loads drift.
    NoStagingCapacity, ///< A rank lacks the memory to stage the new weights beside the old ones.
    SwitchPending, ///< A switch to the maps of an earlier decision is in progress.
};

/// Returns a description of the reason, for logs and operators.
const char *stayReasonText(StayReason reason);

/// The estimate that a map was computed from. Empty for the initial map of a group.
struct MapBasis
{
    /// Estimated share of each expert, and LoadForecast::uncertainty of that estimate.
    std::vector<double> shares;
    double uncertainty = 0;
    /// LoadForecast::settled of that estimate.
    bool settled = false;
    std::vector<double> rankSpeeds;
};

/// The decision on one layer.
struct LayerDecision
{
    std::uint32_t layer = 0;
    /// The new map; absent when the layer keeps its map for `stayReason`.
    std::optional<LayerMap> next;
    StayReason stayReason = StayReason::None;
    /// Expected skew of the current and of the new map; only set by the cost-aware policy.
    double currentSkew = 0;
    double nextSkew = 0;
    /// Number of replicas to copy.
    std::uint32_t moves = 0;
    /// Estimate that the new map was computed from; only set by the cost-aware policy.
    MapBasis basis;
};

/// The decision on all layers of a group.
struct PlacementDecision
{
    std::vector<LayerDecision> layers;

    /// Returns whether any layer gets a new map.
    bool hasNewMap() const;
};

/// State of one layer that decisions use.
struct LayerPlacement
{
    LayerMap map;
    LoadEstimate estimate;
    /// Loads of the newest report, for the policies that don't smooth.
    std::vector<double> newestLoads;
    /// Number of reports at the last call of decidePlacement() that was not during a switch.
    std::uint32_t reportsAtLastDecision = 0;
    /// Estimate that the current map was computed from.
    MapBasis basis;
};

/// Placement state of a group. A value type without I/O.
struct PlacementState
{
    std::vector<LayerPlacement> layers;
    /// True from a decision with a new map until its switch ends.
    bool switching = false;
    /// Time of the periodic policy's last decision.
    std::optional<TimePoint> lastPeriodicDecision;
};

/// Returns the initial state of a group with the given map in force.
/// @return BadSettings for an invalid group, BadInput for a map that does not fit it.
Result<PlacementState> initialPlacement(const RankGroup &group, const ExpertMap &map);

/// Adds a load report.
/// @return BadInput for a report that does not fit the group; the state is unchanged then.
Result<void> addLoadReport(const RankGroup &group, PlacementState &state, const LoadReport &report);

/// Decides on new maps. After a decision with a new map, every layer keeps its map until
/// endSwitch().
PlacementDecision decidePlacement(PlacementPolicy policy, const RankGroup &group,
                                  PlacementState &state, TimePoint now);

/// Ends the switch to a decision's maps.
/// @param inForce Whether the new maps are in force; otherwise the old ones stay in force.
void endSwitch(PlacementState &state, const PlacementDecision &decision, bool inForce);

} // namespace wisteria
