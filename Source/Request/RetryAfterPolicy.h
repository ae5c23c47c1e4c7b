#pragma once

#include <algorithm>

#include "Process/Time.h"
#include "Request/BackendRegistry.h"

namespace wisteria {

/// When callers are told to come back. A caller comes back once: one that comes too early is
/// refused for good, and all that come at the same moment are refused together.
struct RetryAfterPolicy
{
    /// Places are taken and work goes on: about the time in which a place becomes free.
    milliseconds busy{400};
    /// No work goes on: a restart, a group that forms anew or is held takes seconds.
    milliseconds stalled{1200};
    /// Spread of the latter.
    milliseconds stalledJitter{1000};
    /// Service without any event of any stream for this long, while its places are taken, stands.
    /// It is several passes.
    milliseconds stalledAfter{500};
};

/// @param reason Why no backend server was chosen.
/// @param sinceProgress Time since the service last answered anything.
/// @param randomUnit A number from 0 to below 1.
inline milliseconds retryAfterFor(const RetryAfterPolicy &policy, NoBackendReason reason,
                                  milliseconds sinceProgress, double randomUnit)
{
    if (reason == NoBackendReason::AllFull && sinceProgress < policy.stalledAfter)
        return policy.busy;
    return policy.stalled
        + std::chrono::duration_cast<milliseconds>(policy.stalledJitter * randomUnit);
}

/// The same where it may be known when a backend server takes a request again. No caller comes back
/// before, and not all come at that moment.
inline milliseconds retryAfterFor(const RetryAfterPolicy &policy, const BackendChoice &choice,
                                  milliseconds sinceProgress, TimePoint now, double randomUnit)
{
    if (choice.freeAt == TimePoint())
        return retryAfterFor(policy, choice.reason, sinceProgress, randomUnit);
    return std::max(policy.busy, remaining(now, choice.freeAt))
        + std::chrono::duration_cast<milliseconds>(policy.stalledJitter * randomUnit);
}

} // namespace wisteria
