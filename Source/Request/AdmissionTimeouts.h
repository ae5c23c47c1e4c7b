#pragma once

#include <algorithm>

#include "Process/Time.h"
#include "Request/BackendRegistry.h"

namespace wisteria {

/// How long a request without a slot waits before it is refused.
struct AdmissionTimeouts
{
    /// Longest wait while all servers are full, at their limit or backing off, as a fraction of the
    /// target latency. After a longer
    /// wait the answer would be late even if a slot became free.
    double shareOfTargetLatency = 0.5;
    /// Longest wait while the service's group of ranks is closed. After a power loss the group
    /// opens within this time of the first requests; refused callers would retry once, all
    /// together. A caller abandons a stream that has no event after two seconds.
    milliseconds maxWaitWhenClosed{1200};
    /// The same as a fraction of the request's time limit: the caller of a request with little time
    /// is refused early and can try elsewhere.
    double timeShareWhenClosed = 0.25;
};

/// Properties of a request that determine how long it may wait.
struct QueuedRequest
{
    TimePoint arrived;
    TimePoint deadline;
    milliseconds targetLatency{0};
};

/// Returns until when a request waits for a slot; its arrival time when waiting cannot help.
inline TimePoint queueTimeoutAt(const AdmissionTimeouts &timeouts, NoBackendReason reason,
                                const QueuedRequest &request)
{
    const auto part = [](milliseconds whole, double share) {
        return std::chrono::duration_cast<milliseconds>(whole * share);
    };
    switch (reason) {
    case NoBackendReason::AllFull:
    case NoBackendReason::AtLimit:
    case NoBackendReason::BackingOff:
        return request.arrived + part(request.targetLatency, timeouts.shareOfTargetLatency);
    case NoBackendReason::NotOpen: {
        const milliseconds time = remaining(request.arrived, request.deadline);
        return request.arrived
            + std::min(timeouts.maxWaitWhenClosed, part(time, timeouts.timeShareWhenClosed));
    }
    case NoBackendReason::None:
    case NoBackendReason::NoneAvailable:
    case NoBackendReason::AllTried:
    case NoBackendReason::Evacuated:
        return request.arrived;
    }
    return request.arrived;
}

} // namespace wisteria
