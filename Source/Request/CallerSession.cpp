#include "Request/CallerSession.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "Connection/AnswerFault.h"
#include "Connection/CallerProtocol.h"
#include "Connection/FrameCodec.h"
#include "Peer.pb.h"
#include "Process/Logging.h"

namespace wisteria {

namespace {

const char *const runPath = "/v1/run";
/// Largest part of a body in one frame.
constexpr std::size_t bodyFrameBytes = 1024 * 1024;
/// Bytes that may be queued for a slow caller before reading from its agent pauses.
constexpr std::size_t pauseAboveBytes = 128 * 1024;

std::string framesOf(const v1::RunHead &head, std::string_view body)
{
    std::string frames;
    v1::RunFrame frame;
    *frame.mutable_head() = head;
    appendFrame(frames, frame);
    for (std::size_t at = 0; at < body.size(); at += bodyFrameBytes) {
        v1::RunFrame part;
        part.set_body(std::string(body.substr(at, bodyFrameBytes)));
        appendFrame(frames, part);
    }
    return frames;
}

} // namespace

/// Handles one attempt's stream. Frames that arrive after detach() are dropped.
class CallerSession::Attempt : public PeerStreamHandler
{
public:
    explicit Attempt(std::weak_ptr<CallerSession> session) : session_(std::move(session)) { }

    void frameReceived(const std::string &content) override
    {
        if (const auto session = session_.lock())
            session->frameReceived(content);
    }

    void streamClosed(const StreamEnd &end) override
    {
        if (const auto session = session_.lock())
            session->streamClosed(end);
    }

