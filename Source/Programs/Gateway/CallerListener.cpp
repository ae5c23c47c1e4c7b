#include "Programs/Gateway/CallerListener.h"

#include <utility>

#include <unistd.h>

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

namespace {

/// Whether a line that may repeat for each connection is due again. In a flood, each line costs
/// more than closing a connection.
bool isLogDue(TimePoint &loggedAt, TimePoint now)
{
    constexpr milliseconds logInterval{1000};
    if (now - loggedAt < logInterval)
        return false;
    loggedAt = now;
    return true;
}

} // namespace

CallerListener::CallerListener(EventLoop &loop, EventLog &log, Metrics &metrics,
                               std::size_t maxConnections, Events events)
    : loop_(loop), log_(log), metrics_(metrics), maxConnections_(maxConnections),
      events_(std::move(events)),
      listener_(loop, [this](int descriptor) { handleConnection(descriptor, monotonicNow()); })
{ }

CallerListener::~CallerListener()
{
    *alive_ = false;
}

Result<void> CallerListener::listen(const Endpoint &address)
{
    BOOST_OUTCOME_TRYV(listener_.listen(address));
    address_ = listener_.address();
    open_ = true;
    listening_ = true;
    return boost::outcome_v2::success();
}

void CallerListener::close()
{
    if (listening_)
        listener_.acceptWaiting();
    open_ = false;
    listening_ = false;
    listener_.close();
}

void CallerListener::handleConnection(int descriptor, TimePoint now)
{
    if (takesConnection(now)) {
        events_.accepted(descriptor);
    } else {
        countTurnedAway(metrics_);
        ::close(descriptor);
    }
    updateListening(now);
}

bool CallerListener::takesConnection(TimePoint now)
{
    const bool full = events_.openConnections() >= maxConnections_;
    if (full && isLogDue(fullLoggedAt_, now)) {
        log_.warn("caller.refused",
                  {{"reason", "too many connections"}, {"limit", maxConnections_}});
    }
    return admitConnection(control_, now) && !full;
}

void CallerListener::check(TimePoint now)
{
    updateListening(now);
    if (!shouldMeasure(control_))
        return;
    const bool posted = loop_.post([this, alive = alive_] {
        if (*alive)
            finishMeasurement(monotonicNow());
    });
    if (posted)
        beginMeasurement(control_, now);
}

void CallerListener::finishMeasurement(TimePoint now)
{
    const milliseconds delay = remaining(control_.measuredSince, now);
    if (endMeasurement(control_, now)) {
        log_.warn(control_.overloaded ? "caller.overload" : "caller.overload_over",
                  {{"delay_s", secondsOf(delay)}, {"turned_away", control_.turnedAway}});
    }
    updateListening(now);
}

/// Closes the listening socket while no connection would be taken, so that the kernel refuses them
/// all, those that wait to be accepted too. Even closing each one costs more than a gateway with a
/// small part of a core has.
void CallerListener::updateListening(TimePoint now)
{
    const bool wanted = open_ && shouldListen(control_, listening_, now);
    if (wanted == listening_)
        return;
    if (!wanted) {
        listening_ = false;
        listener_.close();
        return;
    }
    const auto listened = listener_.listen(address_);
    if (listened.has_error() && isLogDue(failureLoggedAt_, now))
        log_.warn("caller.not_listening", {{"reason", listened.error().message}});
    listening_ = listened.has_value();
}

} // namespace wisteria
