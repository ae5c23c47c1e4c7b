#pragma once

#include <map>
#include <memory>
#include <string>

#include "Process/Error.h"

namespace wisteria {

/// Labels of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// The metrics of one process, served in Prometheus' text format. Any thread may use it.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Starts to serve GET /metrics.
    /// @return The address with the port in use; BadSettings when it can't be had.
    Result<std::string> listen(const std::string &address);

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
