#pragma once

#include <memory>
#include <string>

#include <prometheus/registry.h>

#include "Process/ConfigFollower.h"
#include "Process/Error.h"

namespace wisteria {

/// Outcome of an operator's change, as counted in the metrics.
enum class ChangeOutcome { Accepted, Refused, NotYetKnown };

/// Metrics of an admin process.
class AdminMetrics
{
public:
    AdminMetrics();
    ~AdminMetrics();

    /// All metrics in Prometheus' text format.
    std::string text() const;

    void countChange(ChangeOutcome outcome);
    void countSnapshot();
    /// Sets the gauges.
    /// @param objects Number of declared objects in force.
    void setFollower(const FollowerStatus &status, std::size_t objects);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
