#pragma once

#include <algorithm>

#include "Process/Time.h"
#include "Request/BackendBoard.h"

namespace wisteria {

/// How long a request without a place waits before it is refused.
struct PlaceWait
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
struct WaitingRequest
{
    TimePoint arrived;
    TimePoint deadline;
    milliseconds targetLatency{0};
};

/// Until when a request waits that found no place; its arrival when waiting can't help.
inline TimePoint waitsUntil(const PlaceWait &wait, NoBackend why, const WaitingRequest &request)
{
    const auto part = [](milliseconds whole, double share) {
        return std::chrono::duration_cast<milliseconds>(whole * share);
    };
    switch (why) {
    case NoBackend::AllFull:
    case NoBackend::AtLimit:
    case NoBackend::Resting:
        return request.arrived + part(request.targetLatency, wait.fullShare);
    case NoBackend::NotOpen: {
        const milliseconds time = remaining(request.arrived, request.deadline);
        return request.arrived + std::min(wait.closed, part(time, wait.closedShare));
    }
    case NoBackend::None:
    case NoBackend::Unknown:
    case NoBackend::AllTried:
        return request.arrived;
    }
    return request.arrived;
}

} // namespace wisteria
