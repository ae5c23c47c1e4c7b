#pragma once

#include <map>
#include <memory>
#include <string>

namespace wisteria {

/// Labels of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// The metrics of one process. Thread-safe.
///
/// The number of series is limited. Updates of series beyond the limit are dropped, and counted in
/// "wisteria_metric_updates_dropped_total".
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

    /// Increments a counter. The name must end in "_total".
    void count(const std::string &name, const std::string &help, const MetricLabels &labels = {},
               double increment = 1);

    /// Sets the value of a gauge.
    void set(const std::string &name, const std::string &help, double value,
             const MetricLabels &labels = {});

    /// Adds a duration in seconds to a histogram. The name must end in "_seconds".
    void observeSeconds(const std::string &name, const std::string &help, double value,
                        const MetricLabels &labels = {});

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
