#include "Programs/Gateway/AnswerRelay.h"

#include <algorithm>
#include <utility>

namespace wisteria {

namespace {

/// Longest answer that is held until it is complete, in bytes.
constexpr std::size_t maxAnswerBytes = 16777216;
/// Longest event of a stream in bytes.
constexpr std::size_t maxEventBytes = 1048576;

/// Whether a server that answers so may run the same request at another time.
bool isRejectionForNow(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooEarly = 425;
    constexpr int tooManyRequests = 429;
    return status == requestTimeout || status == misdirected || status == tooEarly
        || status == tooManyRequests;
}

} // namespace

void AnswerRelay::beginSend(TimePoint now)
{
    head_ = {};
    body_ = {};
    splitter_.discardPartialEvent();
    pauseBegunAt_ = now;
}

void AnswerRelay::receiveHead(BackendAnswerHead head, bool marksEnd, TimePoint now)
{
    head_ = std::move(head);
    marksEnd_ = marksEnd;
    pauseBegunAt_ = now;
}

bool AnswerRelay::receiveBody(std::string_view bytes, TimePoint now)
{
    if (!isStream()) {
        body_.append(bytes);
        return false;
    }
    const std::string events = splitter_.feed(bytes);
    if (events.empty())
        return false;
    if (!begun_) {
        begun_ = true;
        firstEventAt_ = now;
        sink_.beginStream(head_.status, head_.forwardedFields);
    } else {
        longestPause_ = std::max(longestPause_, remaining(pauseBegunAt_, now));
    }
    pauseBegunAt_ = now;
    sink_.sendStream(events);
    return true;
}

bool AnswerRelay::tooLong() const
{
    return body_.size() > maxAnswerBytes || splitter_.pending() > maxEventBytes;
}

bool AnswerRelay::isStream() const
{
    return kind_ == RequestKind::Streaming && head_.success() && head_.eventStream && head_.sealed
        && !head_.encoded;
}

std::optional<AnswerFailure> AnswerRelay::failure() const
{
    if (isStream()) {
        if (!begun_)
            return AnswerFailure{.reason = "the stream ended before its first event"};
        if (splitter_.pending() > 0)
            return AnswerFailure{.reason = "the stream ended within an event"};
        return std::nullopt;
    }
    if (const char *reason = unusableReason())
        return AnswerFailure{.reason = reason};
    constexpr int firstServerError = 500;
    if (head_.status >= firstServerError)
        return AnswerFailure{SendOutcome::ServerError, "the backend server failed"};
    return std::nullopt;
}

/// Why an answer that is no stream can't be forwarded; null if it can. The seal is the header field
/// that marks the backend server's own answers.
const char *AnswerRelay::unusableReason() const
{
    if (begun_)
        return "the answer is not usable: it does not go on with the stream";
    if (head_.encoded)
        return "the answer is not usable: it is in an encoding that was not asked for";
    if (endsInsideEvent())
        return "the answer is not usable: it ends within an event";
    if (head_.success() && !head_.sealed)
        return "the answer is not usable: it has no seal";
    if (head_.success() && kind_ == RequestKind::Streaming)
        return "the answer is not usable: it is no stream";
    return nullptr;
}

bool AnswerRelay::showsCompletedRun() const
{
    return head_.success() && head_.sealed && marksEnd_ && !failure();
}

bool AnswerRelay::mayShowCompletedRun() const
{
    if (showsCallerError())
        return !isRejectionForNow(head_.status);
    return head_.success() && head_.sealed && !failure();
}

bool AnswerRelay::showsCallerError() const
{
    constexpr int firstRedirect = 300;
    constexpr int firstServerError = 500;
    return head_.sealed && head_.status >= firstRedirect && head_.status < firstServerError
        && !failure();
}

/// Whether a stream that is forwarded as a whole was cut off, which shows in its last event only if
/// it ends with its connection.
bool AnswerRelay::endsInsideEvent() const
{
    if (!head_.eventStream || marksEnd_)
        return false;
    EventSplitter splitter;
    splitter.feed(body_);
    return splitter.pending() > 0;
}

void AnswerRelay::finish()
{
    if (isStream()) {
        sink_.endStream();
        return;
    }
    // The sink may destroy this object.
    const BackendAnswerHead head = std::move(head_);
    const std::string body = std::move(body_);
    sink_.answer(head.status, head.forwardedFields, body);
}

} // namespace wisteria
