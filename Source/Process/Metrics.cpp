#include "Process/Metrics.h"

#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace wisteria {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBuckets = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
/// Maximum number of series of a process, at about 300 bytes each. Label values come from the
/// configuration; thousands of services must not exhaust the memory of a small VM.
constexpr std::size_t maxSeries = 2000;
/// Longest label value in bytes; names from entries of other writers may be as long as a record.
constexpr std::size_t maxLabelBytes = 256;

MetricLabels boundedLabels(const MetricLabels &labels)
{
    MetricLabels bounded = labels;
    for (auto &[label, value] : bounded)
        value = value.substr(0, maxLabelBytes);
    return bounded;
}

} // namespace

class Metrics::Private
{
public:
    /// Returns the series with this name and these labels, and creates it if needed. The cache
    /// avoids the library's lookup, which hashes all labels each time.
    /// @return Null if the series would exceed the limit.
    template <typename T, typename Make>
    T *series(std::map<std::string, T *> &cache, const std::string &name,
              const MetricLabels &labels, Make make)
    {
        std::string key = name;
        for (const auto &[label, value] : labels)
            key.append(1, '\n').append(label).append(1, '\n').append(value, 0, maxLabelBytes);
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = cache.find(key);
        if (found != cache.end())
            return found->second;
        if (counters_.size() + gauges_.size() + histograms_.size() >= maxSeries) {
            dropped_.Increment();
            return nullptr;
        }
        return cache[key] = &make();
    }

    std::shared_ptr<prometheus::Registry> registry_ = std::make_shared<prometheus::Registry>();
    prometheus::Counter &dropped_ = prometheus::BuildCounter()
                                        .Name("wisteria_metric_updates_dropped_total")
                                        .Help("Updates of series beyond the bound on their number")
                                        .Register(*registry_)
                                        .Add({});
    std::mutex mutex_;
    std::map<std::string, prometheus::Counter *> counters_;
    std::map<std::string, prometheus::Gauge *> gauges_;
    std::map<std::string, prometheus::Histogram *> histograms_;
};

Metrics::Metrics() : private_(std::make_unique<Private>()) { }

Metrics::~Metrics() = default;

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(private_->registry_->Collect());
}

void Metrics::count(const std::string &name, const std::string &help, const MetricLabels &labels,
                    double increment)
{
    auto make = [&]() -> prometheus::Counter & {
        return prometheus::BuildCounter()
            .Name(name)
            .Help(help)
            .Register(*private_->registry_)
            .Add(boundedLabels(labels));
    };
    if (auto *counter = private_->series(private_->counters_, name, labels, make))
        counter->Increment(increment);
}

void Metrics::set(const std::string &name, const std::string &help, double value,
                  const MetricLabels &labels)
{
    auto make = [&]() -> prometheus::Gauge & {
        return prometheus::BuildGauge()
            .Name(name)
            .Help(help)
            .Register(*private_->registry_)
            .Add(boundedLabels(labels));
    };
    if (auto *gauge = private_->series(private_->gauges_, name, labels, make))
        gauge->Set(value);
}

void Metrics::observeSeconds(const std::string &name, const std::string &help, double value,
                             const MetricLabels &labels)
{
    auto make = [&]() -> prometheus::Histogram & {
        return prometheus::BuildHistogram()
            .Name(name)
            .Help(help)
            .Register(*private_->registry_)
            .Add(boundedLabels(labels), latencyBuckets);
    };
    if (auto *histogram = private_->series(private_->histograms_, name, labels, make))
        histogram->Observe(value);
}

} // namespace wisteria
