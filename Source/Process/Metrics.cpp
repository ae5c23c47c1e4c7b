#include "Process/Metrics.h"

#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace wisteria {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBuckets = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
/// One thread is enough for a scraper that asks every few seconds.
constexpr std::size_t exposerThreads = 1;

} // namespace

class Metrics::Private
{
public:
    /// The series of a name and labels; looked up here rather than in the library, whose own
    /// look-up builds a hash of all labels each time.
    template <typename T, typename Make>
    T &series(std::map<std::string, T *> &cache, const std::string &name,
              const MetricLabels &labels, Make make)
    {
        std::string key = name;
        for (const auto &[label, value] : labels)
            key += '\n' + label + '\n' + value;
        const std::lock_guard<std::mutex> lock(mutex_);
        T *&found = cache[key];
        if (!found)
            found = &make();
        return *found;
    }

    std::shared_ptr<prometheus::Registry> registry_ = std::make_shared<prometheus::Registry>();
    std::unique_ptr<prometheus::Exposer> exposer_;
    std::mutex mutex_;
    std::map<std::string, prometheus::Counter *> counters_;
    std::map<std::string, prometheus::Gauge *> gauges_;
    std::map<std::string, prometheus::Histogram *> histograms_;
};

Metrics::Metrics() : private_(std::make_unique<Private>()) { }

Metrics::~Metrics() = default;

Result<std::string> Metrics::listen(const std::string &address)
{
    try {
        private_->exposer_ = std::make_unique<prometheus::Exposer>(address, exposerThreads);
    } catch (const std::exception &error) {
        return failure(ErrorKind::BadSettings,
                       "can't serve metrics on " + address + " (" + error.what()
                           + "); give an IP number of this VM and a free port, or port 0");
    }
    private_->exposer_->RegisterCollectable(private_->registry_);
    const int port = private_->exposer_->GetListeningPorts().front();
    return address.substr(0, address.rfind(':')) + ":" + std::to_string(port);
}

void Metrics::count(const std::string &name, const std::string &help, const MetricLabels &labels,
                    double by)
{
    auto make = [&]() -> prometheus::Counter & {
        return prometheus::BuildCounter()
            .Name(name)
            .Help(help)
            .Register(*private_->registry_)
            .Add(labels);
    };
    private_->series(private_->counters_, name, labels, make).Increment(by);
}

void Metrics::set(const std::string &name, const std::string &help, double value,
                  const MetricLabels &labels)
{
    auto make = [&]() -> prometheus::Gauge & {
        return prometheus::BuildGauge()
            .Name(name)
            .Help(help)
            .Register(*private_->registry_)
            .Add(labels);
    };
    private_->series(private_->gauges_, name, labels, make).Set(value);
}

void Metrics::observeSeconds(const std::string &name, const std::string &help, double value,
                             const MetricLabels &labels)
{
    auto make = [&]() -> prometheus::Histogram & {
        return prometheus::BuildHistogram()
            .Name(name)
            .Help(help)
            .Register(*private_->registry_)
            .Add(labels, latencyBuckets);
    };
    private_->series(private_->histograms_, name, labels, make).Observe(value);
}

} // namespace wisteria
