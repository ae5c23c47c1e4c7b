#pragma once

#include <algorithm>

#include "Process/Time.h"
#include "Request/BackendRegistry.h"

namespace wisteria {

/// How long a request without a place waits before it is refused.
struct AdmissionTimeouts
{
    /// All places are taken: share of the target latency. Longer, and the answer would come late
    /// even if a place were found.
    double fullShare = 0.5;
    /// The service's group of ranks is closed. After a loss of power it opens within this time of
    /// the first requests; callers that are refused then come back once, all together. A caller
    /// gives up a stream that has no event after two seconds.
    milliseconds closed{1200};
    /// The same, as a share of the time that the request has: one with little time is told soon,
    /// and may try elsewhere.
    double closedShare = 0.25;
};

/// What the wait of a request is reckoned from.
struct QueuedRequest
{
    TimePoint arrived;
    TimePoint deadline;
    milliseconds targetLatency{0};
};

/// Until when a request waits that found no place; its arrival when waiting can't help.
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
        return request.arrived + part(request.targetLatency, timeouts.fullShare);
    case NoBackendReason::NotOpen: {
        const milliseconds time = remaining(request.arrived, request.deadline);
        return request.arrived + std::min(timeouts.closed, part(time, timeouts.closedShare));
    }
    case NoBackendReason::None:
    case NoBackendReason::Unknown:
    case NoBackendReason::AllTried:
        return request.arrived;
    }
    return request.arrived;
}

} // namespace wisteria
