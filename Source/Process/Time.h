#pragma once

#include <chrono>

namespace wisteria {

/// The clock that decisions are measured by; it never jumps, and differs from VM to VM.
using Clock = std::chrono::steady_clock;
/// A moment of one process's monotonic clock. Tests pass moments of virtual time.
using TimePoint = Clock::time_point;
/// Moment of the wall clock, for idempotency keys and for people.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads the monotonic clock. Only process shells call this; decisions take the time as argument.
inline TimePoint monotonicNow()
{
    return Clock::now();
}

/// Reads the wall clock. Only process shells call this.
inline WallTime wallNow()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

/// Milliseconds from now until then, never below zero.
inline milliseconds remaining(TimePoint now, TimePoint then)
{
    if (then <= now)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(then - now);
}

} // namespace wisteria
