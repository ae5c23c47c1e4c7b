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
    case SendOutcome::Malformed:
        return "malformed";
    case SendOutcome::Unending:
        return "unending";
    case SendOutcome::TimedOut:
        return "silent";
    }
    return "";
}

bool mayHaveRunAfter(SendOutcome outcome)
{
    return outcome != SendOutcome::NeverSent && outcome != SendOutcome::NotExecuted;
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
    // A request that may have run is repeated only if the route allows it.
    return !history.mayHaveRun || route.repeatable();
}

RetryDecision finalDecision(SendOutcome outcome, const SendHistory &history, milliseconds timeLeft)
{
    if (history.answerBegun)
        return RetryDecision::Abort;
    if (outcome == SendOutcome::ServerError)
        return RetryDecision::Forward;
    // A request is reported as not run only if none of its sends may have run.
    if (!history.mayHaveRun)
        return RetryDecision::Refuse;
    return timeLeft <= milliseconds(0) ? RetryDecision::TimeOut : RetryDecision::Fail;
}

} // namespace wisteria
