#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace wisteria {

/// Monotonic clock for timeouts and deadlines. Its epoch differs from VM to VM.
///
/// It includes the time during which the VM was suspended (CLOCK_BOOTTIME). Without that time a
/// lease or a deadline that expired during the suspension would still look valid on this VM.
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
/// Point in time on one VM's clock since its boot. Tests pass virtual time.
using TimePoint = Clock::time_point;
/// Wall clock time in milliseconds, for idempotency keys and for output to users.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads the monotonic clock. For the I/O layer only; decision functions have a `now` parameter.
inline TimePoint monotonicNow()
{
    return Clock::now();
}

/// Reads the wall clock. For the I/O layer only.
inline WallTime wallNow()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

/// Returns milliseconds from `now` until `then`, or 0 if past. Elapsed time: remaining(since, now).
inline milliseconds remaining(TimePoint now, TimePoint then)
{
    if (then <= now)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(then - now);
}

/// Converts a duration to fractional seconds, for logs and metrics.
inline double secondsOf(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace wisteria
