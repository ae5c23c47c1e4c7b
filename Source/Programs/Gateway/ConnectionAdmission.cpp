#include "Programs/Gateway/ConnectionAdmission.h"

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

ConnectionAdmission::ConnectionAdmission(EventLoop &loop, EventLog &log, Metrics &metrics)
    : loop_(loop), log_(log), metrics_(metrics)
{ }

ConnectionAdmission::~ConnectionAdmission()
{
    *alive_ = false;
}

bool ConnectionAdmission::admit(TimePoint now)
{
    const bool admitted = admitConnection(control_, now);
    if (!admitted)
        countTurnedAway(metrics_);
    return admitted;
}

void ConnectionAdmission::check(TimePoint now)
{
    if (!shouldMeasure(control_))
        return;
    beginMeasurement(control_, now);
    loop_.post([this, alive = alive_] {
        if (*alive)
            finishMeasurement(monotonicNow());
    });
}

void ConnectionAdmission::finishMeasurement(TimePoint now)
{
    const milliseconds delay = remaining(control_.measuredSince, now);
    if (!endMeasurement(control_, now))
        return;
    log_.warn(control_.overloaded ? "caller.overload" : "caller.overload_over",
              {{"delay_s", secondsOf(delay)}, {"turned_away", control_.turnedAway}});
}

} // namespace wisteria
