#pragma once

#include <map>
#include <memory>
#include <string>

namespace wisteria {

/// Labels of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// The metrics of one process. Any thread may use it.
///
/// The number of series is bounded: updates of series beyond the bound are counted in
/// "wisteria_metric_updates_dropped_total" and otherwise ignored.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// All metrics in Prometheus' text format.
    std::string text() const;

    /// Adds to a counter; its name ends in "_total".
    void count(const std::string &name, const std::string &help, const MetricLabels &labels = {},
               double by = 1);

    /// Sets a gauge.
    void set(const std::string &name, const std::string &help, double value,
             const MetricLabels &labels = {});

    /// Adds one duration to a histogram; its name ends in "_seconds".
    void observeSeconds(const std::string &name, const std::string &help, double value,
                        const MetricLabels &labels = {});

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
