#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "Process/Time.h"

namespace wisteria {

/// Time over which the rate of first sends is taken: several passes of a group, so that it follows
/// a surge within its first second.
constexpr milliseconds dispatchRateWindow{500};

/// Requests that may wait however few places were found of late: a service that stood still for a
/// moment, or that few call, has no rate to go by.
constexpr double minQueueLength = 2;

/// How often one gateway finds places of a service, and who waits there for one. A plain value.
struct AdmissionQueue
{
    /// First sends, each fading with `dispatchRateWindow`.
    double recentSends = 0;
    TimePoint decayedAt;
    /// Requests that wait, by priority; the lowest number goes first.
    std::map<std::uint32_t, std::size_t> waiting;
};

/// Notes that a request found its first place.
void noteDispatched(AdmissionQueue &queue, TimePoint now);

void joinQueue(AdmissionQueue &queue, std::uint32_t priority);
void leaveQueue(AdmissionQueue &queue, std::uint32_t priority);

/// Whether a request that finds all places taken is likely to get one within its wait, behind those
/// that wait already and go before it.
///
/// Answers a surge: all that arrived used to wait for half of their target latency, and most of
/// them in vain. Told at once, callers can turn elsewhere, and those that wait are served.
bool waitCanSucceed(const AdmissionQueue &queue, std::uint32_t priority, milliseconds wait,
                    TimePoint now);

} // namespace wisteria
