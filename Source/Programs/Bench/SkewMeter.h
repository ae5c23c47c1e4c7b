#pragma once

#include <utility>
#include <vector>

#include "Programs/Bench/PlacementReplay.h"

namespace wisteria {

/// Records each layer's skew over virtual time.
class SkewMeter
{
public:
    /// @param buckets Number of equal parts of the duration, each at most one sample of series().
    SkewMeter(std::uint32_t layers, milliseconds begin, milliseconds end, std::size_t buckets);

    /// Sets the skew of a layer from `now` on. Calls must be in order of time.
    void set(std::uint32_t layer, milliseconds now, double skew);

    /// Counts the last skew of each layer until the end of the trace.
    void finish();

    /// Mean over time and layers.
    double mean() const;

    /// 99th percentile of the skew over time and layers.
    double p99() const;

    std::vector<SkewSample> series() const;

private:
    struct Span
    {
        milliseconds since;
        double skew;
    };

    void add(milliseconds from, milliseconds to, double skew);

    milliseconds begin_;
    milliseconds end_;
    std::vector<std::optional<Span>> current_;
    std::vector<std::pair<double, milliseconds>> spans_;
    std::vector<double> bucketSkew_;
    std::vector<double> bucketTime_;
};

} // namespace wisteria
