#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "Process/Time.h"

namespace wisteria {

/// Averaging time of the dispatch rate: several forward passes of a group, so that the rate follows
/// a surge within its first second.
constexpr milliseconds dispatchRateWindow{500};

/// A request may always queue if it and the queued requests of higher or equal priority are no more
/// than this number: a service that was briefly stalled, or that gets few
/// requests, has no meaningful dispatch rate.
constexpr double minQueueLength = 2;

/// Requests of one gateway that wait for a slot of a service, and its recent dispatch rate. A value
/// type without I/O.
struct AdmissionQueue
{
    /// Count of first sends, decayed exponentially with the time constant `dispatchRateWindow`.
    double recentSends = 0;
    TimePoint decayedAt;
    /// Number of waiting requests by priority; the lowest priority number is served first.
    std::map<std::uint32_t, std::size_t> waiting;
};

/// Records that a request got a slot for its first send.
void noteDispatched(AdmissionQueue &queue, TimePoint now);

void joinQueue(AdmissionQueue &queue, std::uint32_t priority);
void leaveQueue(AdmissionQueue &queue, std::uint32_t priority);

/// Returns whether a request that finds all slots busy is likely to get one within `wait`, after
/// the queued requests of higher or equal priority.
///
/// Without this check, all requests of a surge wait for half of their target latency, and most of
/// them in vain. Callers that are refused at once can try elsewhere, and those that wait are
/// served.
/// @param priority 0 is the most urgent.
bool waitCanSucceed(const AdmissionQueue &queue, std::uint32_t priority, milliseconds wait,
                    TimePoint now);

} // namespace wisteria
