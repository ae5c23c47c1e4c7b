#pragma once

#include <utility>
#include <vector>

#include "Programs/Bench/PlacementReplay.h"

namespace wisteria {

/// Sums up each layer's skew over virtual time.
class SkewMeter
{
public:
    /// @param buckets Parts of the duration that series() tells apart.
    SkewMeter(std::uint32_t layers, milliseconds begin, milliseconds end, std::size_t buckets);

    /// Says that from now on a layer has this skew. Calls come in the order of time.
    void set(std::uint32_t layer, milliseconds now, double skew);

    /// Closes the measurement at the end of the trace.
    void finish();

    /// Mean over time and layers.
    double mean() const;

    /// The skew that 99 in 100 steps of a layer don't exceed.
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
