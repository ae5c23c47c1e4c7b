#include "Request/RetryDecision.h"

namespace wisteria {

const char *nameOf(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::NeverSent:
        return "no connection";
    case SendOutcome::NotExecuted:
        return "not executed";
    case SendOutcome::ServerError:
        return "server error";
    case SendOutcome::Incomplete:
        return "broken off";
    case SendOutcome::TimedOut:
        return "silent";
    }
    return "";
}

bool mayRetry(const RouteRule &route, SendOutcome outcome, const SendHistory &history,
              milliseconds timeLeft)
{
    if (timeLeft < minTimeForSend)
        return false;
    if (outcome == SendOutcome::NeverSent)
        return history.refusedConnections < maxRefusedConnections;
    if (history.delivered >= route.maxAttempts)
        return false;
    // A request that may have run is only repeated where the route allows it.
    return !history.mayHaveRun || route.repeatable();
}

RetryDecision finalDecision(SendOutcome outcome, const SendHistory &history, milliseconds timeLeft)
{
    if (history.answerBegun)
        return RetryDecision::Abort;
    if (outcome == SendOutcome::ServerError)
        return RetryDecision::Forward;
    // Only a request of which no send may have run is told as not run.
    if (!history.mayHaveRun)
        return RetryDecision::Refuse;
    return timeLeft <= milliseconds(0) ? RetryDecision::TimeOut : RetryDecision::Fail;
}

} // namespace wisteria
