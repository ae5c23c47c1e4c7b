#include "Programs/Gateway/Session.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/GatewayMetrics.h"
#include "Programs/Gateway/RequestEndLog.h"
#include "Request/ConfigurationWait.h"
#include "platform/RequestCodec.h"

namespace wisteria {

namespace {

CallerLimits limitsOf(const GatewayContext &context)
{
    return context.routes ? context.routes->configuration().limits : CallerLimits{};
}

HttpLimits httpLimitsOf(const CallerLimits &limits)
{
    return {.headerBytes = limits.headerBytes, .bodyBytes = limits.bodyBytes};
}

int statusOf(RequestFault fault)
{
    switch (fault) {
    case RequestFault::HeaderTooLarge:
        return 431;
    case RequestFault::BodyTooLarge:
        return 413;
    case RequestFault::Malformed:
    case RequestFault::None:
        return 400;
    }
    return 400;
}

/// Retry-After of a refusal because the configuration has no service for the route.
constexpr milliseconds noServiceRetryAfter{300};
/// Longest answer, in bytes, that the kernel surely takes for a caller that does not read.
constexpr std::size_t shortAnswerBytes = 16384;
constexpr const char *unreadableReason = "the request can't be read";
constexpr const char *heldTooMuchReason = "too many bytes of requests and answers are held";

} // namespace

Session::Session(GatewayContext &context, int descriptor, SessionEvents events)
    : context_(context), events_(std::move(events)), limits_(limitsOf(context)),
      connection_(context.loop, descriptor, [this] { return takeLimits(); },
                  {.request = [this](HttpRequest request) { startRequest(std::move(request)); },
                   .fault = [this](RequestFault fault) { onFault(fault); },
                   .closed =
                       [this] {
                           logEarlyAbandoned();
                           closed_ = true;
                           events_.closed();
                       },
                   .drained =
                       [this] {
                           if (exchange_)
                               exchange_->resumeReading();
                       },
                   .received = events_.received})
{ }

Session::~Session() = default;

/// Takes over the limits that are in force when a request begins: a connection may be older than
/// the configuration.
HttpLimits Session::takeLimits()
{
    limits_ = limitsOf(context_);
    return httpLimitsOf(limits_);
}

/// Longest wait for a request or, once it has begun, for its rest. While a shorter limit comes into
/// force, the caller may still rely on the one before.
milliseconds Session::waitLimit(bool requestBegun) const
{
    const CallerLimits inForce = limitsOf(context_);
    return requestBegun ? std::max(limits_.headerTimeout, inForce.headerTimeout)
                        : std::max(limits_.idleTimeout, inForce.idleTimeout);
}

void Session::startRequest(HttpRequest raw)
{
    keepAlive_ = raw.keepAlive;
    isHeadRequest_ = raw.method == "HEAD";
    auto decoded = platform::decodeCallerRequest(std::move(raw));
    if (decoded.has_error()) {
        answerWithoutExchange(400, "", milliseconds(0), decoded.error().message.c_str());
        return;
    }
    const TimePoint now = monotonicNow();
    if (context_.canAdmit())
        admit(std::move(decoded.value()), now, now);
    else
        waitForConfiguration(std::move(decoded.value()), now);
}

void Session::waitForConfiguration(GatewayRequest request, TimePoint now)
{
    std::optional<TimePoint> deadline;
    if (request.timeLeft)
        deadline = now + *request.timeLeft;
    early_ = EarlyRequest{.request = std::move(request),
                          .arrived = now,
                          .waitUntil = configurationTimeoutAt(now, deadline)};
    checkEarly(now);
}

void Session::checkEarly(TimePoint now)
{
    if (!context_.canAdmit() && now < early_->waitUntil)
        return;
    EarlyRequest early = std::move(*early_);
    early_.reset();
    if (context_.canAdmit()) {
        admit(std::move(early.request), early.arrived, now);
        return;
    }
    // It is unknown when the store answers, so Retry-After is the longer one, as for a service that
    // has no available backend server.
    const milliseconds retryAfter =
        retryAfterFor(context_.retryAfterPolicy, NoBackendReason::NoneAvailable, milliseconds(0),
                      context_.randomUnit());
    answerWithoutExchange(503, early.request.attemptId, retryAfter,
                          "no configuration is known yet");
}

void Session::admit(GatewayRequest request, TimePoint arrived, TimePoint now)
{
    const std::string id = request.attemptId;
    const Access access = accessOf(*context_.routes, request.host, request.path(),
                                   request.apiKey ? &*request.apiKey : nullptr);
    if (access.fault == AccessFault::NoRoute) {
        answerWithoutExchange(404, id, milliseconds(0), "no route");
        return;
    }
    if (access.fault == AccessFault::NoValidKey) {
        answerWithoutExchange(401, id, milliseconds(0), "unknown API key");
        return;
    }
    const std::string *service = serviceOf(*access.route, context_.randomUnit());
    if (service == nullptr) {
        answerWithoutExchange(503, id, noServiceRetryAfter, "the route has no service");
        return;
    }
    exchange_ =
        std::make_unique<Exchange>(context_, *this, std::move(request), access, *service, arrived);
    if (!exchange_->tryDispatch(now))
        events_.queued();
}

void Session::logEarlyAbandoned()
{
    if (!early_)
        return;
    context_.log.info("request.abandoned",
                      {{"id", early_->request.attemptId},
                       {"backend", ""},
                       {"reason", "the caller left before a configuration was known"}});
    early_.reset();
}

void Session::onFault(RequestFault fault)
{
    keepAlive_ = false;
    answerWithoutExchange(statusOf(fault), "", milliseconds(0), unreadableReason);
}

void Session::answerWithoutExchange(int status, const std::string &attemptId,
                                    milliseconds retryAfter, const char *reason)
{
    LogFields fields = {{"id", attemptId}, {"status", status}, {"reason", reason}};
    if (context_.routes)
        fields["config"] = context_.routes->configuration().version;
    if (context_.configurationReadAt)
        fields["config_age_s"] =
            secondsOf(remaining(*context_.configurationReadAt, monotonicNow()));
    addGraceLeft(fields, context_.plannedStop, monotonicNow());
    context_.log.warn("request.end", fields);
    // The message of a decoder is free text; the metric has a fixed set of reasons.
    const bool reasonIsFixed = status != statusOf(RequestFault::Malformed);
    countRequestEnd(context_.metrics,
                    {.status = status, .reason = reasonIsFixed ? reason : unreadableReason});
    answer(status, platform::ownAnswerFields(attemptId, retryAfter), "");
}

/// Whether the connection stays open after the current answer. In a planned stop, each answer is
/// the last one on its connection, unless a part of the next request has been read.
bool Session::keepsAlive() const
{
    return keepAlive_ && (!context_.plannedStop || connection_.requestStarted());
}

void Session::answer(int status, const HttpFields &fields, std::string_view body)
{
    const bool keepAlive = keepsAlive();
    if (body.size() > shortAnswerBytes)
        connection_.allowPauses();
    connection_.send(responseText(status, fields, body, keepAlive, isHeadRequest_));
    finishRequest(keepAlive);
}

void Session::beginStream(int status, const HttpFields &fields)
{
    keepAlive_ = keepsAlive();
    connection_.send(chunkedHeadText(status, fields, keepAlive_));
}

void Session::sendStream(std::string_view bytes)
{
    connection_.send(chunkText(bytes));
}

void Session::endStream()
{
    connection_.send(lastChunkText);
    // If a planned stop began after the head, the next request gets an answer that closes.
    finishRequest(keepAlive_);
}

void Session::abort()
{
    connection_.abort();
    closed_ = true;
    events_.closed();
}

void Session::finishRequest(bool keepAlive)
{
    // A function of the exchange may be running, so it is destroyed after that has returned.
    std::shared_ptr<Exchange> finished = std::move(exchange_);
    context_.loop.defer([finished] {});
    isHeadRequest_ = false;
    if (keepAlive)
        connection_.finishAnswer(monotonicNow());
    else
        closeConnection();
    events_.slotFreed();
}

/// Closes the connection once its caller has taken what is queued. The session stays until then: a
/// gateway that stops waits for its sessions, and would cut off an answer that it has taken over.
void Session::closeConnection()
{
    draining_ = true;
    connection_.close();
}

void Session::checkTimeouts(TimePoint now)
{
    if (closed_ || draining_)
        return;
    if (exchange_) {
        exchange_->checkTimeouts(now);
        return;
    }
    if (early_) {
        checkEarly(now);
        return;
    }
    const bool begun = connection_.requestStarted();
    if (now - connection_.waitingSince() < waitLimit(begun))
        return;
    if (begun) {
        keepAlive_ = false;
        answerWithoutExchange(408, "", milliseconds(0), "the request did not arrive in time");
        return;
    }
    closeIdle();
}

std::size_t Session::heldBytes() const
{
    const std::size_t early = early_ ? early_->request.body.capacity() : 0;
    return connection_.heldBytes() + early + (exchange_ ? exchange_->heldBytes() : 0);
}

TimePoint Session::since() const
{
    return exchange_ ? exchange_->arrived() : connection_.waitingSince();
}

void Session::cut(TimePoint now)
{
    if (closed_)
        return;
    context_.log.warn("request.cut",
                      {{"id", exchange_ ? exchange_->id() : ""},
                       {"held_bytes", heldBytes()},
                       {"reason", heldTooMuchReason}});
    if (exchange_ && exchange_->heldBytes() >= connection_.heldBytes()) {
        exchange_->cut(now);
        return;
    }
    if (exchange_ || draining_ || connection_.queued() > 0) {
        abort();
        return;
    }
    const std::string id = early_ ? early_->request.attemptId : "";
    early_.reset();
    keepAlive_ = false;
    const milliseconds retryAfter =
        retryAfterFor(context_.retryAfterPolicy, NoBackendReason::AllFull, milliseconds(0),
                      context_.randomUnit());
    answerWithoutExchange(503, id, retryAfter, heldTooMuchReason);
}

/// Closes the connection, unless a request has arrived that is not read yet: a gateway that got no
/// processor time for a while would drop it unseen.
void Session::closeIdle()
{
    if (draining_ || connection_.bytesWaiting())
        return;
    if (connection_.queued() > 0)
        closeConnection();
    else
        abort();
}

bool Session::unused(milliseconds time, TimePoint now) const
{
    return idle() && !connection_.requestStarted() && now - connection_.waitingSince() >= time;
}

void Session::endForStop(TimePoint now)
{
    if (closed_ || draining_)
        return;
    if (exchange_) {
        exchange_->endForStop(now);
        return;
    }
    if (!early_ && !connection_.requestStarted()) {
        closeIdle();
        return;
    }
    const std::string id = early_ ? early_->request.attemptId : "";
    early_.reset();
    keepAlive_ = false;
    answerWithoutExchange(503, id, context_.retryAfterPolicy.stopping, stoppingReason);
}

} // namespace wisteria
