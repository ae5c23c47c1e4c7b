#include "Request/AcceptControl.h"

#include <utility>

namespace wisteria {

bool shouldMeasure(AcceptControl &control)
{
    const std::uint32_t accepted = std::exchange(control.accepted, 0);
    const bool underWay = control.measuredSince != TimePoint();
    return !underWay && (control.overloaded || accepted >= minAcceptedToMeasure);
}

void beginMeasurement(AcceptControl &control, TimePoint now)
{
    control.measuredSince = now;
}

bool endMeasurement(AcceptControl &control, TimePoint now)
{
    const milliseconds delay = remaining(std::exchange(control.measuredSince, {}), now);
    const bool before = control.overloaded;
    if (delay >= overloadDelay)
        control.overloaded = true;
    else if (delay < recoveredDelay)
        control.overloaded = false;
    if (control.overloaded && !before)
        control.turnedAway = 0;
    return control.overloaded != before;
}

bool admitConnection(AcceptControl &control, TimePoint now)
{
    ++control.accepted;
    const bool late =
        control.measuredSince != TimePoint() && now - control.measuredSince >= overloadDelay;
    if (!control.overloaded && !late)
        return true;
    ++control.turnedAway;
    return false;
}

} // namespace wisteria
