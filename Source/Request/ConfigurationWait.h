#pragma once

#include <algorithm>
#include <optional>

#include "Process/Time.h"

namespace wisteria {

/// Returns until when a request waits if its gateway has no configuration yet; its arrival time
/// when its deadline is unknown.
///
/// The wait covers a restart of all gateways at once, after a power loss or while the store is
/// unavailable: refused callers retry once and would find the store still unavailable or the group
/// still closed. The bounds are those of AdmissionTimeouts for a closed group. A caller abandons a
/// stream that has no event after two seconds.
/// @param deadline When the caller stops waiting; nothing if the request does not say.
inline TimePoint configurationTimeoutAt(TimePoint arrived, std::optional<TimePoint> deadline)
{
    constexpr milliseconds maxWait{1200};
    constexpr int timeLeftDivisor = 4;
    if (!deadline)
        return arrived;
    return arrived + std::min(maxWait, remaining(arrived, *deadline) / timeLeftDivisor);
}

} // namespace wisteria
