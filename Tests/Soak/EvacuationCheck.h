#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>

#include "Process/Time.h"

namespace wisteria::soak {

/// Time in which gateways that reach the store must apply the begin or end of an evacuation.
constexpr milliseconds evacuationBound{5000};

/// Knows from when on no request may arrive in a failure domain. Thread-safe.
class EvacuationCheck
{
public:
    /// Records that the operator has evacuated a domain.
    void begin(const std::string &domain, TimePoint now);
    /// Records that the operator has ended the evacuation of a domain.
    void end(const std::string &domain);
    /// Records that gateways can't reach the store, or can reach it again. Evacuations that they
    /// may not know yet have the whole bound from then on; those that they know stay in force.
    /// @param cause Several causes may overlap.
    void setStoreCut(const std::string &cause, bool cut, TimePoint now);

    /// Whether a request that arrives in a domain violates an evacuation.
    bool forbids(const std::string &domain, TimePoint now) const;

private:
    mutable std::mutex mutex_;
    /// When the evacuation of each domain must be known, unless the store is cut off before.
    std::map<std::string, TimePoint> knownAt_;
    std::set<std::string> cuts_;
};

} // namespace wisteria::soak
