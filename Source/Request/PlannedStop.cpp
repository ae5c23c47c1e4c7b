#include "Request/PlannedStop.h"

#include <algorithm>

namespace wisteria {

namespace {

/// The platform checks readiness once a second and sends callers elsewhere after two failed checks.
constexpr milliseconds acceptTime{2600};
/// Time before the end of the grace period for the last answers to be sent.
constexpr milliseconds answerMargin{500};
/// Time before the end of the grace period for the process to exit.
constexpr milliseconds exitMargin{300};

} // namespace

TimePoint acceptsUntil(const PlannedStop &stop)
{
    return stop.begunAt + acceptTime;
}

TimePoint answersOpenAt(const PlannedStop &stop)
{
    return stop.begunAt + std::max(milliseconds(0), stop.gracePeriod - answerMargin);
}

TimePoint exitsAt(const PlannedStop &stop)
{
    return stop.begunAt + std::max(milliseconds(0), stop.gracePeriod - exitMargin);
}

bool maySend(const PlannedStop &stop, const RunTime &run, TimePoint now)
{
    const milliseconds longest = remaining(now, run.deadline);
    const bool usualSuffices = run.usual && run.arrived < acceptsUntil(stop);
    const milliseconds needed = usualSuffices ? std::min(longest, *run.usual) : longest;
    return now + needed <= answersOpenAt(stop);
}

} // namespace wisteria