    void detach() { session_.reset(); }

private:
    std::weak_ptr<CallerSession> session_;
};

CallerSession::CallerSession(CallerSessionContext &context,
                             std::shared_ptr<CallerExchange> exchange, CallerRequest request,
                             std::function<void()> closed)
    : context_(context), exchange_(std::move(exchange)), request_(std::move(request)),
      onClosed_(std::move(closed))
{ }

void CallerSession::start()
{
    startedAt_ = monotonicNow();
    EntryAction action =
        startRequest(context_.state, context_.shared, state_, request_, startedAt_);
    if (!std::holds_alternative<Refusal>(action)) {
        const milliseconds wait = remaining(startedAt_, state_.deadline);
        timer_ = context_.loop.runAfter(wait, [session = shared_from_this()] {
            session->timer_ = 0;
            session->deadline();
        });
    }
    perform(std::move(action));
}

void CallerSession::callerGone()
{
    if (ended_)
        return;
    wisteria::callerLeft(context_.state, context_.shared, state_, monotonicNow());
    finish("caller_left", "none");
}

void CallerSession::callerCaughtUp()
{
    if (!std::exchange(paused_, false) || !client_)
        return;
    client_->setPaused(stream_, false);
}

void CallerSession::perform(EntryAction action)
{
    // An attempt that fails at once returns the next action; a loop avoids recursion.
    while (!ended_ && !std::holds_alternative<Nothing>(action))
        action = performOne(action);
}

EntryAction CallerSession::performOne(const EntryAction &action)
{
    if (const auto *attempt = std::get_if<SendAttempt>(&action))
        return send(*attempt);
    if (const auto *refusal = std::get_if<Refusal>(&action))
        refuse(*refusal);
    if (const auto *answer = std::get_if<StartAnswer>(&action))
        beginAnswer(*answer);
    return Nothing{};
}

EntryAction CallerSession::send(const SendAttempt &attempt)
{
    cancelStream();
    client_ = &context_.peers.clientFor(attempt.address);
    attempt_ = std::make_shared<Attempt>(weak_from_this());
    auto opened =
        client_->open(runPath, framesOf(attempt.head, exchange_->request().body), attempt_);
    if (opened.has_value()) {
        stream_ = opened.value();
        return Nothing{};
    }
    client_ = nullptr;
    return attemptLost(context_.state, context_.shared, state_, false, monotonicNow());
}

void CallerSession::refuse(const Refusal &refusal)
{
    cancelStream();
    CallerAnswer answer = renderRefusal(refusal);
    exchange_->answer(answer.status, answer.headers, std::move(answer.body));
    const char *outcome = refusal.end == EndKind::NotRun ? "not_run"
        : refusal.end == EndKind::OutcomeUnknown         ? "unknown"
                                                         : "already_run";
    finish(outcome, reasonName(refusal.reason));
}

void CallerSession::beginAnswer(const StartAnswer &answer)
{
    answer_ = answer;
    answering_ = true;
    // A short answer is complete within this turn of the event loop and is sent with its length;
    // a longer one is streamed.
    context_.loop.defer([session = shared_from_this()] { session->flushAnswer(); });
}

void CallerSession::flushAnswer()
{
    if (ended_ || streaming_ || buffered_.empty())
        return;
    streaming_ = true;
    exchange_->start(answer_.httpStatus, answer_.contentType);
    exchange_->write(std::exchange(buffered_, {}));
}

void CallerSession::frameReceived(const std::string &content)
{
    v1::AgentFrame frame;
    if (ended_ || !frame.ParseFromString(content))
        return;
    // A caller must never get another request's answer: a frame of another request, or of an
    // attempt that was given up, is dropped here, at the first hop that can detect it.
    if (!belongsTo(context_.state, state_, frame))
        return;
    if (frame.has_verdict() && isMalformed(frame.verdict()))
        loggerFor("entry")->warn("{} passed on an answer with status {}: {}.", state_.backendServer,
                                 frame.verdict().http_status(), describe(AnswerFault::Status));
    perform(applyFrame(context_.state, context_.shared, state_, frame, monotonicNow()));
    if (ended_ || !answering_)
        return;
    if (frame.has_chunk())
        appendChunk(frame.chunk());
    if (frame.has_end())
        finishAnswer(isAnswerComplete(state_, frame.end()));
}

void CallerSession::appendChunk(const std::string &bytes)
{
    if (!streaming_) {
        const bool first = buffered_.empty();
        buffered_.append(bytes);
        if (first)
            context_.loop.defer([session = shared_from_this()] { session->flushAnswer(); });
        return;
    }
    exchange_->write(bytes);
    if (!paused_ && exchange_->queuedBytes() > pauseAboveBytes) {
        paused_ = true;
        client_->setPaused(stream_, true);
    }
}

void CallerSession::streamClosed(const StreamEnd &end)
{
    client_ = nullptr;
    if (ended_)
        return;
    if (answering_)
        return finishAnswer(false);
    perform(
        attemptLost(context_.state, context_.shared, state_, end.mayHaveReached, monotonicNow()));
}

void CallerSession::finishAnswer(bool complete)
{
    answerEnded(context_.state, context_.shared, state_, complete, monotonicNow());
    if (!complete && !streaming_) {
        // Nothing has been sent yet, so the caller can still get an error answer.
        return refuse({EndKind::OutcomeUnknown, v1::REASON_CONNECTION_LOST, milliseconds(1000)});
    }
    if (complete) {
        // The agent ends the stream itself; a cancel would look like a caller that hung up.
        attempt_->detach();
        client_ = nullptr;
    }
    if (streaming_)
        exchange_->finish(complete);
    else
        exchange_->answer(answer_.httpStatus, {{"Content-Type", answer_.contentType}},
                          std::move(buffered_));
    finish(complete ? "answer" : "cut", "none");
}

void CallerSession::deadline()
{
    if (ended_)
        return;
    const TimePoint now = monotonicNow();
    EntryAction action = deadlinePassed(context_.state, context_.shared, state_, now);
    if (!std::holds_alternative<Nothing>(action))
        return perform(std::move(action));
    if (answering_)
        finishAnswer(false);
}

void CallerSession::cancelStream()
{
    if (attempt_)
        attempt_->detach();
    if (client_)
        client_->cancel(stream_);
    client_ = nullptr;
}

void CallerSession::finish(const std::string &outcome, const std::string &reason)
{
    ended_ = true;
    cancelStream();
    context_.loop.cancel(std::exchange(timer_, 0));
    context_.report(outcome, reason,
                    std::chrono::duration_cast<microseconds>(monotonicNow() - startedAt_));
    onClosed_();
}

} // namespace wisteria
