#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "Programs/Bench/LoadTrace.h"
#include "Version/Placement.h"

namespace wisteria {

/// How a trace is replayed.
struct ReplayOptions
{
    PlacementPolicy policy = PlacementPolicy::CostAware;
    /// Time from a line's at_ms until the decision sees its loads. Absent: until the layer's next
    /// line, as loads are counted only after they were processed.
    std::optional<milliseconds> reportLag;
    /// Whether to also search the best maps regardless of cost, which takes longer.
    bool searchBestMaps = false;
    /// Clock that measures how long decisions take; the replay itself runs in virtual time.
    std::function<TimePoint()> clock;
    /// Called with each layer's map as it comes into force.
    std::function<void(milliseconds at, std::uint32_t layer, const LayerMap &map)> mapInForce;
};

/// Mean skew over all layers in one part of the trace. A period of constant skew counts fully in
/// the part in which it begins.
struct SkewSample
{
    milliseconds at{0};
    double skew = 1;
};

/// Results of a replay.
struct ReplayResult
{
    double meanSkew = 1;
    double p99Skew = 1;
    double lowerBoundMeanSkew = 1;
    /// Mean skew, under the actual loads, of the best maps found for the noise-free loads, in force
    /// immediately and without cost; absent when not requested or when the trace lacks those loads.
    std::optional<double> bestFoundWithoutNoiseMeanSkew;
    /// The same for the best maps found for the actual loads, with the noise known in advance.
    std::optional<double> bestFoundMeanSkew;
    std::uint64_t moves = 0;
    std::uint64_t movedBytes = 0;
    std::uint32_t switches = 0;
    milliseconds stalled{0};
    milliseconds duration{0};
    microseconds decideP50{0};
    microseconds decideP99{0};
    double cost = 0;
    std::vector<SkewSample> series;
};

/// Replays a trace in virtual time. New weights are staged one after another at the rate of
/// the weight store; then all layers of a decision switch together, which stalls the group for one
/// step.
/// @return BadInput for a trace without a duration.
Result<ReplayResult> replayTrace(const LoadTrace &trace, const ReplayOptions &options);

} // namespace wisteria
