#include <algorithm>
#include <chrono>

#include "Request/AdmissionKeys.h"
#include "Request/AttemptQueue.h"
#include "Request/KeyHashing.h"

// Defines answeredAtAdmission(), which AttemptQueue.h declares.

namespace wisteria {

namespace {

/// Refuses the attempt if the agent's configuration, draining state or backend server rules out
/// new work.
std::optional<RefuseAttempt> refusedByState(AdmissionState &state, const AgentAttempt &run)
{
    if (!state.configured)
        return refuseUnsent(state, run, v1::REASON_STARTING, longAdmissionRetry);
    if (run.head.service() != state.service.name())
        return refuseUnsent(state, run, v1::REASON_WRONG_SERVICE, milliseconds(0));
    if (state.draining || state.declared.draining())
        return refuseUnsent(state, run, v1::REASON_LEAVING, longAdmissionRetry);
    // The entry has a newer configuration, which may have moved the key to another owner or removed
    // the service.
    if (run.key && run.head.config_version() > state.configVersion)
        return refuseUnsent(state, run, v1::REASON_STALE_CONFIG, shortAdmissionRetry);
    // A stalled backend server accepts requests and answers none, so that each caller would notice
    // it only at its deadline. The health check detects the stall for all callers.
    if (!state.backendUp || state.backendStalled)
        return refuseUnsent(state, run, v1::REASON_BACKEND_DOWN, longAdmissionRetry);
    return std::nullopt;
}

std::optional<RefuseAttempt> refusedBySuspicion(AdmissionState &state, AgentAttempt &run,
                                                TimePoint now)
{
    const Suspicion suspicion = suspicionOf(state.suspects, run.head.fingerprint(), now);
    if (suspicion == Suspicion::Quarantined) {
        renewQuarantine(state.suspects, run.head.fingerprint(), now);
        return refuseUnsent(state, run, v1::REASON_CONVICTED, quarantineTime);
    }
    if (suspicion == Suspicion::None || run.alone)
        return std::nullopt;
    // A non-idempotent request may run only on the owner of its key, so a suspect one runs alone
    // here. An idempotent suspect goes to the server that is designated for its fingerprint.
    if (run.key) {
        run.alone = true;
        return std::nullopt;
    }
    return refuseUnsent(state, run, v1::REASON_SUSPECT, milliseconds(0));
}

std::optional<RefuseAttempt> refusedByQueue(AdmissionState &state, const AgentAttempt &run,
                                            TimePoint now)
{
    if (pastDeadline(state, run, now))
        return refuseUnsent(state, run, v1::REASON_DEADLINE, milliseconds(0));
    const microseconds wait = expectedQueueTime(state, run.head.priority());
    const bool tooLate = wait.count() > 0 && now + wait + state.serviceTime > run.deadline;
    if (tooLate && state.guards.queueDeadline) {
        const auto retry = std::chrono::duration_cast<milliseconds>(wait) + milliseconds(1);
        return refuseUnsent(state, run, v1::REASON_DEADLINE, retry);
    }
    // A suspect can always queue, even if the bound is 0: it has to wait until nothing else runs.
    const std::size_t bound = std::max<std::size_t>(state.service.queue_bound(), run.alone ? 1 : 0);
    const bool startsNow = state.queue.empty() && mayStartNow(state, run);
    if (!startsNow && state.queue.size() >= bound) {
        const auto oneRun = std::chrono::duration_cast<milliseconds>(state.serviceTime);
        return refuseUnsent(state, run, v1::REASON_QUEUE_FULL,
                            std::max(oneRun, shortAdmissionRetry));
    }
    return std::nullopt;
}

/// Replays the stored answer of a known key, or refuses the attempt with what is recorded of it.
/// @return Whether the attempt was answered; false if nothing recorded keeps the key from running.
bool answerKnownKey(AdmissionState &state, const AgentAttempt &run, AdmissionActions &actions)
{
    const KeyLookup known = lookUpKey(state.keys, *run.key, run.head, state.guards);
    if (known.kind == KeyLookupKind::NotKnown)
        return false;
    if (known.kind == KeyLookupKind::Replay) {
        const StoredAnswer &answer = *known.answer;
        actions.emplace_back(
            ReplayAnswer{run.stream, answer.httpStatus, answer.contentType, answer.body});
        return true;
    }
    actions.emplace_back(refusal(run.stream, known.verdict, known.reason, known.retryAfter));
    return true;
}

/// Answers an attempt whose key has run or may not run here.
/// @return Whether the attempt was answered; false if the key may run.
bool answeredByKey(AdmissionState &state, const AgentAttempt &run, WallTime wall,
                   AdmissionActions &actions)
{
    if (answerKnownKey(state, run, actions))
        return true;
    const KeyEligibility eligibility = eligibilityOf(state, run.head.key(), run.key->first, wall);
    if (eligibility.mayRun)
        return false;
    // There is no record of the key here, so NOT_RUN is correct only if the caller declares this
    // its first try. The try is then recorded as refused, so that a late copy of it never runs.
    // Keys far ahead of the clock are not recorded, or a few of them would evict all others.
    const bool farAhead = run.key->first > wall + maxRecordedLead;
    const bool firstTry =
        (run.head.caller_attempt() == 1 && !farAhead) || !state.guards.repeatsNeedProof;
    if (firstTry)
        refuseTry(state.keys, *run.key, run.head, state.guards);
    const auto kind = firstTry ? v1::VERDICT_KIND_NOT_RUN : v1::VERDICT_KIND_OUTCOME_UNKNOWN;
    actions.emplace_back(refusal(run.stream, kind, eligibility.reason, eligibility.retryAfter));
    return true;
}

std::optional<RefuseAttempt> refusedByCommonChecks(AdmissionState &state, AgentAttempt &run,
                                                   TimePoint now)
{
    // The quarantine is checked first, so that an entry is informed of it also by an agent whose
    // backend server is down.
    if (auto refused = refusedBySuspicion(state, run, now))
        return refused;
    if (auto refused = refusedByState(state, run))
        return refused;
    return refusedByQueue(state, run, now);
}

} // namespace

bool answeredAtAdmission(AdmissionState &state, AgentAttempt &run, TimePoint now, WallTime wall,
                         AdmissionActions &actions)
{
    if (!run.head.idempotent()) {
        const auto time = keyTime(run.head.key());
        if (!time) {
            actions.emplace_back(refusal(run.stream, v1::VERDICT_KIND_NOT_RUN,
                                         v1::REASON_BAD_REQUEST, milliseconds(0)));
            return true;
        }
        run.key = keyId(*time, run.head.organisation(), canonicalKey(run.head.key()));
        if (answeredByKey(state, run, wall, actions))
            return true;
    }
    const auto refused = refusedByCommonChecks(state, run, now);
    if (refused)
        actions.emplace_back(*refused);
    return refused.has_value();
}

} // namespace wisteria
