#include "Programs/Gateway/Exchange.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/RequestEndLog.h"
#include "Programs/Gateway/ServerSignals.h"
#include "Request/ServerSilence.h"
#include "platform/RequestCodec.h"

namespace wisteria {

namespace {

/// Timeout of a connection setup: ten round trips to the farthest failure domain, plus the time
/// that a busy VM takes to accept.
constexpr milliseconds connectTimeout{400};
/// Bytes queued for a caller above which reading from its backend server pauses.
constexpr std::size_t callerQueueBytes = 262144;
/// Maximum load of a backend server for a retry after a failure, as a fraction of its slots. It is
/// above that for a first send, because its request has cost work already and its caller waits for
/// the rest.
constexpr double maxLoadAfterFailure = 2.0;
/// Interval after which a request that waits for a permit requests one again, possibly for another
/// backend server.
constexpr milliseconds permitRetryInterval{50};

/// Longest wait of a suspect request, or of its retry, until it may be sent.
constexpr milliseconds maxSuspectWait{2000};
/// Interval between two looks whether the retry of a suspect request may be sent.
constexpr milliseconds suspectRetryInterval{50};

/// When a waiting request looks for a slot again even if none has become free.
TimePoint nextDispatchTime(const BackendChoice &choice, TimePoint now)
{
    switch (choice.reason) {
    case NoBackendReason::BackingOff:
        return choice.retryAt;
    case NoBackendReason::AtLimit:
        return now + permitRetryInterval;
    default:
        return TimePoint::max();
    }
}

SendOutcome outcomeOf(const CallFailure &failure)
{
    if (failure.neverSent)
        return SendOutcome::NeverSent;
    // A connection that ended within its answer may be due to a crash of the server.
    if (!failure.answerFault || failure.connectionEnded)
        return SendOutcome::Incomplete;
    return isUnending(*failure.answerFault) ? SendOutcome::Unending : SendOutcome::Malformed;
}

} // namespace

Exchange::Exchange(GatewayContext &context, AnswerSink &sink, GatewayRequest request, Access access,
                   std::string service, TimePoint arrived)
    : context_(context), sink_(sink), request_(std::move(request)), routes_(context.routes),
      route_(*access.route), service_(std::move(service)),
      admission_(context, routes_->priorityLimitsOf(service_), service_, access.priority(),
                 access.organisation != nullptr ? access.organisation->name : std::string()),
      suspicion_(context.crashes, context.poison, request_, admission_.organisation(), service_),
      arrived_(arrived), deadline_(arrived + route_.timeout), send_(context, suspicion_),
      relay_(sink, route_.kind)
{
    if (request_.timeLeft)
        deadline_ = std::min(deadline_, arrived + *request_.timeLeft);
    waitUntil_ = arrived;
    inGroup_ = isGroup(routes_->configuration(), service_);
    isEngine_ = isEngine(routes_->configuration(), service_);
    noteRequest(context_.retryBuckets[service_], context_.retryQuota, arrived);
}

Exchange::~Exchange()
{
    if (send_.active()) {
        send_.noteGivenUp(monotonicNow());
        context_.log.info("request.abandoned",
                          {{"id", request_.attemptId},
                           {"backend", send_.backendId()},
                           {"reason", "the caller left"}});
    }
    if (!finished_)
        countRequestEnd(context_.metrics, endOf(0, "the caller left", monotonicNow()));
    endWait(monotonicNow());
    send_.release(monotonicNow());
}

bool Exchange::tryDispatch(TimePoint now)
{
    if (suspicion_.level(now) == Suspicion::Quarantined) {
        refuseQuarantined(now);
        return true;
    }
    if (!fitsPlannedStop(now)) {
        refuseForStop(now);
        return true;
    }
    if (const auto mayRunAt = suspicion_.mayRunAt(groupOpenedAt(), now); mayRunAt > now)
        return waitForOtherRuns(mayRunAt, now);
    BackendChoice choice = chooseNext(admission_.maxLoad(now), now);
    // The slot may have become free just before this request arrived. Those ahead get it first;
    // then this request starts, waits or is refused as if it had arrived after their dispatch.
    if (choice.backend != nullptr && admission_.othersFirst(now)) {
        context_.dispatchNow();
        choice = chooseNext(admission_.maxLoad(now), now);
    }
    if (choice.backend != nullptr) {
        if (suspicion_.level(now) == Suspicion::RepeatedSuspect
            && timeLeft(now) < timeNeeded(now)) {
            refuse("too little time is left for a suspect request",
                   {.reason = NoBackendReason::AllFull}, now);
            return true;
        }
        // Another copy may have been sent since the first look, as one of those ahead.
        if (const auto mayRunAt = suspicion_.takeTurn(groupOpenedAt(), now); mayRunAt > now)
            return waitForOtherRuns(mayRunAt, now);
        admission_.noteStart(choice.beyondFreeShare, now);
        endWait(now);
        markPermitWanted(context_.registry.limits, choice.preferredAtLimit, now);
        send(*choice.backend, now);
        return true;
    }
    if (choice.reason == NoBackendReason::NoneAvailable)
        suspicion_.probeReturnIfSuspect(context_.rereadBackends, now);
    nextDispatchAt_ = nextDispatchTime(choice, now);
    // The timeout never becomes earlier: a request that waited for a closed group keeps its longer
    // timeout if all slots are taken as soon as the group opens.
    waitUntil_ = std::max(waitUntil_, waitTimeout(choice.reason));
    // An evacuation may last for hours, so a request that waits already is refused at once too.
    const bool mayWait = choice.reason != NoBackendReason::Evacuated
        && (admission_.queued() || shouldWait(choice, now));
    if (now < waitUntil_ && mayWait) {
        markPermitWanted(context_.registry.limits, choice.preferredAtLimit, now);
        admission_.joinQueue(now);
        return false;
    }
    refuse(refusalReason(choice.reason, mayWait), choice, now);
    return true;
}

/// Queues a suspect request while another run of what it is suspect for goes on, or has just
/// crashed a backend server.
/// @return As for tryDispatch().
bool Exchange::waitForOtherRuns(TimePoint mayRunAt, TimePoint now)
{
    if (suspectWaitUntil_ == TimePoint())
        suspectWaitUntil_ = std::min(deadline_ - timeNeeded(now), now + maxSuspectWait);
    waitUntil_ = suspectWaitUntil_;
    if (suspicion_.isSpent(now)) {
        refuse("it was running when backend servers crashed, and has no sends left",
               {.reason = NoBackendReason::AllFull}, now);
        return true;
    }
    if (now >= waitUntil_) {
        refuse("another run of what it is suspect for goes on",
               {.reason = NoBackendReason::AllFull}, now);
        return true;
    }
    nextDispatchAt_ = mayRunAt;
    admission_.joinQueue(now);
    return false;
}

/// Time that the request has to have left to be sent.
milliseconds Exchange::timeNeeded(TimePoint now)
{
    return suspicion_.timeNeeded(route_.targetLatency, remaining(arrived_, deadline_), now);
}

/// Whether the request completes before a planned stop of the gateway ends, as far as is known.
bool Exchange::fitsPlannedStop(TimePoint now) const
{
    if (!context_.plannedStop)
        return true;
    const auto runs = context_.recentRuns.find(service_);
    const std::optional<milliseconds> usual =
        runs == context_.recentRuns.end() ? std::nullopt : usualRun(runs->second);
    return maySend(*context_.plannedStop,
                   {.arrived = arrived_, .deadline = deadline_, .usual = usual}, now);
}

/// Whether the route's rules and the time that is left allow another send.
bool Exchange::maySendAgain(SendOutcome outcome, const SendHistory &history, TimePoint now) const
{
    return mayRetry(route_, outcome, history, timeLeft(now)) && fitsPlannedStop(now);
}

/// When the service's group opened last.
TimePoint Exchange::groupOpenedAt() const
{
    const auto opened = context_.registry.openedAt.find(service_);
    return opened == context_.registry.openedAt.end() ? TimePoint() : opened->second;
}

TimePoint Exchange::waitTimeout(NoBackendReason reason) const
{
    return queueTimeoutAt(
        context_.admissionTimeouts, reason,
        {.arrived = arrived_, .deadline = deadline_, .targetLatency = route_.targetLatency});
}

bool Exchange::shouldWait(const BackendChoice &choice, TimePoint now) const
{
    if (choice.retryAt > waitUntil_)
        return false;
    return (choice.reason != NoBackendReason::AllFull && choice.reason != NoBackendReason::AtLimit)
        || admission_.waitCanSucceed(remaining(now, waitUntil_), now);
}

void Exchange::endWait(TimePoint now)
{
    waiting_ = false;
    admission_.leave(now);
}

void Exchange::send(BackendState &backend, TimePoint now)
{
    SendOptions options{.expectedBackend = backend.entry.id,
                        .organisation = admission_.organisation(),
                        .priority = admission_.enginePriority(),
                        .timeLeft = timeLeft(now),
                        .lastEventId =
                            relay_.lastEventId() ? relay_.lastEventId() : request_.lastEventId};
    if (tried_.empty())
        countFirstSend(context_.metrics, service_, remaining(arrived_, now));
    tried_.push_back(backend.entry.id);
    relay_.beginSend(now);
    const ConnectionUse use = route_.repeatable() ? ConnectionUse::Reuse : ConnectionUse::Fresh;
    if (context_.log.shouldLog(LogLevel::Debug)) {
        LogFields fields = {{"id", request_.attemptId},
                            {"backend", backend.entry.id},
                            {"own", backend.ownInFlight + 1},
                            {"left_s", secondsOf(options.timeLeft)}};
        addGraceLeft(fields, context_.plannedStop, now);
        context_.log.debug("request.send", fields);
    }
    CallEvents events{.accept = [this](const HttpResponseHead &head) { return acceptsHead(head); },
                      .head = [this](const HttpResponseHead &head) { onHead(head); },
                      .body = [this](std::string_view bytes) { onBody(bytes); },
                      .complete = [this] { onComplete(); },
                      .failed = [this](const CallFailure &failure) { onFailed(failure); }};
    send_.begin(backend,
                {.attemptId = request_.attemptId,
                 .timeLeft = options.timeLeft,
                 .text = platform::encodeBackendRequest(request_, options),
                 .use = use},
                std::move(events), now);
}

bool Exchange::acceptsHead(const HttpResponseHead &head) const
{
    return platform::decodeAnswerHead(head).attemptId == request_.attemptId;
}

void Exchange::onHead(const HttpResponseHead &received)
{
    const TimePoint now = monotonicNow();
    relay_.receiveHead(platform::decodeAnswerHead(received), received.selfDelimited, now);
    const BackendAnswerHead &head = relay_.head();
    noteServerSignals(context_, {send_.backendId(), request_.attemptId, head}, now);
    BackendState *backend = send_.backend();
    if (backend == nullptr)
        return;
    noteSignOfLife(*backend, now);
    if (head.misdirected) {
        noteReplaced(*backend);
        context_.rereadBackends();
        return;
    }
    const AnswerFeedback feedback{.load = head.load,
                                  .notExecuted = head.notExecuted,
                                  .asksForBackoff = head.retryAfter > milliseconds(0)};
    noteAnswer(*backend, feedback, inGroup_, now, context_.randomUnit());
}

void Exchange::onBody(std::string_view bytes)
{
    const TimePoint now = monotonicNow();
    if (BackendState *backend = send_.backend())
        noteSignOfLife(*backend, now);
    const bool forwarded = relay_.receiveBody(bytes, now);
    if (relay_.tooLong()) {
        endSend(SendOutcome::Unending, "the answer is too long");
        return;
    }
    if (!forwarded)
        return;
    history_.answerBegun = true;
    context_.lastProgressAt[service_] = now;
    if (sink_.queuedBytes() > callerQueueBytes)
        send_.pauseReading(true);
}

void Exchange::resumeReading()
{
    send_.pauseReading(false);
}

void Exchange::onComplete()
{
    if (relay_.head().notExecuted) {
        endSend(SendOutcome::NotExecuted, "the backend server did not run it");
        return;
    }
    history_.mayHaveRun = true;
    noteCompleteAnswer();
    if (const auto failure = relay_.failure()) {
        endSend(failure->outcome, failure->reason);
        return;
    }
    noteAnswerWithoutServerError();
    forwardAnswer();
}

/// Only an answer other than a server error ends the avoidance of a backend server. A server that
/// fails every request answers at once, so without avoidance it would have the least load and
/// attract the service's requests.
void Exchange::noteAnswerWithoutServerError()
{
    if (BackendState *backend = send_.backend())
        noteSuccess(*backend);
}

void Exchange::forwardAnswer()
{
    const TimePoint now = monotonicNow();
    countSendEnd(context_.metrics, service_, "answered");
    send_.release(now);
    noteRun(context_.recentRuns[service_], remaining(send_.begunAt(), now));
    if (!relay_.isStream())
        context_.lastProgressAt[service_] = now;
    finish(relay_.head().status, "answered", now);
    relay_.finish();
}

void Exchange::onFailed(const CallFailure &failure)
{
    if (failure.refused)
        context_.crashes.noteRefused(send_.backendId(), monotonicNow());
    connectionEnded_ = failure.connectionEnded;
    endSend(outcomeOf(failure), failure.reason);
}

void Exchange::endSend(SendOutcome outcome, const std::string &reason)
{
    const TimePoint now = monotonicNow();
    sendEndedAt_ = now;
    if (outcome == SendOutcome::NeverSent) {
        ++history_.refusedConnections;
        suspicion_.noteNotRun(RunEnd::NotDelivered);
    } else {
        ++history_.delivered;
    }
    if (outcome == SendOutcome::NotExecuted)
        suspicion_.noteNotRun(RunEnd::NotExecuted);
    if (mayHaveRunAfter(outcome))
        history_.mayHaveRun = true;
    if (BackendState *backend = send_.backend()) {
        const bool serverAtFault =
            outcome == SendOutcome::NeverSent || outcome == SendOutcome::Unending;
        noteFailure(*backend, serverAtFault, now);
    }
    const bool connectionEnded = std::exchange(connectionEnded_, false);
    LogFields fields = {{"id", request_.attemptId},
                        {"backend", send_.backendId()},
                        {"reason", reason},
                        {"after_s", secondsOf(remaining(send_.begunAt(), now))},
                        {"arrivals", history_.delivered},
                        {"may_have_run", history_.mayHaveRun},
                        {"left_s", secondsOf(timeLeft(now))}};
    addGraceLeft(fields, context_.plannedStop, now);
    if (connectionEnded) {
        fields["fingerprint"] = toText(suspicion_.fingerprint());
        fields["parts"] = suspicion_.partFingerprints();
    }
    context_.log.warn("request.send_failed", fields);
    countSendEnd(context_.metrics, service_, nameOf(outcome));
    const std::string backend = send_.backendId();
    send_.release(now);
    if (connectionEnded) {
        undecided_ = outcome;
        suspicion_.noteConnectionEnded(backend, now,
                                       [this, outcome] { continueAfter(outcome, monotonicNow()); });
        return;
    }
    // The server may just have crashed under another copy of the request.
    if (outcome == SendOutcome::NeverSent && suspicion_.level(now) != Suspicion::None) {
        undecided_ = outcome;
        decideAt_ = std::min(deadline_, now + reportSettleTime);
        return;
    }
    continueAfter(outcome, now);
}

void Exchange::continueAfter(SendOutcome outcome, TimePoint now)
{
    undecided_.reset();
    decideAt_ = TimePoint::max();
    BackendChoice refusalCause{.reason = outcome == SendOutcome::NotExecuted
                                   ? NoBackendReason::AllFull
                                   : NoBackendReason::NoneAvailable};
    if (suspicion_.level(now) == Suspicion::Quarantined && !history_.answerBegun) {
        refuseQuarantined(now);
        return;
    }
    if (holdRetry(outcome, now) || sendAgain(outcome, refusalCause, now))
        return;
    switch (finalDecision(outcome, history_, timeLeft(now))) {
    case RetryDecision::Forward:
        forwardAnswer();
        return;
    case RetryDecision::Refuse:
        if (fitsPlannedStop(now))
            refuse("not run by any backend server", refusalCause, now);
        else
            refuseForStop(now);
        return;
    case RetryDecision::Abort:
        finish(0, "broken off", now);
        sink_.abort();
        return;
    case RetryDecision::TimeOut:
        answerItself({.status = 504, .reason = "out of time"}, now);
        return;
    case RetryDecision::Fail:
    case RetryDecision::Retry:
        answerItself({.status = 502, .reason = "the outcome is unknown"}, now);
        return;
    }
}

/// Holds the retry of a repeated suspect until it may be sent: at once, each request with a poison
/// part would crash one more server.
/// @return Whether it is decided later what follows.
bool Exchange::holdRetry(SendOutcome outcome, TimePoint now)
{
    // A group that has just lost a server stops anyway, so the first retry is sent at once.
    if (suspicion_.level(now) < Suspicion::RepeatedSuspect || !maySendAgain(outcome, history_, now))
        return false;
    if (suspicion_.takeTurn(groupOpenedAt(), now) <= now)
        return false;
    const TimePoint heldUntil =
        std::min(deadline_ - timeNeeded(now), sendEndedAt_ + maxSuspectWait);
    if (now >= heldUntil)
        return false;
    undecided_ = outcome;
    decideAt_ = now + suspectRetryInterval;
    return true;
}

/// Sends the request to another backend server if that is allowed and one has a slot.
/// @param refusalCause Set to why none was chosen, if the caller should know.
bool Exchange::sendAgain(SendOutcome outcome, BackendChoice &refusalCause, TimePoint now)
{
    if (!maySendAgain(outcome, history_, now))
        return false;
    // Nine of ten requests that were in flight at a crash did not cause it, so one more server is
    // risked for them, but not a second one.
    const Suspicion suspected = suspicion_.level(now);
    if (suspected == Suspicion::Quarantined
        || (suspected == Suspicion::RepeatedSuspect && history_.mayHaveRun
            && !suspicion_.isOnlyUnproven(now)))
        return false;
    // Another run of what it is suspect for has lasted for the whole wait.
    if (suspected == Suspicion::RepeatedSuspect
        && (timeLeft(now) < timeNeeded(now) || suspicion_.takeTurn(groupOpenedAt(), now) > now))
        return false;
    if (outcome != SendOutcome::NeverSent
        && !takeRetryToken(context_.retryBuckets[service_], context_.retryQuota, now))
        return false;
    const BackendChoice choice = chooseNext(maxLoadAfterFailure, now);
    if (choice.retryAt != TimePoint() || choice.reason == NoBackendReason::Evacuated)
        refusalCause = choice;
    if (choice.backend == nullptr)
        return false;
    countRetry(context_.metrics, service_,
               history_.answerBegun ? RetryCause::Resumed : RetryCause::Failed);
    send(*choice.backend, now);
    return true;
}

void Exchange::checkTimeouts(TimePoint now)
{
    if (finished_)
        return;
    if (waiting_) {
        // Other requests may be ahead of this one, so it does not look for a slot by itself before
        // its wait ends.
        if (now >= std::min(waitUntil_, deadline_) || !fitsPlannedStop(now))
            tryDispatch(now);
        else if (now >= nextDispatchAt_)
            context_.dispatchSoon();
        return;
    }
    if (undecided_ && now >= decideAt_) {
        continueAfter(*undecided_, now);
        return;
    }
    if (!send_.active())
        return;
    if (now >= deadline_) {
        send_.noteGivenUp(now);
        endSend(send_.delivered() ? SendOutcome::TimedOut : SendOutcome::NeverSent, "out of time");
        return;
    }
    if (!send_.delivered() && isLeaving(context_.registry, send_.backendId(), now)) {
        endSend(SendOutcome::NeverSent, "the backend server is leaving");
        return;
    }
    if (!send_.delivered() && now - send_.begunAt() >= connectTimeout) {
        endSend(SendOutcome::NeverSent, "no connection in time");
        return;
    }
    checkServer(now);
}

/// Has the server checked if it may be silent, and takes the request off it if it should leave.
void Exchange::checkServer(TimePoint now)
{
    const BackendState *server = send_.backend();
    if (server == nullptr)
        return;
    if (isSilenceSuspected(*server, send_.begunAt(), now))
        context_.checkLiveness(send_.backendId(), isEngine_);
    const MoveCause cause = moveCauseOf(*server, route_, now, context_.registry.loadLifetime);
    // An unproven request whose answer has begun has outlived its start.
    const bool mayMove = suspicion_.level(now) == Suspicion::None
        || (history_.answerBegun && suspicion_.isOnlyUnproven(now));
    if (cause != MoveCause::None && mayMove)
        moveOff(*server, cause, now);
}

/// Sends the request to another backend server if its route allows that and a better one has a
/// slot; otherwise it stays where it is.
void Exchange::moveOff(const BackendState &server, MoveCause cause, TimePoint now)
{
    SendHistory historyAfterMove = history_;
    ++historyAfterMove.delivered;
    historyAfterMove.mayHaveRun = true;
    if (!maySendAgain(SendOutcome::Incomplete, historyAfterMove, now))
        return;
    const double maxLoad =
        cause == MoveCause::Silent ? maxLoadAfterFailure : admission_.maxLoad(now);
    const BackendChoice choice = chooseNext(maxLoad, now);
    const bool better = choice.backend != nullptr
        && isMoveTarget(*choice.backend, now, context_.registry.loadLifetime);
    if (!better || !takeRetryToken(context_.retryBuckets[service_], context_.retryQuota, now))
        return;
    context_.log.info("request.moved",
                      {{"id", request_.attemptId},
                       {"from", send_.backendId()},
                       {"cause", nameOf(cause)},
                       {"pace", slowdownOf(server, now, context_.registry.loadLifetime)},
                       {"after_s", secondsOf(remaining(send_.begunAt(), now))},
                       {"to", choice.backend->entry.id}});
    send_.noteGivenUp(now);
    history_ = historyAfterMove;
    countSendEnd(context_.metrics, service_, "moved");
    countRetry(context_.metrics, service_, RetryCause::Moved);
    send_.release(now);
    send(*choice.backend, now);
}

std::size_t Exchange::heldBytes() const
{
    return request_.body.capacity() + relay_.heldBytes() + send_.queuedBytes();
}

void Exchange::cut(TimePoint now)
{
    if (waiting_) {
        refuse("too many bytes of requests and answers are held",
               {.reason = NoBackendReason::AllFull}, now);
        return;
    }
    if (!send_.active())
        return;
    const bool answerHoldsMost = relay_.heldBytes() > heldBytes() / 2;
    endSend(answerHoldsMost ? SendOutcome::Unending : SendOutcome::Incomplete,
            "too many bytes of requests and answers are held");
}

void Exchange::endForStop(TimePoint now)
{
    if (finished_)
        return;
    if (waiting_) {
        refuseForStop(now);
        return;
    }
    if (send_.active()) {
        send_.noteGivenUp(now);
        endSend(send_.delivered() ? SendOutcome::Incomplete : SendOutcome::NeverSent,
                stoppingReason);
    }
    if (!finished_ && undecided_)
        continueAfter(*undecided_, now);
}

BackendChoice Exchange::chooseNext(double maxLoad, TimePoint now)
{
    const BackendCriteria criteria{.service = service_,
                                   .tried = tried_,
                                   .crashed = suspicion_.crashedIfSuspect(now),
                                   .maxLoad = maxLoad,
                                   .withinFreeShare = tried_.empty(),
                                   .mayExceedFreeShare = admission_.mayExceedFreeShare(now),
                                   .inGroup = inGroup_,
                                   .failureDomain = context_.failureDomain,
                                   .suspectHash = suspicion_.hashIfSuspect(now)};
    return chooseBackend(context_.registry, criteria, now, context_.randomUnit());
}

/// Records that a backend server ran the request to its end, if the answer shows that.
void Exchange::noteCompleteAnswer()
{
    const TimePoint now = monotonicNow();
    const CompletedRun run{request_.attemptId, send_.backendId(), relay_.head().status};
    if (relay_.showsCompletedRun()) {
        suspicion_.noteCompleted(run, now);
        return;
    }
    if (relay_.showsCallerError())
        suspicion_.noteAnswered();
    if (relay_.mayShowCompletedRun())
        suspicion_.noteCompletedIfSurvived(run, relay_.marksEnd(), now);
}

void Exchange::refuseQuarantined(TimePoint now)
{
    suspicion_.noteRefused(now);
    answerItself({.status = 400,
                  .reason = "it crashes backend servers",
                  .body = suspicion_.refusalText(now)},
                 now);
}

void Exchange::refuseForStop(TimePoint now)
{
    const milliseconds retryAfter = context_.retryAfterPolicy.stopping;
    answerItself({.status = 503, .reason = stoppingReason, .retryAfter = retryAfter}, now);
}

void Exchange::refuse(const char *reason, const BackendChoice &choice, TimePoint now)
{
    const milliseconds sinceProgress = remaining(context_.lastProgressAt[service_], now);
    milliseconds retryAfter =
        retryAfterFor(context_.retryAfterPolicy, choice, sinceProgress, now, context_.randomUnit());
    const bool atPriorityLimit = waiting_ && choice.reason == NoBackendReason::AllFull
        && admission_.limited(now)
        && chooseNext(PriorityAdmission::allSlots, now).backend != nullptr;
    if (atPriorityLimit) {
        reason = "too many of this priority";
        retryAfter = retryAfterAtLimit(context_.retryAfterPolicy, admission_.step(), sinceProgress,
                                       context_.randomUnit());
    }
    answerItself({.status = 503, .reason = reason, .retryAfter = retryAfter}, now);
}

void Exchange::answerItself(const OwnAnswer &answer, TimePoint now)
{
    finish(answer.status, answer.reason, now);
    sink_.answer(answer.status, platform::ownAnswerFields(request_.attemptId, answer.retryAfter),
                 answer.body);
}

void Exchange::finish(int status, const char *reason, TimePoint now)
{
    finished_ = true;
    endWait(now);
    recordRequestEnd(context_,
                     {.end = endOf(status, reason, now),
                      .id = request_.attemptId,
                      .route = route_.name,
                      .configurationVersion = routes_->configuration().version,
                      .priority = admission_.priority(),
                      .tried = tried_,
                      .fingerprint = suspicion_.fingerprintIfKnown(),
                      .endedAt = now});
}

RequestEnd Exchange::endOf(int status, const char *reason, TimePoint now) const
{
    RequestEnd ended{.service = service_,
                     .status = status,
                     .reason = reason,
                     .duration = remaining(arrived_, now)};
    if (history_.answerBegun) {
        ended.firstEvent = remaining(arrived_, relay_.firstEventAt());
        ended.longestPause = relay_.longestPause();
    }
    return ended;
}

} // namespace wisteria
