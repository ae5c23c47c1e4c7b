#include "Request/EntryRequest.h"

#include <algorithm>

#include "Connection/AnswerFault.h"
#include "Request/KeyHashing.h"
#include "Request/RoutingView.h"

namespace wisteria {

namespace {

constexpr milliseconds shortRetry{100};
constexpr milliseconds longRetry{1'000};

using Lock = std::lock_guard<std::mutex>;

Candidate *candidateOf(EntryState &state, const RequestState &request)
{
    return findCandidate(state, request.request.service, request.backendServer);
}

/// Removes the request from the suspects in flight and from its organisation's concurrency.
void releaseShared(EntryShared &shared, RequestState &request)
{
    const Lock lock(shared.mutex);
    if (request.holdsSuspect)
        shared.suspectsInFlight.erase(request.request.fingerprint);
    if (request.countedInLimits)
        release(shared.limits, request.request.organisation);
    request.holdsSuspect = false;
    request.countedInLimits = false;
}

void endAttempt(EntryState &state, RequestState &request, bool failed, TimePoint now)
{
    if (!request.outstanding)
        return;
    request.outstanding = false;
    if (Candidate *candidate = candidateOf(state, request))
        attemptEnded(*candidate, failed, now);
}

Refusal refuse(EntryShared &shared, RequestState &request, EndKind end, v1::Reason reason,
               milliseconds retryAfter)
{
    request.ended = true;
    releaseShared(shared, request);
    return {end, reason, retryAfter};
}

/// The end of a request whose last attempt certainly did not run. An earlier attempt, or an earlier
/// try of the same key through another entry, may have run nevertheless.
EndKind endWithoutRun(const EntryState &state, const RequestState &request)
{
    if (request.mayHaveRun && state.guards.rememberMayHaveRun)
        return EndKind::OutcomeUnknown;
    const CallerRequest &caller = request.request;
    const bool repeat = !caller.idempotent && caller.callerTry != 1;
    if (repeat && state.guards.repeatsNeedProof)
        return EndKind::OutcomeUnknown;
    return EndKind::NotRun;
}

/// Ends the request as NotRun if that is proved for all attempts, otherwise as OutcomeUnknown.
Refusal refuseRequest(const EntryState &state, EntryShared &shared, RequestState &request,
                      v1::Reason reason, milliseconds retryAfter)
{
    return refuse(shared, request, endWithoutRun(state, request), reason, retryAfter);
}

Suspicion currentSuspicion(EntryShared &shared, const RequestState &request, TimePoint now)
{
    const Lock lock(shared.mutex);
    const Suspicion suspicion = suspicionOf(shared.suspects, request.request.fingerprint, now);
    if (suspicion == Suspicion::Quarantined)
        renewQuarantine(shared.suspects, request.request.fingerprint, now);
    return suspicion;
}

v1::RunHead headOf(const EntryState &state, const RequestState &request, TimePoint now)
{
    const CallerRequest &caller = request.request;
    v1::RunHead head;
    head.set_request_id(caller.id);
    head.set_attempt(request.attempt);
    head.set_service(caller.service);
    head.set_organisation(caller.organisation);
    head.set_priority(request.priority);
    head.set_remaining_ms(remaining(now, request.deadline).count());
    head.set_idempotent(caller.idempotent);
    head.set_key(caller.key);
    head.set_caller_attempt(caller.callerTry);
    head.set_fingerprint(caller.fingerprint);
    head.set_prefix(caller.prefix);
    head.set_config_version(state.configVersion);
    head.set_body_bytes(caller.bodyBytes);
    head.set_run_alone(request.runAlone);
    return head;
}

EntryAction sendTo(EntryState &state, RequestState &request, const std::string &backendServer,
                   const std::string &address, TimePoint now)
{
    ++request.attempt;
    request.backendServer = backendServer;
    request.sentAt = now;
    request.outstanding = true;
    request.tried.push_back(backendServer);
    if (Candidate *candidate = candidateOf(state, request))
        attemptSent(*candidate, now);
    return SendAttempt{backendServer, address, headOf(state, request, now)};
}

/// Whether this entry may send a suspect to the owner of its key; if so, marks it as in flight.
/// Owners differ from key to key, so no single agent knows whether the fingerprint is quarantined.
/// Therefore only one entry sends these suspects, one at a time, and so detects a death before it
/// sends the next.
bool maySendSuspectToOwner(const EntryState &state, EntryShared &shared, RequestState &request)
{
    const std::uint64_t fingerprint = request.request.fingerprint;
    const auto entry = rendezvousChoice(std::to_string(fingerprint), state.entryNames);
    if (entry && *entry != state.ownName)
        return false;
    const Lock lock(shared.mutex);
    request.holdsSuspect = shared.suspectsInFlight.insert(fingerprint).second;
    return request.holdsSuspect;
}

/// Sends a non-idempotent request to the owner of its key, and to no other backend server.
EntryAction sendToOwner(EntryState &state, EntryShared &shared, RequestState &request,
                        const ServiceView &service, TimePoint now)
{
    const auto owner =
        rendezvousChoice(canonicalKey(request.request.key), service.declared->ownerNames);
    if (!owner)
        return refuseRequest(state, shared, request, v1::REASON_NO_BACKEND_SERVER, longRetry);
    const Candidate *candidate = candidateNamed(service, *owner);
    // Silence may just mean a long request. Only the owner can run this one, so a silent owner is
    // used; it is excluded only if it is down, draining or ejected.
    if (candidate && (!isAvailable(*candidate) || now < candidate->ejectedUntil)) {
        const auto reason = candidate->draining ? v1::REASON_LEAVING : v1::REASON_BACKEND_DOWN;
        return refuseRequest(state, shared, request, reason, longRetry);
    }
    if (request.runAlone && !maySendSuspectToOwner(state, shared, request))
        return refuseRequest(state, shared, request, v1::REASON_SUSPECT, longRetry);
    return sendTo(state, request, *owner, service.declared->ownerAddresses.at(*owner), now);
}

/// The backend server on which a suspect runs alone. All entries choose the same one, even while it
/// is down briefly: its agent detects which request crashes it and reports that to later attempts.
/// Choosing another one at once would let each entry crash a different backend server.
std::optional<std::string> designatedFor(const ServiceView &service, std::uint64_t fingerprint,
                                         TimePoint now)
{
    std::vector<std::string> names;
    for (const std::string &name : service.declared->ownerNames) {
        const Candidate *candidate = candidateNamed(service, name);
        const bool longDown =
            candidate && candidate->down && now - candidate->downSince > suspectSettleTime;
        if (!longDown)
            names.push_back(name);
    }
    return rendezvousChoice(std::to_string(fingerprint), names);
}

EntryAction sendSuspect(EntryState &state, EntryShared &shared, RequestState &request,
                        const ServiceView &service, TimePoint now)
{
    const auto chosen = designatedFor(service, request.request.fingerprint, now);
    if (!chosen)
        return refuseRequest(state, shared, request, v1::REASON_NO_BACKEND_SERVER, longRetry);
    const Candidate *candidate = candidateNamed(service, *chosen);
    if (candidate && !isAvailable(*candidate))
        return refuseRequest(state, shared, request, v1::REASON_SUSPECT, longRetry);
    return sendTo(state, request, *chosen, service.declared->ownerAddresses.at(*chosen), now);
}

EntryAction sendByScore(EntryState &state, EntryShared &shared, RequestState &request,
                        const ServiceView &service, TimePoint now)
{
    const RouteQuery query{request.request.id, request.priority, request.request.prefix,
                           state.failureDomain, request.tried};
    const auto chosen =
        chooseBackendServer(service.candidates, service.declared->policy, query, now);
    if (!chosen)
        return refuseRequest(state, shared, request, v1::REASON_NO_BACKEND_SERVER, longRetry);
    const Candidate &candidate = service.candidates[*chosen];
    const microseconds wait = expectedWait(candidate);
    if (wait.count() > 0 && now + wait + candidate.serviceTime > request.deadline) {
        const auto retry = std::chrono::duration_cast<milliseconds>(wait) + milliseconds(1);
        return refuseRequest(state, shared, request, v1::REASON_DEADLINE, retry);
    }
    return sendTo(state, request, candidate.name, candidate.address, now);
}

EntryAction sendNext(EntryState &state, EntryShared &shared, RequestState &request, TimePoint now)
{
    const auto service = state.services.find(request.request.service);
    if (service == state.services.end())
        return refuseRequest(state, shared, request, v1::REASON_WRONG_SERVICE, milliseconds(0));
    if (now >= request.deadline)
        return refuseRequest(state, shared, request, v1::REASON_DEADLINE, milliseconds(0));
    const Suspicion suspicion = currentSuspicion(shared, request, now);
    if (suspicion == Suspicion::Quarantined)
        return refuseRequest(state, shared, request, v1::REASON_CONVICTED, quarantineTime);
    request.runAlone = suspicion == Suspicion::Suspect;
    if (!request.request.idempotent)
        return sendToOwner(state, shared, request, service->second, now);
    if (request.runAlone)
        return sendSuspect(state, shared, request, service->second, now);
    return sendByScore(state, shared, request, service->second, now);
}

bool mayRetry(const EntryState &state, EntryShared &shared, const RequestState &request)
{
    const auto service = state.services.find(request.request.service);
    if (service == state.services.end())
        return false;
    const std::uint32_t maxAttempts =
        std::max<std::uint32_t>(service->second.declared->policy.max_attempts(), 1);
    if (request.attempt >= maxAttempts)
        return false;
    const Lock lock(shared.mutex);
    return spendRetry(shared.retryBudgets[request.request.service]);
}

/// Sends again after an attempt that certainly did not run, or ends the request.
EntryAction retryNotRun(EntryState &state, EntryShared &shared, RequestState &request,
                        v1::Reason reason, milliseconds retryAfter, TimePoint now)
{
    if (!mayRetry(state, shared, request))
        return refuseRequest(state, shared, request, reason, retryAfter);
    EntryAction next = sendNext(state, shared, request, now);
    // The agent's reason is more useful to the caller than that no other server is left.
    if (auto *refusal = std::get_if<Refusal>(&next)) {
        if (refusal->reason == v1::REASON_NO_BACKEND_SERVER) {
            refusal->reason = reason;
            refusal->retryAfter = std::max(retryAfter, shortRetry);
        }
    }
    return next;
}

/// Sends an idempotent request again after an attempt that may have run, or ends the request.
EntryAction retryMayHaveRun(EntryState &state, EntryShared &shared, RequestState &request,
                            v1::Reason reason, TimePoint now)
{
    request.mayHaveRun = true;
    // A second run of a non-idempotent request would repeat its effect.
    if (!request.request.idempotent || now >= request.deadline || !mayRetry(state, shared, request))
        return refuse(shared, request, EndKind::OutcomeUnknown, reason, longRetry);
    return sendNext(state, shared, request, now);
}

/// Records that the backend server died while it ran the request.
void recordBackendDeath(EntryShared &shared, const RequestState &request, TimePoint now)
{
    const std::string attempt = request.request.id + std::to_string(request.attempt);
    const Lock lock(shared.mutex);
    recordDeath(shared.suspects, request.request.fingerprint,
                pairHash(request.backendServer, attempt), request.runAlone, now);
}

/// Records the suspicion if the agent gave it as the reason of its refusal, because this entry may
/// not have received it by heartbeat yet. It is recorded as a death, identified by the agent and
/// the request.
void recordReportedSuspicion(EntryShared &shared, const RequestState &request, v1::Reason reason,
                             TimePoint now)
{
    if (reason != v1::REASON_SUSPECT && reason != v1::REASON_CONVICTED)
        return;
    const std::string source = "told by " + request.backendServer;
    const Lock lock(shared.mutex);
    recordDeath(shared.suspects, request.request.fingerprint, pairHash(source, request.request.id),
                reason == v1::REASON_CONVICTED, now);
}

EntryAction notRunVerdict(EntryState &state, EntryShared &shared, RequestState &request,
                          const v1::Verdict &verdict, TimePoint now)
{
    endAttempt(state, request, false, now);
    recordReportedSuspicion(shared, request, verdict.reason(), now);
    const milliseconds retryAfter(verdict.retry_after_ms());
    if (request.request.idempotent)
        return retryNotRun(state, shared, request, verdict.reason(), retryAfter, now);
    // The owner guarantees that the key has not run and that no try so far will.
    const EndKind end = request.mayHaveRun && state.guards.rememberMayHaveRun
        ? EndKind::OutcomeUnknown
        : EndKind::NotRun;
    return refuse(shared, request, end, verdict.reason(), retryAfter);
}

EntryAction applyVerdict(EntryState &state, EntryShared &shared, RequestState &request,
                         const v1::Verdict &verdict, TimePoint now)
{
    switch (verdict.kind()) {
    case v1::VERDICT_KIND_ACCEPTED:
        if (isMalformed(verdict))
            break;
        request.answering = true;
        return StartAnswer{verdict.http_status(), verdict.content_type()};
    case v1::VERDICT_KIND_NOT_RUN:
        return notRunVerdict(state, shared, request, verdict, now);
    case v1::VERDICT_KIND_ALREADY_RUN:
        endAttempt(state, request, false, now);
        return refuse(shared, request, EndKind::AlreadyRun, verdict.reason(), milliseconds(0));
    default:
        break;
    }
    // Verdict kinds of newer releases and malformed ones are handled like an unknown outcome, which
    // promises least.
    const bool died = verdict.reason() == v1::REASON_BACKEND_DIED;
    endAttempt(state, request, died, now);
    if (died)
        recordBackendDeath(shared, request, now);
    if (!request.request.idempotent) {
        return refuse(shared, request, EndKind::OutcomeUnknown, verdict.reason(),
                      milliseconds(verdict.retry_after_ms()));
    }
    return retryMayHaveRun(state, shared, request, verdict.reason(), now);
}

/// Applies an `end` frame: records a death that it reports, and retries if no answer had begun.
EntryAction applyEnd(EntryState &state, EntryShared &shared, RequestState &request,
                     const v1::AnswerEnd &end, TimePoint now)
{
    if (!end.complete() && end.reason() == v1::REASON_BACKEND_DIED)
        recordBackendDeath(shared, request, now);
    if (request.answering)
        return Nothing();
    endAttempt(state, request, true, now);
    return retryMayHaveRun(state, shared, request, end.reason(), now);
}

std::optional<Refusal> refusedByOrganisation(EntryState &state, EntryShared &shared,
                                             RequestState &request, TimePoint now)
{
    const auto found = state.declared->organisations.find(request.request.organisation);
    if (found == state.declared->organisations.end())
        return refuseRequest(state, shared, request, v1::REASON_BAD_REQUEST, milliseconds(0));
    const v1::Organisation &organisation = found->second;
    const auto &allowed = organisation.services();
    const bool mayUse = allowed.empty()
        || std::find(allowed.begin(), allowed.end(), request.request.service) != allowed.end();
    if (!mayUse)
        return refuseRequest(state, shared, request, v1::REASON_BAD_REQUEST, milliseconds(0));
    request.priority = std::min(request.request.priority, organisation.max_priority());
    std::optional<LimitRefusal> limit;
    {
        const Lock lock(shared.mutex);
        limit = admit(shared.limits, organisation.name(), now);
    }
    if (limit)
        return refuseRequest(state, shared, request, limit->reason, limit->retryAfter);
    request.countedInLimits = true;
    return std::nullopt;
}

} // namespace

EntryAction startRequest(EntryState &state, EntryShared &shared, RequestState &request,
                         const CallerRequest &caller, TimePoint now)
{
    request.request = caller;
    const auto service = state.services.find(caller.service);
    if (service == state.services.end()) {
        const bool starting = state.configVersion == 0;
        const auto reason = starting ? v1::REASON_STARTING : v1::REASON_WRONG_SERVICE;
        const auto retry = starting ? longRetry : milliseconds(0);
        return refuseRequest(state, shared, request, reason, retry);
    }
    const v1::Service &declared = service->second.declared->service;
    const bool stated = caller.deadline.count() > 0;
    request.deadline =
        now + (stated ? caller.deadline : milliseconds(declared.default_deadline_ms()));
    const bool badKey = !caller.idempotent && !keyTime(caller.key);
    const bool tooLarge =
        declared.max_body_bytes() > 0 && caller.bodyBytes > declared.max_body_bytes();
    if (badKey || tooLarge)
        return refuseRequest(state, shared, request, v1::REASON_BAD_REQUEST, milliseconds(0));
    if (currentSuspicion(shared, request, now) == Suspicion::Quarantined)
        return refuseRequest(state, shared, request, v1::REASON_CONVICTED, quarantineTime);
    if (auto refused = refusedByOrganisation(state, shared, request, now))
        return *refused;
    return sendNext(state, shared, request, now);
}

bool isMalformed(const v1::Verdict &verdict)
{
    return verdict.kind() == v1::VERDICT_KIND_ACCEPTED
        && faultOfFinalStatus(static_cast<int>(verdict.http_status())).has_value();
}

bool belongsTo(const EntryState &state, const RequestState &request, const v1::AgentFrame &frame)
{
    if (!request.outstanding)
        return false;
    // A late answer of an abandoned attempt, or an answer of another request that was delivered on
    // the wrong stream, must not reach this caller.
    const bool same =
        frame.request_id() == request.request.id && frame.attempt() == request.attempt;
    return same || !state.guards.dropForeignFrames;
}

EntryAction applyFrame(EntryState &state, EntryShared &shared, RequestState &request,
                       const v1::AgentFrame &frame, TimePoint now)
{
    if (!belongsTo(state, request, frame))
        return Nothing();
    if (Candidate *candidate = candidateOf(state, request)) {
        attemptFrameReceived(*candidate, now);
        if (frame.has_load())
            applyLoad(*candidate, frame.load(), now);
    }
    request.answerBytes += frame.chunk().size();
    if (frame.has_end())
        return applyEnd(state, shared, request, frame.end(), now);
    // A verdict after the answer began is a duplicate.
    if (!frame.has_verdict() || request.answering)
        return Nothing();
    return applyVerdict(state, shared, request, frame.verdict(), now);
}

bool isAnswerComplete(const RequestState &request, const v1::AnswerEnd &end)
{
    // A lost, duplicated or reordered chunk changes the number of bytes that were counted.
    return end.complete() && end.bytes() == request.answerBytes;
}

EntryAction attemptLost(EntryState &state, EntryShared &shared, RequestState &request,
                        bool mayHaveReachedAgent, TimePoint now)
{
    if (!request.outstanding || request.answering)
        return Nothing();
    endAttempt(state, request, true, now);
    if (mayHaveReachedAgent)
        return retryMayHaveRun(state, shared, request, v1::REASON_CONNECTION_LOST, now);
    return retryNotRun(state, shared, request, v1::REASON_CONNECTION_LOST, shortRetry, now);
}

EntryAction deadlinePassed(EntryState &state, EntryShared &shared, RequestState &request,
                           TimePoint now)
{
    if (request.ended || request.answering)
        return Nothing();
    request.mayHaveRun = request.mayHaveRun || request.outstanding;
    endAttempt(state, request, true, now);
    return refuseRequest(state, shared, request, v1::REASON_DEADLINE, milliseconds(0));
}

void answerEnded(EntryState &state, EntryShared &shared, RequestState &request, bool complete,
                 TimePoint now)
{
    if (request.ended)
        return;
    endAttempt(state, request, !complete, now);
    request.ended = true;
    releaseShared(shared, request);
    if (!complete)
        return;
    const auto service = state.services.find(request.request.service);
    const double ratio =
        service == state.services.end() ? 0.0 : service->second.declared->policy.retry_ratio();
    const Lock lock(shared.mutex);
    earnRetry(shared.retryBudgets[request.request.service], ratio);
    if (request.runAlone)
        recordGoodRun(shared.suspects, request.request.fingerprint);
}

void callerLeft(EntryState &state, EntryShared &shared, RequestState &request, TimePoint now)
{
    endAttempt(state, request, false, now);
    request.ended = true;
    releaseShared(shared, request);
}

void mergeSuspects(EntryShared &shared, const v1::Heartbeat &heartbeat, TimePoint now)
{
    const Lock lock(shared.mutex);
    for (const v1::SuspectReport &report : heartbeat.suspects())
        mergeSuspectReport(shared.suspects, report, now);
}

std::vector<v1::SuspectReport> suspectsToReport(EntryShared &shared, TimePoint now)
{
    const Lock lock(shared.mutex);
    return suspectReports(shared.suspects, now);
}

} // namespace wisteria
