#include "Request/MoveDecision.h"

#include "Request/ServerSilence.h"

namespace wisteria {

const char *nameOf(MoveCause cause)
{
    switch (cause) {
    case MoveCause::None:
        return "none";
    case MoveCause::Slow:
        return "slow";
    case MoveCause::Silent:
        return "silent";
    }
    return "none";
}

MoveCause moveCauseOf(const BackendState &server, const RouteRule &route, TimePoint now,
                      milliseconds loadLifetime)
{
    if (!route.repeatable())
        return MoveCause::None;
    if (isSilent(server, now))
        return MoveCause::Silent;
    const bool slow = slowdownOf(server, now, loadLifetime) >= moveAtSlowdown;
    return slow && route.kind == RequestKind::Streaming ? MoveCause::Slow : MoveCause::None;
}

bool isMoveTarget(const BackendState &server, TimePoint now, milliseconds loadLifetime)
{
    return !isSilent(server, now) && slowdownOf(server, now, loadLifetime) < moveAtSlowdown;
}

} // namespace wisteria
