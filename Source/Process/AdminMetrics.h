#pragma once

#include <memory>
#include <string>

#include <prometheus/registry.h>

#include "Process/ConfigFollower.h"
#include "Process/Error.h"

namespace wisteria {

/// How an operator's change ended, as metrics count it.
enum class ChangeEnd { Accepted, Refused, NotYetKnown };

/// The metrics of an admin.
class AdminMetrics
{
public:
    AdminMetrics();
    ~AdminMetrics();

    /// All metrics in Prometheus' text format.
    std::string text() const;

    void countChange(ChangeEnd end);
    void countSnapshot();
    void setFollower(const FollowerStatus &status, std::size_t objects);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
