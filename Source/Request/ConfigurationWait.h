#pragma once

#include <algorithm>
#include <optional>

#include "Process/Time.h"

namespace wisteria {

/// Until when a request waits that comes before its gateway knows any configuration.
///
/// Answers a restart of all gateways at once, as after a loss of power or while the store is away:
/// callers that are refused come back once, and find the store still away or the group still
/// closed. A caller gives up a stream that has no event after two seconds.
/// @param deadline When the caller no longer waits; unknown where it did not say.
inline TimePoint waitsForConfigurationUntil(TimePoint arrived, std::optional<TimePoint> deadline)
{
    constexpr milliseconds maxWait{1200};
    constexpr int partOfTime = 4;
    if (!deadline)
        return arrived;
    return arrived + std::min(maxWait, remaining(arrived, *deadline) / partOfTime);
}

} // namespace wisteria
