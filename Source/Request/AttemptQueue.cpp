#include "Request/AttemptQueue.h"

#include <algorithm>

#include "Request/AdmissionKeys.h"

namespace wisteria {

namespace {

bool runsAlone(const AdmissionState &state)
{
    return std::any_of(state.running.begin(), state.running.end(),
                       [](const AgentAttempt &run) { return run.alone; });
}

/// Number of queued requests that would start before a new one of this priority.
std::size_t queuedBefore(const AdmissionState &state, std::uint32_t priority)
{
    return std::count_if(
        state.queue.begin(), state.queue.end(),
        [priority](const AgentAttempt &run) { return run.head.priority() >= priority; });
}

void start(AdmissionState &state, AgentAttempt run, TimePoint now, AdmissionActions &actions)
{
    run.startedAt = now;
    actions.emplace_back(StartBackend{run.stream});
    state.running.push_back(std::move(run));
}

} // namespace

RefuseAttempt refusal(StreamId stream, v1::VerdictKind kind, v1::Reason reason,
                      milliseconds retryAfter)
{
    v1::Verdict verdict;
    verdict.set_kind(kind);
    verdict.set_reason(reason);
    verdict.set_retry_after_ms(retryAfter.count());
    return {stream, verdict};
}

RefuseAttempt refuseUnsent(AdmissionState &state, const AgentAttempt &run, v1::Reason reason,
                           milliseconds retryAfter)
{
    if (!run.key)
        return refusal(run.stream, v1::VERDICT_KIND_NOT_RUN, reason, retryAfter);
    const bool proven = refuseTry(state.keys, *run.key, run.head, state.guards);
    const auto kind = proven ? v1::VERDICT_KIND_NOT_RUN : v1::VERDICT_KIND_OUTCOME_UNKNOWN;
    return refusal(run.stream, kind, reason, retryAfter);
}

std::uint32_t slots(const AdmissionState &state)
{
    return std::max<std::uint32_t>(state.declared.concurrency(), 1);
}

microseconds expectedQueueTime(const AdmissionState &state, std::uint32_t priority)
{
    const std::size_t ahead = state.running.size() + queuedBefore(state, priority);
    if (ahead < slots(state))
        return microseconds(0);
    return state.serviceTime * (ahead + 1 - slots(state)) / slots(state);
}

bool mayStartNow(const AdmissionState &state, const AgentAttempt &run)
{
    if (!state.backendUp || state.backendStalled || runsAlone(state))
        return false;
    // A suspect may crash the backend server, so nothing else may run meanwhile.
    if (run.alone)
        return state.running.empty();
    return state.running.size() < slots(state);
}

bool pastDeadline(const AdmissionState &state, const AgentAttempt &run, TimePoint now)
{
    return state.guards.queueDeadline && run.deadline <= now;
}

void startQueued(AdmissionState &state, TimePoint now, AdmissionActions &actions)
{
    while (!state.queue.empty() && mayStartNow(state, state.queue.front())) {
        AgentAttempt run = std::move(state.queue.front());
        state.queue.erase(state.queue.begin());
        if (pastDeadline(state, run, now))
            actions.emplace_back(refuseUnsent(state, run, v1::REASON_DEADLINE, milliseconds(0)));
        else
            start(state, std::move(run), now, actions);
    }
}

void enqueue(AdmissionState &state, AgentAttempt run)
{
    const auto behind =
        std::find_if(state.queue.begin(), state.queue.end(), [&run](const AgentAttempt &queued) {
            return queued.head.priority() < run.head.priority();
        });
    state.queue.insert(behind, std::move(run));
}

void refuseQueued(AdmissionState &state, v1::Reason reason, milliseconds retryAfter,
                  AdmissionActions &actions,
                  const std::function<bool(const AgentAttempt &)> &selects)
{
    std::vector<AgentAttempt> kept;
    for (AgentAttempt &run : state.queue) {
        if (selects(run))
            actions.emplace_back(refuseUnsent(state, run, reason, retryAfter));
        else
            kept.push_back(std::move(run));
    }
    state.queue = std::move(kept);
}

} // namespace wisteria
