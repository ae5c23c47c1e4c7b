#include "Request/AgentGate.h"

#include <algorithm>

#include "Request/GateKeys.h"
#include "Request/GateQueue.h"
#include "Request/KeyHome.h"

namespace wisteria {

namespace {

/// Weight of the newest run in the smoothed service time.
constexpr int serviceTimeSmoothing = 8;

auto runOf(std::vector<GateRun> &runs, StreamId stream)
{
    return std::find_if(runs.begin(), runs.end(),
                        [stream](const GateRun &run) { return run.stream == stream; });
}

GateRun makeRun(StreamId stream, const v1::RunHead &head, TimePoint now)
{
    GateRun run;
    run.stream = stream;
    run.head = head;
    run.arrivedAt = now;
    run.deadline = now + milliseconds(head.remaining_ms());
    run.alone = head.run_alone();
    return run;
}

void observeServiceTime(GateState &state, microseconds taken)
{
    if (state.serviceTime.count() == 0)
        state.serviceTime = taken;
    else
        state.serviceTime += (taken - state.serviceTime) / serviceTimeSmoothing;
}

void endKey(GateState &state, const GateRun &run, const BackendResult &result)
{
    if (!run.key)
        return;
    switch (result.kind) {
    case BackendEnd::Answered:
        keyRan(state.keys, *run.key);
        if (result.body)
            storeAnswer(state.keys, *run.key,
                        {result.httpStatus, result.contentType, *result.body});
        return;
    case BackendEnd::Refused:
        keyDidNotRun(state.keys, *run.key);
        return;
    case BackendEnd::Cut:
    case BackendEnd::Died:
    case BackendEnd::TimedOut:
        keyUnknown(state.keys, *run.key);
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
    case BackendEnd::Refused:
    case BackendEnd::Cut:
        break;
    }
    return v1::REASON_CONNECTION_LOST;
}

std::uint64_t deathId(const GateState &state)
{
    const std::string life = std::to_string(state.incarnation) + '/' + std::to_string(state.deaths);
    return pairHash(state.ownName, life);
}

} // namespace

GateActions runArrived(GateState &state, StreamId stream, const v1::RunHead &head, TimePoint now,
                       WallTime wall)
{
    GateActions actions;
    GateRun run = makeRun(stream, head, now);
    if (answeredAtGate(state, run, now, wall, actions))
        return actions;
    if (run.key)
        keyInFlight(state.keys, *run.key, run.head);
    enqueue(state, std::move(run));
    startQueued(state, now, actions);
    return actions;
}

GateActions backendEnded(GateState &state, StreamId stream, const BackendResult &result,
                         TimePoint now)
{
    const auto found = runOf(state.running, stream);
    if (found == state.running.end())
        return {};
    const GateRun run = std::move(*found);
    state.running.erase(found);
    endKey(state, run, result);
    GateActions actions;
    if (result.kind == BackendEnd::Answered) {
        observeServiceTime(state, std::chrono::duration_cast<microseconds>(now - run.startedAt));
        if (run.alone)
            recordGoodRun(state.suspects, run.head.fingerprint());
    } else if (result.kind == BackendEnd::Refused) {
        actions.emplace_back(refuseNotRun(state, run, v1::REASON_BACKEND_DOWN, shortGateRetry));
    } else {
        actions.emplace_back(refusal(stream, v1::VERDICT_KIND_OUTCOME_UNKNOWN,
                                     reasonOf(result.kind), milliseconds(0)));
    }
    startQueued(state, now, actions);
    return actions;
}

GateActions streamCancelled(GateState &state, StreamId stream, TimePoint now)
{
    GateActions actions;
    const auto queued = runOf(state.queue, stream);
    if (queued != state.queue.end()) {
        if (queued->key)
            refuseTry(state.keys, *queued->key, queued->head, state.guards);
        state.queue.erase(queued);
        startQueued(state, now, actions);
        return actions;
    }
    const auto found = runOf(state.running, stream);
    if (found == state.running.end())
        return actions;
    // A run that may not be repeated goes on: its answer is kept for the caller's repeat.
    if (found->key) {
        found->abandoned = true;
        return actions;
    }
    state.running.erase(found);
    actions.emplace_back(CancelBackend{stream});
    startQueued(state, now, actions);
    return actions;
}

GateActions tick(GateState &state, TimePoint now, WallTime)
{
    GateActions actions;
    refuseQueued(state, v1::REASON_DEADLINE, milliseconds(0), actions,
                 [&](const GateRun &run) { return pastDeadline(state, run, now); });
    forgetSuspects(state.suspects, now);
    startQueued(state, now, actions);
    return actions;
}

GateActions beginLeaving(GateState &state, TimePoint)
{
    state.leaving = true;
    GateActions actions;
    refuseQueued(state, v1::REASON_LEAVING, longGateRetry, actions,
                 [](const GateRun &) { return true; });
    return actions;
}

bool idle(const GateState &state)
{
    return state.queue.empty() && state.running.empty();
}

GateActions backendHealth(GateState &state, bool up, TimePoint now)
{
    GateActions actions;
    const bool died = state.backendUp && !up;
    state.backendUp = up;
    if (up) {
        startQueued(state, now, actions);
        return actions;
    }
    if (!died)
        return actions;
    ++state.deaths;
    for (const GateRun &run : state.running)
        recordDeath(state.suspects, run.head.fingerprint(), deathId(state), run.alone, now);
    refuseQueued(state, v1::REASON_CONVICTED, convictionTime, actions, [&](const GateRun &run) {
        return suspicionOf(state.suspects, run.head.fingerprint(), now) == Suspicion::Convicted;
    });
    refuseQueued(state, v1::REASON_BACKEND_DOWN, longGateRetry, actions,
                 [](const GateRun &) { return true; });
    return actions;
}

} // namespace wisteria
