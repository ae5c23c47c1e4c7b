#include "Request/AcceptControl.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteria {

namespace {

/// Time for which tokens of the limit collect.
constexpr milliseconds limitBurstTime{250};
/// Tokens from which connections are accepted again: opening a listening socket costs about as much
/// as accepting one.
constexpr double minTokensToListen = 4;

void setLimit(AcceptControl &control, double perSecond, TimePoint now)
{
    const double tokens = control.limit ? control.limit->tokens : 0;
    const double burst = perSecond * secondsOf(limitBurstTime);
    control.limit = TokenBucket{.tokens = tokens,
                                .rate = perSecond,
                                .capacity = std::max(minTokensToListen, burst),
                                .refilledAt = now};
    control.limitChangedAt = now;
}

void decayRates(AcceptControl &control, TimePoint now)
{
    const double passed = secondsOf(remaining(control.decayedAt, now));
    const double factor = std::exp(-passed / secondsOf(acceptRateDecay));
    control.recentlyTaken *= factor;
    control.recentlyArrived *= factor;
    control.decayedAt = now;
}

/// Whether the loop may be late because of new connections. It may also be late as the VM was
/// frozen; then callers would only lose their connections.
bool isFlooded(AcceptControl &control, TimePoint now)
{
    decayRates(control, now);
    return control.limit
        || control.recentlyArrived / secondsOf(acceptRateDecay) >= minLimitPerSecond;
}

/// Whether the measurement under way shows already that the loop is late.
bool isLate(const AcceptControl &control, TimePoint now)
{
    return control.measuredSince != TimePoint() && now - control.measuredSince >= overloadDelay;
}

void cutLimit(AcceptControl &control, TimePoint now)
{
    const double taken = control.recentlyTaken / secondsOf(acceptRateDecay);
    const double former = control.limit ? std::min(control.limit->rate, taken) : taken;
    setLimit(control, std::max(minLimitPerSecond, former * limitCut), now);
}

void growLimit(AcceptControl &control, TimePoint now)
{
    decayRates(control, now);
    refill(*control.limit, now);
    const double arriving = control.recentlyArrived / secondsOf(acceptRateDecay);
    const double grown = control.limit->rate * limitGrowth;
    if (grown > std::max(minLimitPerSecond, 2 * arriving))
        control.limit.reset();
    else
        setLimit(control, grown, now);
}

} // namespace

bool shouldMeasure(AcceptControl &control)
{
    const bool arrived = std::exchange(control.arrived, false);
    const bool underWay = control.measuredSince != TimePoint();
    return !underWay && (control.limit || arrived);
}

void beginMeasurement(AcceptControl &control, TimePoint now)
{
    control.measuredSince = now;
}

bool endMeasurement(AcceptControl &control, TimePoint now)
{
    const milliseconds delay = remaining(std::exchange(control.measuredSince, {}), now);
    const bool before = control.overloaded;
    if (delay >= overloadDelay && isFlooded(control, now))
        control.overloaded = true;
    else if (delay < recoveredDelay)
        control.overloaded = false;
    if (control.overloaded && !before) {
        control.turnedAway = 0;
        cutLimit(control, now);
    } else if (delay < recoveredDelay && control.limit
               && now - control.limitChangedAt >= limitStepTime) {
        growLimit(control, now);
    }
    return control.overloaded != before;
}

bool shouldListen(AcceptControl &control, bool listening, TimePoint now)
{
    if (control.overloaded || (isLate(control, now) && isFlooded(control, now)))
        return false;
    if (!control.limit)
        return true;
    refill(*control.limit, now);
    return control.limit->tokens >= (listening ? 1 : minTokensToListen);
}

bool admitConnection(AcceptControl &control, TimePoint now)
{
    control.arrived = true;
    decayRates(control, now);
    ++control.recentlyArrived;
    if (!shouldListen(control, true, now)) {
        ++control.turnedAway;
        return false;
    }
    if (control.limit)
        --control.limit->tokens;
    ++control.recentlyTaken;
    return true;
}

} // namespace wisteria
