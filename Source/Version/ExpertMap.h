#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// Number of an expert within its layer, from 0.
using ExpertId = std::uint32_t;

/// Experts that each rank holds in one layer. An expert on several ranks has that many replicas,
/// which share its tokens evenly.
struct LayerMap
{
    std::vector<std::vector<ExpertId>> ranks;

    bool operator==(const LayerMap &) const = default;
};

/// The expert map of a rank group in the placement policies: one map per layer. RankMap is the map
/// that ranks report and are ordered to prepare, by set of layers.
struct ExpertMap
{
    std::vector<LayerMap> layers;

    bool operator==(const ExpertMap &) const = default;
};

/// Capacity and speed of one rank.
struct RankCapacity
{
    /// Maximum number of experts that it holds in one layer.
    std::uint32_t slots = 0;
    /// Memory in bytes for the weights of all layers, including those being staged; 0 when only
    /// the slots limit it.
    std::uint64_t memoryBytes = 0;
    /// Tokens per second relative to a healthy rank; below 1 for a slow one.
    double speed = 1.0;
};

/// A rank group, from the operators' configuration and the platform's reports.
struct RankGroup
{
    std::vector<RankCapacity> ranks;
    std::uint32_t layers = 0;
    /// Number of experts in each layer.
    std::uint32_t experts = 0;
    /// Bytes of one expert's weights in one layer.
    std::uint64_t expertBytes = 0;
    /// Bandwidth of the weight store for the whole group, in bytes per second.
    double storeBytesPerSecond = 0;
    /// Duration of one pass of the group.
    milliseconds stepTime{0};
    /// Declared weights of step-time skew and of rebalancing cost.
    double skewWeight = 0;
    double costWeight = 0;
};

/// Checks that a group can hold every expert and that its values are in range.
/// @return BadSettings that names the first invalid entry.
Result<void> checkRankGroup(const RankGroup &group);

/// Checks that no rank exceeds its slots or holds an expert twice, and that every expert has at
/// least one replica.
/// @return BadInput that names the first violation.
Result<void> checkLayerMap(const RankGroup &group, const LayerMap &map);

/// Returns the initial map of a group whose loads are unknown: the experts in order, with the spare
/// slots filled from the first expert again. In firstRankMap() spare slots stay empty.
LayerMap initialLayerMap(const RankGroup &group);

/// Returns the number of replicas of each expert.
std::vector<std::uint32_t> replicaCounts(const LayerMap &map, std::uint32_t experts);

/// Returns the time that each rank needs for the given loads, in tokens of a healthy rank. An
/// expert's load is split evenly among its replicas, and a rank's total is divided by its speed.
std::vector<double> rankTimes(const RankGroup &group, const LayerMap &map,
                              const std::vector<double> &loads);

/// Returns the step-time skew of one layer: the slowest rank's time divided by the time of a
/// perfectly balanced group. At least 1; exactly 1 when there is no load.
double layerSkew(const RankGroup &group, const LayerMap &map, const std::vector<double> &loads);

/// Returns the experts in `to` that are not in `from`, for one rank.
std::vector<ExpertId> missingExperts(const std::vector<ExpertId> &from,
                                     const std::vector<ExpertId> &to);

/// Returns the number of replicas that a change from one map to another copies from the weight
/// store.
std::uint32_t countMoves(const LayerMap &from, const LayerMap &to);

/// Subtracts a layer's new replicas from the number of replicas that each rank can still stage. An
/// empty `capacity` is unlimited. The old replicas stay in use while new ones are staged: without
/// enough capacity, the rank would run out of memory in the middle of a pass.
/// @return Whether the capacity was sufficient; if not, it is unchanged.
bool reserveStagingCapacity(std::vector<std::uint32_t> &capacity, const LayerMap &current,
                            const LayerMap &next);

} // namespace wisteria
