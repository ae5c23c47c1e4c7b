#pragma once

#include <algorithm>

#include "Process/Time.h"
#include "Request/BackendBoard.h"

namespace wisteria {

/// When callers are told to come back. A caller comes back once: one that comes too early is
/// refused for good, and all that come at the same moment are refused together.
struct ComeBackTimes
{
    /// Places are taken and work goes on: about the time in which a place becomes free.
    milliseconds full{400};
    /// No work goes on: a restart, a group that forms anew or is held takes seconds.
    milliseconds standing{1200};
    /// Spread of the latter.
    milliseconds standingSpread{1000};
    /// Service without any event of any stream for this long, while its places are taken, stands.
    /// It is several passes.
    milliseconds stalledAfter{500};
};

/// @param why Why no backend server was chosen.
/// @param sinceProgress Time since the service last answered anything.
/// @param draw A number from 0 to below 1.
inline milliseconds comeBackAfter(const ComeBackTimes &times, NoBackend why,
                                  milliseconds sinceProgress, double draw)
{
    if (why == NoBackend::AllFull && sinceProgress < times.stalledAfter)
        return times.full;
    return times.standing + std::chrono::duration_cast<milliseconds>(times.standingSpread * draw);
}

/// The same where it may be known when a backend server takes a request again. No caller comes back
/// before, and not all come at that moment.
inline milliseconds comeBackAfter(const ComeBackTimes &times, const BackendChoice &choice,
                                  milliseconds sinceProgress, TimePoint now, double draw)
{
    if (choice.freeAt == TimePoint())
        return comeBackAfter(times, choice.why, sinceProgress, draw);
    return std::max(times.full, remaining(now, choice.freeAt))
        + std::chrono::duration_cast<milliseconds>(times.standingSpread * draw);
}

} // namespace wisteria
