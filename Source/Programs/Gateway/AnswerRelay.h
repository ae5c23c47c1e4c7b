#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Process/Time.h"
#include "Programs/Gateway/AnswerSink.h"
#include "Request/EventSplitter.h"
#include "Request/GatewayRequest.h"
#include "Request/RetryDecision.h"
#include "Request/RouteTable.h"

namespace wisteria {

/// Why an answer that is complete is not what the caller asked for.
struct AnswerFailure
{
    SendOutcome outcome = SendOutcome::Incomplete;
    const char *reason = "";
};

/// Passes the answers of backend servers on to a caller: the events of a stream as they come, over
/// several sends if it is resumed, and other answers as a whole.
class AnswerRelay
{
public:
    /// @param sink Must outlive this object.
    AnswerRelay(AnswerSink &sink, RequestKind kind) : sink_(sink), kind_(kind) { }

    /// Prepares for the answer to a send. Drops what came of the one before.
    void beginSend(TimePoint now);
    /// Records the head of the answer.
    /// @param marksEnd The answer marks its own end, so that a complete one is told from one that
    /// was cut short.
    void receiveHead(BackendAnswerHead head, bool marksEnd, TimePoint now);
    /// Takes a part of the body.
    /// @return Whether events were passed on to the caller.
    bool receiveBody(std::string_view bytes, TimePoint now);

    /// Whether more of the answer is held than any sound one needs; it perhaps has no end.
    bool tooLong() const;
    /// Number of bytes that are held of the answer.
    std::size_t heldBytes() const { return body_.capacity() + splitter_.pending(); }

    /// Whether the answer is a stream that is passed on event by event.
    bool isStream() const;
    /// Returns why the answer, which has ended, is no usable one; nothing if it is.
    std::optional<AnswerFailure> failure() const;
    /// Whether the answer, which has ended, shows that a backend server ran the whole request. A
    /// failure shows no such thing: a server says 504 by itself when the time is over, also to a
    /// request that would have crashed it a moment later. A rejection may come before the body was
    /// read, and an answer that ends with its connection may have been cut short by a crash.
    bool showsCompletedRun() const;
    /// Whether the answer, which has ended, shows such a run if its server is found to live on: it
    /// ended with its connection, or is the server's own that asks the caller for something else.
    /// A rejection for now, such as 429, does not.
    bool mayShowCompletedRun() const;
    /// Whether the answer, which has ended, is a backend server's own that asks the caller for
    /// something else, such as 304 or 404.
    bool showsCallerError() const;
    /// Ends the stream, or sends the whole answer.
    void finish();

    const BackendAnswerHead &head() const { return head_; }
    bool marksEnd() const { return marksEnd_; }
    /// Id of the last event that the caller got; nothing if none had one.
    std::optional<std::uint64_t> lastEventId() const { return splitter_.lastId(); }
    /// Whether a part of a stream was passed on.
    bool begun() const { return begun_; }
    TimePoint firstEventAt() const { return firstEventAt_; }
    milliseconds longestPause() const { return longestPause_; }

private:
    const char *unusableReason() const;
    bool endsInsideEvent() const;

    AnswerSink &sink_;
    RequestKind kind_;
    BackendAnswerHead head_;
    bool marksEnd_ = false;
    std::string body_;
    EventSplitter splitter_;
    bool begun_ = false;
    TimePoint firstEventAt_;
    TimePoint pauseBegunAt_;
    milliseconds longestPause_{0};
};

} // namespace wisteria
