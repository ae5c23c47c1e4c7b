#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// Number of an expert within its layer, from 0.
using ExpertId = std::uint32_t;

/// Which experts each rank holds in one layer. An expert on several ranks has that many replicas,
/// which share its tokens evenly.
struct LayerMap
{
    std::vector<std::vector<ExpertId>> ranks;

    bool operator==(const LayerMap &) const = default;
};

/// The expert map of a rank group: one map a layer.
struct ExpertMap
{
    std::vector<LayerMap> layers;

    bool operator==(const ExpertMap &) const = default;
};

/// What one rank can carry.
struct RankCapacity
{
    /// Experts of one layer that it holds at most.
    std::uint32_t slots = 0;
    /// Room in bytes for the weights of all layers, those being staged included; 0 when only the
    /// slots bound it.
    std::uint64_t memoryBytes = 0;
    /// Tokens a second relative to a healthy rank; below 1 for a slow one.
    double speed = 1.0;
};

/// A rank group as operators declared it and the platform reports it.
struct RankGroup
{
    std::vector<RankCapacity> ranks;
    std::uint32_t layers = 0;
    /// Experts of one layer.
    std::uint32_t experts = 0;
    /// Bytes of one expert's weights in one layer.
    std::uint64_t expertBytes = 0;
    /// Bytes a second that the weight store gives to the whole group.
    double storeBytesPerSecond = 0;
    milliseconds stepTime{0};
    /// Declared weights of step-time skew and of rebalancing cost.
    double skewWeight = 0;
    double costWeight = 0;
};

/// Checks that a group can hold every expert and that its numbers make sense.
/// @return BadSettings that names the first wrong entry.
Result<void> checkRankGroup(const RankGroup &group);

/// Checks that each rank keeps to its slots, holds no expert twice, and that every expert has at
/// least one replica.
/// @return BadInput that names the first offence.
Result<void> checkLayerMap(const RankGroup &group, const LayerMap &map);

/// The map a group begins with when nothing is known of its loads: experts in order, the spare
/// slots filled by beginning again from the first.
LayerMap initialLayerMap(const RankGroup &group);

/// Number of replicas of each expert.
std::vector<std::uint32_t> replicaCounts(const LayerMap &map, std::uint32_t experts);

/// Time each rank needs for the given loads, in tokens of a healthy rank: an expert's load is
/// shared evenly by its replicas, and a rank's sum is divided by its speed.
std::vector<double> rankTimes(const RankGroup &group, const LayerMap &map,
                              const std::vector<double> &loads);

/// Step-time skew of one layer: the straggler's time over the time of a perfectly balanced group;
/// 1 at best. Also 1 when there is no load at all.
double layerSkew(const RankGroup &group, const LayerMap &map, const std::vector<double> &loads);

/// Replicas that `to` has and `from` lacks, for one rank.
std::vector<ExpertId> missingExperts(const std::vector<ExpertId> &from,
                                     const std::vector<ExpertId> &to);

/// Replicas that have to be loaded from the weight store to get from one map to another.
std::uint32_t countMoves(const LayerMap &from, const LayerMap &to);

/// Takes the room that a layer's new replicas need from the replicas that each rank can still
/// stage. Empty room is unbounded. While new replicas are staged, the old ones are still in use:
/// without the room, the rank would run out of memory in the middle of a step.
/// @return Whether there was room; otherwise nothing is taken.
bool reserveStagingCapacity(std::vector<std::uint32_t> &capacity, const LayerMap &current,
                            const LayerMap &next);

} // namespace wisteria
