#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "Process/Time.h"
#include "Request/OrganisationShares.h"

namespace wisteria {

/// Averaging time of the dispatch rate: several forward passes of a group, so that the rate follows
/// a surge within its first second.
constexpr milliseconds dispatchRateWindow{500};

/// A request may always queue if it and the queued requests ahead of it are no more than this
/// number: a service that was briefly stalled, or that gets few requests, has no meaningful
/// dispatch rate.
constexpr double minQueueLength = 2;

/// Requests of one gateway that wait for a slot of a service, and its recent dispatch rate. A value
/// type without I/O.
struct AdmissionQueue
{
    /// Count of first sends, decayed exponentially with the time constant `dispatchRateWindow`.
    double recentSends = 0;
    TimePoint decayedAt;
    /// Number of waiting requests by priority and organisation; the lowest priority number is
    /// served first.
    std::map<std::uint32_t, OrganisationCounts> waiting;
};

/// Records that a request got a slot for its first send.
void noteDispatched(AdmissionQueue &queue, TimePoint now);

/// @param organisation Empty when the request has none.
void joinQueue(AdmissionQueue &queue, std::uint32_t priority, const std::string &organisation);
void leaveQueue(AdmissionQueue &queue, std::uint32_t priority, const std::string &organisation);

/// Returns the number of queued requests that are served before a new one: those of higher priority
/// and, of its own priority, all or those that its organisation's recent starts put ahead of it.
/// @param shares Null to serve the requests of one priority in order of arrival.
std::size_t countAhead(const AdmissionQueue &queue, std::uint32_t priority,
                       const OrganisationShares *shares, const std::string &organisation,
                       TimePoint now);

/// Returns whether a request that finds all slots busy is likely to get one within `wait`, after
/// the queued requests ahead of it.
///
/// Without this check, all requests of a surge wait for half of their target latency, and most of
/// them in vain. Callers that are refused at once can try elsewhere, and those that wait are
/// served.
/// @param ahead See countAhead().
bool waitCanSucceed(const AdmissionQueue &queue, std::size_t ahead, milliseconds wait,
                    TimePoint now);

} // namespace wisteria
