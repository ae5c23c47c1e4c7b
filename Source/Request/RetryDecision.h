#pragma once

#include <cstdint>

#include "Process/Time.h"
#include "Version/ServiceConfiguration.h"

namespace wisteria {

/// How one send of a request to a backend server ended, other than with an answer to pass on.
enum class SendOutcome {
    NeverSent, ///< No connection could be set up.
    NotExecuted, ///< The backend server says that it did not run it and never will.
    ServerError, ///< The backend server ran it and failed.
    Incomplete, ///< No whole answer came; it may have run.
    TimedOut, ///< Nothing came for longer than a sound backend server takes; it may have run.
};

/// The end in words, for metrics.
const char *nameOf(SendOutcome outcome);

/// What became of a request so far.
struct SendHistory
{
    /// Sends that reached a backend server, the last one included.
    std::uint32_t delivered = 0;
    /// Sends that found no connection, the last one included.
    std::uint32_t refusedConnections = 0;
    /// One of the sends may have run.
    bool mayHaveRun = false;
    /// A part of an answer went to the caller.
    bool answerBegun = false;
};

/// What happens to a request whose send ended.
enum class RetryDecision {
    Retry, ///< Send it to another backend server.
    Forward, ///< Hand the backend server's own failure to the caller.
    Refuse, ///< Tell the caller that it has not run (503).
    Fail, ///< Tell the caller that the outcome is unknown (502).
    TimeOut, ///< The same, because its time is over (504).
    Abort, ///< Close the connection: a part of the answer is out and the rest can't be had.
};

/// Connections that may be refused for one request; a dead backend server costs one each.
constexpr std::uint32_t maxRefusedConnections = 3;
/// A send with less time left than this can't be answered in time any more.
constexpr milliseconds minTimeForSend{40};

/// Whether the route's rules let the request be sent once more. The caller then still has to take
/// a retry from the service's share, unless the last send never arrived.
bool mayRetry(const RouteRule &route, SendOutcome outcome, const SendHistory &history,
              milliseconds timeLeft);

/// The end of a request that is not sent again.
RetryDecision finalDecision(SendOutcome outcome, const SendHistory &history, milliseconds timeLeft);

} // namespace wisteria
