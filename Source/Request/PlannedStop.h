#pragma once

#include <optional>

#include "Process/Time.h"

namespace wisteria {

/// A stop of a gateway that the platform has announced: SIGTERM, and SIGKILL after the grace
/// period. Every request that the gateway has read gets an answer in between.
struct PlannedStop
{
    /// When SIGTERM came.
    TimePoint begunAt;
    milliseconds gracePeriod{0};
};

/// Returns until when a stopping gateway accepts connections.
TimePoint acceptsUntil(const PlannedStop &stop);

/// Returns when a stopping gateway answers all requests that are still open, except streams that
/// have begun.
TimePoint answersOpenAt(const PlannedStop &stop);

/// Returns when a stopping gateway exits at the latest.
TimePoint exitsAt(const PlannedStop &stop);

/// What is known of the time that a request needs.
struct RunTime
{
    TimePoint arrived;
    /// When its caller or its route stops waiting.
    TimePoint deadline;
    /// What nearly all recent runs of its service took; nothing if none is known.
    std::optional<milliseconds> usual;
};

/// Returns whether a stopping gateway may send a request to a backend server now: only if it
/// completes before the open ones are answered, by what runs usually take if it arrived while the
/// gateway accepted connections, and in any case if it arrived later.
///
/// Guards against requests that are sent late in the grace period and cut off at its end: a caller
/// whose request must not run twice would never know whether it ran.
bool maySend(const PlannedStop &stop, const RunTime &run, TimePoint now);

} // namespace wisteria
