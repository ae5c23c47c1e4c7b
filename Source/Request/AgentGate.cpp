#include "Request/AgentGate.h"

#include <algorithm>

#include "Request/GateKeys.h"
#include "Request/KeyHome.h"

namespace wisteria {

namespace {

constexpr milliseconds shortRetry{100};
constexpr milliseconds leavingRetry{1'000};
/// Weight of the newest run in the smoothed service time.
constexpr int serviceTimeSmoothing = 8;

RefuseAttempt refusal(StreamId stream, v1::VerdictKind kind, v1::Reason reason,
                      milliseconds retryAfter)
{
    v1::Verdict verdict;
    verdict.set_kind(kind);
    verdict.set_reason(reason);
    verdict.set_retry_after_ms(retryAfter.count());
    return {stream, verdict};
}

/// Refuses a run that was never handed to the backend server. For a key this is remembered, so
/// that the same try, arriving late or twice, does not run after all.
RefuseAttempt refuseNotRun(GateState &state, const GateRun &run, v1::Reason reason,
                           milliseconds retryAfter)
{
    if (!run.key)
        return refusal(run.stream, v1::VERDICT_KIND_NOT_RUN, reason, retryAfter);
    const bool proven = refuseTry(state.keys, *run.key, run.head, state.guards);
    const auto kind = proven ? v1::VERDICT_KIND_NOT_RUN : v1::VERDICT_KIND_OUTCOME_UNKNOWN;
    return refusal(run.stream, kind, reason, retryAfter);
}

auto runOf(std::vector<GateRun> &runs, StreamId stream)
{
    return std::find_if(runs.begin(), runs.end(),
                        [stream](const GateRun &run) { return run.stream == stream; });
}

std::uint32_t slots(const GateState &state)
{
    return std::max<std::uint32_t>(state.declared.concurrency(), 1);
}

bool runsAlone(const GateState &state)
{
    return std::any_of(state.running.begin(), state.running.end(),
                       [](const GateRun &run) { return run.alone; });
}

/// Requests that would start before one of this priority.
std::size_t queuedBefore(const GateState &state, std::uint32_t priority)
{
    return std::count_if(state.queue.begin(), state.queue.end(), [priority](const GateRun &run) {
        return run.head.priority() >= priority;
    });
}

/// Time until a request of this priority would start; zero when it can start at once.
microseconds expectedStart(const GateState &state, std::uint32_t priority)
{
    const std::size_t ahead = state.running.size() + queuedBefore(state, priority);
    if (ahead < slots(state))
        return microseconds(0);
    return state.serviceTime * (ahead + 1 - slots(state)) / slots(state);
}

bool mayStartNow(const GateState &state, const GateRun &run)
{
    if (!state.backendUp || runsAlone(state))
        return false;
    // A suspect may take the backend server down: nothing else may be hurt with it.
    if (run.alone)
        return state.running.empty();
    return state.running.size() < slots(state);
}

void start(GateState &state, GateRun run, TimePoint now, GateActions &actions)
{
    run.startedAt = now;
    actions.emplace_back(StartBackend{run.stream});
    state.running.push_back(std::move(run));
}

bool pastDeadline(const GateState &state, const GateRun &run, TimePoint now)
{
    return state.guards.queueDeadline && run.deadline <= now;
}

void startQueued(GateState &state, TimePoint now, GateActions &actions)
{
    while (!state.queue.empty() && mayStartNow(state, state.queue.front())) {
        GateRun run = std::move(state.queue.front());
        state.queue.erase(state.queue.begin());
        if (pastDeadline(state, run, now))
            actions.emplace_back(refuseNotRun(state, run, v1::REASON_DEADLINE, milliseconds(0)));
        else
            start(state, std::move(run), now, actions);
    }
}

void enqueue(GateState &state, GateRun run)
{
    const auto behind =
        std::find_if(state.queue.begin(), state.queue.end(), [&run](const GateRun &queued) {
            return queued.head.priority() < run.head.priority();
        });
    state.queue.insert(behind, std::move(run));
}

/// Refuses every queued run that the predicate picks.
template <typename Predicate>
void refuseQueued(GateState &state, v1::Reason reason, milliseconds retryAfter,
                  GateActions &actions, Predicate picks)
{
    std::vector<GateRun> kept;
    for (GateRun &run : state.queue) {
        if (picks(run))
            actions.emplace_back(refuseNotRun(state, run, reason, retryAfter));
        else
            kept.push_back(std::move(run));
    }
    state.queue = std::move(kept);
}

/// Why this agent takes no such work at all now.
std::optional<RefuseAttempt> refusedByState(GateState &state, const GateRun &run)
{
    if (!state.configured)
        return refuseNotRun(state, run, v1::REASON_STARTING, leavingRetry);
    if (run.head.service() != state.service.name())
        return refuseNotRun(state, run, v1::REASON_WRONG_SERVICE, milliseconds(0));
    if (state.leaving || state.declared.draining())
        return refuseNotRun(state, run, v1::REASON_LEAVING, leavingRetry);
    // The entry knows a newer configuration, which may have moved the key or removed the service.
    if (run.key && run.head.config_version() > state.configVersion)
        return refuseNotRun(state, run, v1::REASON_STALE_CONFIG, shortRetry);
    if (!state.backendUp)
        return refuseNotRun(state, run, v1::REASON_BACKEND_DOWN, leavingRetry);
    return std::nullopt;
}

std::optional<RefuseAttempt> refusedBySuspicion(GateState &state, GateRun &run, TimePoint now)
{
    const Suspicion suspicion = suspicionOf(state.suspects, run.head.fingerprint(), now);
    if (suspicion == Suspicion::Convicted)
        return refuseNotRun(state, run, v1::REASON_CONVICTED, convictionTime);
    if (suspicion == Suspicion::None || run.alone)
        return std::nullopt;
    // A key may run nowhere else, so it runs alone here; others go to the designated server.
    if (run.key) {
        run.alone = true;
        return std::nullopt;
    }
    return refuseNotRun(state, run, v1::REASON_SUSPECT, milliseconds(0));
}

std::optional<RefuseAttempt> refusedByQueue(GateState &state, const GateRun &run, TimePoint now)
{
    if (pastDeadline(state, run, now))
        return refuseNotRun(state, run, v1::REASON_DEADLINE, milliseconds(0));
    const microseconds wait = expectedStart(state, run.head.priority());
    const bool tooLate = wait.count() > 0 && now + wait + state.serviceTime > run.deadline;
    if (tooLate && state.guards.queueDeadline) {
        const auto retry = std::chrono::duration_cast<milliseconds>(wait) + milliseconds(1);
        return refuseNotRun(state, run, v1::REASON_DEADLINE, retry);
    }
    // A suspect always finds one place: it has to wait until nothing else runs.
    const std::size_t bound = std::max<std::size_t>(state.service.queue_bound(), run.alone ? 1 : 0);
    const bool startsNow = state.queue.empty() && mayStartNow(state, run);
    if (!startsNow && state.queue.size() >= bound) {
        const auto oneRun = std::chrono::duration_cast<milliseconds>(state.serviceTime);
        return refuseNotRun(state, run, v1::REASON_QUEUE_FULL, std::max(oneRun, shortRetry));
    }
    return std::nullopt;
}

/// Answers a known key, or says that it is unknown, in flight or gone.
/// @return Whether the attempt was answered.
bool answerKnownKey(GateState &state, const GateRun &run, GateActions &actions)
{
    const KeyAnswer known = recallKey(state.keys, *run.key, run.head, state.guards);
    if (known.kind == KeyAnswerKind::NotKnown)
        return false;
    if (known.kind == KeyAnswerKind::Replay) {
        const StoredAnswer &answer = *known.answer;
        actions.emplace_back(
            ReplayAnswer{run.stream, answer.httpStatus, answer.contentType, answer.body});
        return true;
    }
    actions.emplace_back(refusal(run.stream, known.verdict, known.reason, known.retryAfter));
    return true;
}

/// Refuses a key that may not run here, or has run.
/// @return Whether the attempt was answered.
bool answeredByKey(GateState &state, const GateRun &run, WallTime wall, GateActions &actions)
{
    if (answerKnownKey(state, run, actions))
        return true;
    const KeyStanding standing = standingOf(state, run.head.key(), run.key->first, wall);
    if (standing.mayRun)
        return false;
    // Nothing is known of the key here, so only the caller's word that this is its first try makes
    // "not run" true; and this try is refused for good, so that it stays true.
    const bool firstTry = run.head.caller_attempt() == 1 || !state.guards.repeatsNeedProof;
    if (firstTry)
        refuseTry(state.keys, *run.key, run.head, state.guards);
    const auto kind = firstTry ? v1::VERDICT_KIND_NOT_RUN : v1::VERDICT_KIND_OUTCOME_UNKNOWN;
    actions.emplace_back(refusal(run.stream, kind, standing.reason, standing.retryAfter));
    return true;
}

std::optional<RefuseAttempt> refusedAnyhow(GateState &state, GateRun &run, TimePoint now)
{
    if (auto refused = refusedByState(state, run))
        return refused;
    if (auto refused = refusedBySuspicion(state, run, now))
        return refused;
    return refusedByQueue(state, run, now);
}

/// Everything that may keep an attempt from being queued, in order.
/// @return Whether the attempt was answered.
bool answeredAtGate(GateState &state, GateRun &run, TimePoint now, WallTime wall,
                    GateActions &actions)
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
    const auto refused = refusedAnyhow(state, run, now);
    if (refused)
        actions.emplace_back(*refused);
    return refused.has_value();
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

std::vector<HomeMember> homeMembers(const ConfigState &config, const std::string &service)
{
    std::vector<HomeMember> members;
    for (const auto &[key, object] : config.objects) {
        if (key.kind != v1::OBJECT_KIND_BACKEND_SERVER)
            continue;
        const v1::BackendServer &server = object.object().backend_server();
        if (server.service() == service && !server.draining())
            members.push_back({server.name(), server.agent_address(), server.vm()});
    }
    return members;
}

/// Accepted changes after the version in force, up to the new one; more than one means that
/// versions in between were never in force here.
bool everyVersionSeen(const ConfigState &config, std::uint64_t version)
{
    const auto newer = [version](const auto &item) {
        return item.second.accepted() && item.second.offset() > version;
    };
    return std::count_if(config.seen.begin(), config.seen.end(), newer) == 1;
}

void takeDeclared(GateState &state, const ConfigState &config)
{
    const auto own = config.objects.find({v1::OBJECT_KIND_BACKEND_SERVER, state.ownName});
    state.configured = own != config.objects.end();
    if (!state.configured)
        return;
    state.declared = own->second.object().backend_server();
    // Another process was declared under this name at another address: it is the home now.
    if (!state.ownAddress.empty() && state.declared.agent_address() != state.ownAddress)
        state.configured = false;
    const auto service = config.objects.find({v1::OBJECT_KIND_SERVICE, state.declared.service()});
    if (service == config.objects.end())
        state.configured = false;
    else
        state.service = service->second.object().service();
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
        actions.emplace_back(refuseNotRun(state, run, v1::REASON_BACKEND_DOWN, shortRetry));
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
    refuseQueued(state, v1::REASON_LEAVING, leavingRetry, actions,
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
    refuseQueued(state, v1::REASON_BACKEND_DOWN, leavingRetry, actions,
                 [](const GateRun &) { return true; });
    return actions;
}

GateActions setGateConfiguration(GateState &state, const ConfigState &config,
                                 const std::string &ownName, TimePoint, WallTime wall)
{
    GateActions actions;
    if (state.tenure.begun && config.version <= state.configVersion)
        return actions;
    const bool contiguous = state.tenure.begun && everyVersionSeen(config, state.configVersion);
    state.ownName = ownName;
    state.tenure.ownName = ownName;
    state.configVersion = config.version;
    takeDeclared(state, config);
    state.tenure.service = state.service.name();
    // An earlier life of this process, or a home of a version not seen here, may have run any key
    // made until now. Keys ahead of our clock by the allowance are let in, hence twice.
    if (!contiguous)
        state.keys.floor = std::max(state.keys.floor, wall + 2 * clockSkewAllowance);
    setHomes(state.tenure, homeMembers(config, state.service.name()), config.version, contiguous);
    refuseQueued(state, v1::REASON_NOT_HOME, shortRetry, actions, [&](const GateRun &run) {
        return run.key && state.guards.homeOnly
            && !isHome(state.tenure, canonicalKey(run.head.key()));
    });
    if (!state.configured || state.declared.draining()) {
        refuseQueued(state, v1::REASON_LEAVING, leavingRetry, actions,
                     [](const GateRun &) { return true; });
    }
    return actions;
}

v1::LoadReport loadReport(const GateState &state)
{
    v1::LoadReport report;
    report.set_running(state.running.size());
    report.set_queued(state.queue.size());
    report.set_concurrency(slots(state));
    report.set_service_time_us(state.serviceTime.count());
    report.set_leaving(state.leaving || state.declared.draining());
    report.set_backend_down(!state.backendUp);
    return report;
}

std::vector<HandoverWanted> handoversWanted(const GateState &state)
{
    return pendingReleases(state.tenure);
}

void handoverAnswered(GateState &state, const std::string &formerHome,
                      const v1::KeyHandoverReply &reply, TimePoint, WallTime wall)
{
    if (reply.released())
        released(state.tenure, formerHome, reply.config_version(), wall);
}

void vmGone(GateState &state, const std::string &vm, TimePoint, WallTime wall)
{
    releasedByVm(state.tenure, vm, wall);
}

v1::KeyHandoverReply answerHandover(const GateState &state, const v1::KeyHandover &question)
{
    v1::KeyHandoverReply reply;
    reply.set_released(state.configVersion >= question.config_version());
    reply.set_config_version(state.configVersion);
    return reply;
}

} // namespace wisteria
