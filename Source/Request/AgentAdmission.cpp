#include "Request/AgentAdmission.h"

#include <algorithm>

#include "Request/AdmissionKeys.h"
#include "Request/AttemptQueue.h"
#include "Request/KeyHashing.h"

namespace wisteria {

namespace {

/// The newest run has a weight of 1/8 in the smoothed service time.
constexpr int serviceTimeSmoothing = 8;

auto findAttempt(std::vector<AgentAttempt> &runs, StreamId stream)
{
    return std::find_if(runs.begin(), runs.end(),
                        [stream](const AgentAttempt &run) { return run.stream == stream; });
}

AgentAttempt makeAttempt(StreamId stream, const v1::RunHead &head, TimePoint now)
{
    AgentAttempt run;
    run.stream = stream;
    run.head = head;
    run.arrivedAt = now;
    run.deadline = now + milliseconds(head.remaining_ms());
    run.alone = head.run_alone();
    return run;
}

void observeServiceTime(AdmissionState &state, microseconds taken)
{
    if (state.serviceTime.count() == 0)
        state.serviceTime = taken;
    else
        state.serviceTime += (taken - state.serviceTime) / serviceTimeSmoothing;
}

void noteKeyEnd(AdmissionState &state, const AgentAttempt &run, const BackendResult &result)
{
    if (!run.key)
        return;
    switch (result.kind) {
    case BackendEnd::Answered:
        noteKeyRan(state.keys, *run.key);
        if (result.body)
            storeAnswer(state.keys, *run.key,
                        {result.httpStatus, result.contentType, *result.body});
        return;
    case BackendEnd::NotConnected:
        noteKeyNotRun(state.keys, *run.key);
        return;
    case BackendEnd::Cut:
    case BackendEnd::Died:
    case BackendEnd::TimedOut:
        noteKeyUnknown(state.keys, *run.key);
        return;
    }
}

v1::Reason reasonOf(BackendEnd end)
{
    switch (end) {
    case BackendEnd::Died:
        return v1::REASON_BACKEND_DIED;
    case BackendEnd::TimedOut:
        return v1::REASON_DEADLINE;
    case BackendEnd::Answered:
    case BackendEnd::NotConnected:
    case BackendEnd::Cut:
        break;
    }
    return v1::REASON_CONNECTION_LOST;
}

std::uint64_t deathId(const AdmissionState &state)
{
    const std::string death =
        std::to_string(state.incarnation) + '/' + std::to_string(state.deaths);
    return pairHash(state.ownName, death);
}

} // namespace

AdmissionActions attemptArrived(AdmissionState &state, StreamId stream, const v1::RunHead &head,
                                TimePoint now, WallTime wall)
{
    AdmissionActions actions;
    AgentAttempt run = makeAttempt(stream, head, now);
    if (answeredAtAdmission(state, run, now, wall, actions))
        return actions;
    if (run.key)
        noteKeyInFlight(state.keys, *run.key, run.head);
    enqueue(state, std::move(run));
    startQueued(state, now, actions);
    return actions;
}

AdmissionActions backendEnded(AdmissionState &state, StreamId stream, const BackendResult &result,
                              TimePoint now)
{
    const auto found = findAttempt(state.running, stream);
    if (found == state.running.end())
        return {};
    const AgentAttempt run = std::move(*found);
    state.running.erase(found);
    noteKeyEnd(state, run, result);
    AdmissionActions actions;
    if (result.kind == BackendEnd::Answered) {
        observeServiceTime(state, std::chrono::duration_cast<microseconds>(now - run.startedAt));
        if (run.alone)
            recordGoodRun(state.suspects, run.head.fingerprint());
    } else if (result.kind == BackendEnd::NotConnected) {
        actions.emplace_back(
            refuseUnsent(state, run, v1::REASON_BACKEND_DOWN, shortAdmissionRetry));
    } else {
        actions.emplace_back(refusal(stream, v1::VERDICT_KIND_OUTCOME_UNKNOWN,
                                     reasonOf(result.kind), milliseconds(0)));
    }
    startQueued(state, now, actions);
    return actions;
}

AdmissionActions streamCancelled(AdmissionState &state, StreamId stream, TimePoint now)
{
    AdmissionActions actions;
    const auto queued = findAttempt(state.queue, stream);
    if (queued != state.queue.end()) {
        if (queued->key)
            refuseTry(state.keys, *queued->key, queued->head, state.guards);
        state.queue.erase(queued);
        startQueued(state, now, actions);
        return actions;
    }
    const auto found = findAttempt(state.running, stream);
    if (found == state.running.end())
        return actions;
    // A non-idempotent run continues: its answer is stored for the caller's repeat.
    if (found->key) {
        found->abandoned = true;
        return actions;
    }
    state.running.erase(found);
    actions.emplace_back(CancelBackend{stream});
    startQueued(state, now, actions);
    return actions;
}

AdmissionActions tick(AdmissionState &state, TimePoint now, WallTime)
{
    AdmissionActions actions;
    refuseQueued(state, v1::REASON_DEADLINE, milliseconds(0), actions,
                 [&](const AgentAttempt &run) { return pastDeadline(state, run, now); });
    forgetSuspects(state.suspects, now);
    startQueued(state, now, actions);
    return actions;
}

AdmissionActions beginDraining(AdmissionState &state, TimePoint)
{
    state.draining = true;
    AdmissionActions actions;
    refuseQueued(state, v1::REASON_LEAVING, longAdmissionRetry, actions,
                 [](const AgentAttempt &) { return true; });
    return actions;
}

bool idle(const AdmissionState &state)
{
    return state.queue.empty() && state.running.empty();
}

AdmissionActions backendHealth(AdmissionState &state, bool up, TimePoint now)
{
    AdmissionActions actions;
    const bool died = state.backendUp && !up;
    state.backendUp = up;
    if (up) {
        startQueued(state, now, actions);
        return actions;
    }
    if (!died)
        return actions;
    ++state.deaths;
    for (const AgentAttempt &run : state.running)
        recordDeath(state.suspects, run.head.fingerprint(), deathId(state), run.alone, now);
    refuseQueued(state, v1::REASON_CONVICTED, quarantineTime, actions,
                 [&](const AgentAttempt &run) {
                     return suspicionOf(state.suspects, run.head.fingerprint(), now)
                         == Suspicion::Quarantined;
                 });
    refuseQueued(state, v1::REASON_BACKEND_DOWN, longAdmissionRetry, actions,
                 [](const AgentAttempt &) { return true; });
    return actions;
}

} // namespace wisteria
