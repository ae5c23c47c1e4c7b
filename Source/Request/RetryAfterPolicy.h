#pragma once

#include <algorithm>
#include <cstddef>

#include "Process/Time.h"
#include "Request/BackendRegistry.h"

namespace wisteria {

/// Retry-After values for callers. A caller retries once: its request is lost if it retries too
/// early, and callers that retry at the same moment are refused together.
struct RetryAfterPolicy
{
    /// All slots are busy and the service makes progress: about the time until a slot becomes free.
    /// Also the lower bound when `BackendChoice::retryAt` is known.
    milliseconds busy{400};
    /// In all other cases without a known `BackendChoice::retryAt`: a restart or a closed group,
    /// for example, takes seconds.
    milliseconds stalled{1200};
    /// Upper bound of the random addition to `stalled`, or to the time until
    /// `BackendChoice::retryAt`.
    milliseconds stalledJitter{1000};
    /// A service whose slots are busy counts as stalled without any answer or stream event for this
    /// long, which is several forward passes.
    milliseconds stalledAfter{500};
    /// Addition for each priority step, if the limit of its priority refused the request.
    milliseconds perPriorityStep{1000};
    /// Upper bound of that sum before the random addition `stalledJitter`: callers of the least
    /// urgent requests accept about a third of their time.
    milliseconds maxAtLimit{2400};
    /// The gateway is stopping: another one can serve the request at once.
    milliseconds stopping{100};
};

/// Returns the Retry-After value for a refused request.
/// @param reason Why no backend server was chosen.
/// @param sinceProgress Time since the last answer or stream event of the service.
/// @param randomUnit Uniform random number in [0, 1).
inline milliseconds retryAfterFor(const RetryAfterPolicy &policy, NoBackendReason reason,
                                  milliseconds sinceProgress, double randomUnit)
{
    if (reason == NoBackendReason::AllFull && sinceProgress < policy.stalledAfter)
        return policy.busy;
    return policy.stalled
        + std::chrono::duration_cast<milliseconds>(policy.stalledJitter * randomUnit);
}

/// Returns the Retry-After value for a request that the limit of its priority refused: longer than
/// that of the most urgent priority, and spread out, because the retries of a surge of the least
/// urgent requests would meet the urgent ones.
/// @param step Position of its priority among those of the service; 0 is the most urgent.
/// @param randomUnit Uniform random number in [0, 1).
inline milliseconds retryAfterAtLimit(const RetryAfterPolicy &policy, std::size_t step,
                                      milliseconds sinceProgress, double randomUnit)
{
    const milliseconds mostUrgent =
        sinceProgress < policy.stalledAfter ? policy.busy : policy.stalled;
    const milliseconds longer =
        mostUrgent + policy.perPriorityStep * static_cast<milliseconds::rep>(step);
    return std::min(policy.maxAtLimit, longer)
        + std::chrono::duration_cast<milliseconds>(policy.stalledJitter * randomUnit);
}

/// Returns the Retry-After value for a refused request. If it is known when a backend server
/// accepts a request again, no caller retries before that time, and the retries are spread after
/// it.
inline milliseconds retryAfterFor(const RetryAfterPolicy &policy, const BackendChoice &choice,
                                  milliseconds sinceProgress, TimePoint now, double randomUnit)
{
    if (choice.retryAt == TimePoint())
        return retryAfterFor(policy, choice.reason, sinceProgress, randomUnit);
    return std::max(policy.busy, remaining(now, choice.retryAt))
        + std::chrono::duration_cast<milliseconds>(policy.stalledJitter * randomUnit);
}

} // namespace wisteria
