#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>

#include "Process/Time.h"

namespace wisteria::soak {

/// Time in which gateways that reach the store must apply the begin or end of an evacuation.
constexpr milliseconds evacuationBound{5000};

/// Knows from when on no request may arrive in a failure domain that is evacuated, or at a server
/// that leaves. Thread-safe.
class BoundCheck
{
public:
    /// @param bound Time in which gateways that reach the store must know of an order.
    explicit BoundCheck(milliseconds bound) : bound_(bound) { }

    /// Records that a target may get no requests any more.
    void begin(const std::string &target, TimePoint now);
    /// Records that a target may get requests again.
    void end(const std::string &target);
    /// Records that gateways can't learn of an order, or can again. Orders that they may not know
    /// yet have the whole bound from then on; those that they know stay in force.
    /// @param cause Several causes may overlap.
    void setCut(const std::string &cause, bool cut, TimePoint now);

    /// Whether a request that arrives at a target violates an order.
    bool forbids(const std::string &target, TimePoint now) const;

private:
    const milliseconds bound_;
    mutable std::mutex mutex_;
    /// When the order for each target must be known, unless the gateways are cut off before.
    std::map<std::string, TimePoint> knownAt_;
    std::set<std::string> cuts_;
};

} // namespace wisteria::soak
