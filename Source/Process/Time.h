#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace wisteria {

/// The clock that decisions are measured by; it never jumps, and differs from VM to VM.
///
/// It counts the time for which a VM was suspended. A clock that leaves it out would show a lease
/// or a deadline as valid that ran out for everybody else while the VM stood still.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec read{};
        clock_gettime(CLOCK_BOOTTIME, &read);
        return time_point(std::chrono::seconds(read.tv_sec)
                          + std::chrono::nanoseconds(read.tv_nsec));
    }
};

using Clock = BootClock;
/// A moment of one VM's clock since its boot. Tests pass moments of virtual time.
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

/// A time in seconds with its fraction, for logs and metrics.
inline double secondsOf(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace wisteria
