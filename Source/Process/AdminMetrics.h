#pragma once

#include <memory>
#include <string>

#include <prometheus/registry.h>

#include "Process/ConfigFollower.h"
#include "Process/Error.h"

namespace wisteria {

/// How an operator's change ended, as metrics count it.
enum class ChangeEnd { Accepted, Refused, NotYetKnown };

/// The metrics of an admin, and the page they are read from.
class AdminMetrics
{
public:
    AdminMetrics();
    ~AdminMetrics();

    /// Serves the page.
    /// @return The address in use; BadSettings when it can't be had.
    Result<std::string> listen(const std::string &address);

    void countChange(ChangeEnd end);
    void countSnapshot();
    void setFollower(const FollowerStatus &status, std::size_t objects);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
