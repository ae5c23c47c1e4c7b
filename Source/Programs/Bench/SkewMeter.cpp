#include "Programs/Bench/SkewMeter.h"

#include <algorithm>

namespace wisteria {

SkewMeter::SkewMeter(std::uint32_t layers, milliseconds begin, milliseconds end,
                     std::size_t buckets)
    : begin_(begin), end_(end), current_(layers), bucketSkew_(buckets, 0.0),
      bucketTime_(buckets, 0.0)
{ }

void SkewMeter::set(std::uint32_t layer, milliseconds now, double skew)
{
    std::optional<Span> &span = current_[layer];
    if (span && now > span->since)
        add(span->since, now, span->skew);
    span = Span{now, skew};
}

void SkewMeter::finish()
{
    for (std::uint32_t layer = 0; layer < current_.size(); ++layer) {
        if (current_[layer])
            set(layer, end_, current_[layer]->skew);
    }
}

void SkewMeter::add(milliseconds from, milliseconds to, double skew)
{
    spans_.emplace_back(skew, to - from);
    const auto position = static_cast<double>((from - begin_).count());
    const auto duration = static_cast<double>((end_ - begin_).count());
    const auto buckets = static_cast<double>(bucketSkew_.size());
    const auto bucket = static_cast<std::size_t>(position / duration * buckets);
    const auto time = static_cast<double>((to - from).count());
    bucketSkew_[std::min(bucket, bucketSkew_.size() - 1)] += skew * time;
    bucketTime_[std::min(bucket, bucketSkew_.size() - 1)] += time;
}

double SkewMeter::mean() const
{
    double sum = 0;
    double time = 0;
    for (const auto &[skew, duration] : spans_) {
        sum += skew * static_cast<double>(duration.count());
        time += static_cast<double>(duration.count());
    }
    return time > 0 ? sum / time : 1.0;
}

double SkewMeter::p99() const
{
    constexpr double fraction = 0.99;
    std::vector<std::pair<double, milliseconds>> sorted = spans_;
    std::sort(sorted.begin(), sorted.end());
    milliseconds total{0};
    for (const auto &span : sorted)
        total += span.second;
    milliseconds passed{0};
    for (const auto &[skew, duration] : sorted) {
        passed += duration;
        if (static_cast<double>(passed.count()) >= fraction * static_cast<double>(total.count()))
            return skew;
    }
    return 1.0;
}

std::vector<SkewSample> SkewMeter::series() const
{
    std::vector<SkewSample> samples;
    for (std::size_t i = 0; i < bucketSkew_.size(); ++i) {
        if (bucketTime_[i] <= 0)
            continue;
        const auto offset = (end_ - begin_) * i / bucketSkew_.size();
        samples.push_back({begin_ + offset, bucketSkew_[i] / bucketTime_[i]});
    }
    return samples;
}

} // namespace wisteria
