#include "Request/NextStep.h"

namespace wisteria {

const char *nameOf(SendEnd end)
{
    switch (end) {
    case SendEnd::NeverSent:
        return "no connection";
    case SendEnd::NotExecuted:
        return "not executed";
    case SendEnd::ServerError:
        return "server error";
    case SendEnd::Broken:
        return "broken off";
    case SendEnd::Silent:
        return "silent";
    }
    return "";
}

bool mayRetry(const RouteRule &route, SendEnd end, const SendHistory &history,
              milliseconds timeLeft)
{
    if (timeLeft < leastTimeForSend)
        return false;
    if (end == SendEnd::NeverSent)
        return history.refusedConnections < refusedConnectionsAtMost;
    if (history.arrivals >= route.maxAttempts)
        return false;
    // A request that may have run is only repeated where the route allows it.
    return !history.mayHaveRun || route.repeatable();
}

NextStep finalStep(SendEnd end, const SendHistory &history, milliseconds timeLeft)
{
    if (history.answerBegun)
        return NextStep::BreakOff;
    if (end == SendEnd::ServerError)
        return NextStep::PassOn;
    // Only a request of which no send may have run is told as not run.
    if (!history.mayHaveRun)
        return NextStep::Refuse;
    return timeLeft <= milliseconds(0) ? NextStep::TimeOut : NextStep::Fail;
}

} // namespace wisteria
