#include "Version/MapSwitchCoordinator.h"

#include <algorithm>

namespace wisteria {

namespace {

/// What the functions below need at one call.
struct Turn
{
    CoordinatorState &state;
    const MapSwitchContext &context;
    TimePoint now;
    std::optional<TimePoint> logAnsweredAt;
    MapSwitchActions &actions;
};

bool logAnswers(const Turn &turn)
{
    return turn.logAnsweredAt && turn.now - *turn.logAnsweredAt <= turn.context.timing.logFresh;
}

bool allRanks(const CoordinatorState &state, bool RankProgress::*flag)
{
    const auto &progress = state.attempt->progress;
    const auto reached = std::count_if(progress.begin(), progress.end(),
                                       [flag](const auto &entry) { return entry.second.*flag; });
    return static_cast<std::uint32_t>(reached) == state.ranks;
}

bool anyRank(const CoordinatorState &state, bool RankProgress::*flag)
{
    const auto &progress = state.attempt->progress;
    return std::any_of(progress.begin(), progress.end(),
                       [flag](const auto &entry) { return entry.second.*flag; });
}

std::optional<v1::RankRefusal> firstRefusal(const SwitchAttempt &attempt)
{
    for (const auto &[rank, progress] : attempt.progress) {
        if (progress.refusal != v1::RANK_REFUSAL_UNSPECIFIED)
            return progress.refusal;
    }
    return std::nullopt;
}

/// Failure: the holder is paused (VM frozen, long stop of the process) past its lease and wakes
/// with orders ready to send, while another rank coordinates. It looks at its own clock before
/// every order, not only when it took the lease. Should it be paused between the look and the send,
/// the ranks refuse the lower token and the stream rejects its commit.
bool mayAct(const Turn &turn)
{
    if (!turn.context.guards.checkLease)
        return turn.context.group.holder == turn.state.lease.self;
    return holdsLease(turn.state.lease, turn.context.group, turn.now);
}

void sendToAll(Turn &turn, const v1::GroupMessage &message)
{
    for (std::uint32_t rank = 0; rank < turn.state.ranks; ++rank)
        turn.actions.push_back(SendAction{rank, message});
    turn.state.attempt->sentAt = turn.now;
}

bool mayResend(const Turn &turn)
{
    const auto &sentAt = turn.state.attempt->sentAt;
    return !sentAt || turn.now >= *sentAt + turn.context.timing.resend;
}

void enterPhase(Turn &turn, AttemptPhase phase)
{
    SwitchAttempt &attempt = *turn.state.attempt;
    attempt.phase = phase;
    attempt.phaseAt = turn.now;
    attempt.sentAt.reset();
}

void giveUpMap(CoordinatorState &state, SwitchResult result)
{
    state.wanted.reset();
    state.result = result;
}

/// Ends the attempt and lets the next one begin after a pause that grows with their number.
void endAttempt(Turn &turn)
{
    CoordinatorState &state = turn.state;
    state.attempt.reset();
    ++state.attempts;
    state.notBefore = turn.now + turn.context.timing.resend * state.attempts;
    if (state.attempts >= turn.context.timing.maxAttempts)
        giveUpMap(state, SwitchResult::GaveUp);
}

/// Releases the ranks at once, without the log. Allowed only before the commit was sent: this
/// process is the only one whose commit of the attempt could count, and it forgets the attempt.
void cancelAttempt(Turn &turn)
{
    v1::GroupMessage message;
    *message.mutable_cancel()->mutable_id() = idOf(turn.state.attempt->key);
    sendToAll(turn, message);
    endAttempt(turn);
}

void beginAttempt(Turn &turn)
{
    CoordinatorState &state = turn.state;
    if (state.token != turn.context.group.token) {
        state.token = turn.context.group.token;
        state.lastNumber = 0;
    }
    SwitchAttempt attempt;
    attempt.key = {state.token, ++state.lastNumber};
    attempt.map = *state.wanted;
    attempt.begunAt = turn.now;
    attempt.phaseAt = turn.now;
    attempt.membersVersion = turn.context.group.membersVersion;
    state.attempt = std::move(attempt);
}

void sendStageOrders(Turn &turn)
{
    if (!mayResend(turn))
        return;
    v1::GroupMessage message;
    *message.mutable_stage()->mutable_id() = idOf(turn.state.attempt->key);
    *message.mutable_stage()->mutable_map() = turn.state.attempt->map;
    sendToAll(turn, message);
}

std::uint64_t furthestStep(const SwitchAttempt &attempt)
{
    std::uint64_t step = 0;
    for (const auto &[rank, progress] : attempt.progress)
        step = std::max(step, progress.step);
    return step;
}

/// Failure: ranks arm, and the coordinator's lease ends or the log is silent before it can commit,
/// so that they hold until their timeout. It asks for promises only with enough of its lease left
/// and an answer of the log just received.
bool mayArm(const Turn &turn)
{
    const auto needed = turn.context.timing.collectTimeout + turn.context.timing.armTimeout;
    const bool leaseLasts = turn.now + needed < turn.state.lease.heldUntil;
    const bool guarded = turn.context.guards.armOnlyWithLog;
    return !guarded || (leaseLasts && logAnswers(turn));
}

bool anotherIsWanted(const CoordinatorState &state)
{
    return state.wanted && state.wanted->digest() != state.attempt->map.digest();
}

void advanceStaging(Turn &turn)
{
    const SwitchAttempt &attempt = *turn.state.attempt;
    if (anotherIsWanted(turn.state)) {
        cancelAttempt(turn);
        return;
    }
    const auto refusal = firstRefusal(attempt);
    if (refusal == v1::RANK_REFUSAL_STAGING_FAILED
        || turn.now >= attempt.begunAt + turn.context.timing.stageTimeout) {
        cancelAttempt(turn);
        giveUpMap(turn.state, SwitchResult::StagingFailed);
        return;
    }
    if (!allRanks(turn.state, &RankProgress::staged)) {
        sendStageOrders(turn);
        return;
    }
    if (mayArm(turn))
        enterPhase(turn, AttemptPhase::Arming);
}

void sendArmOrders(Turn &turn)
{
    SwitchAttempt &attempt = *turn.state.attempt;
    if (!mayResend(turn))
        return;
    // Reports are a few steps old, and a rank refuses a step that it has begun: each further
    // attempt leaves more room.
    const std::uint64_t room = turn.context.timing.stepsAhead * (turn.state.attempts + 1);
    if (attempt.step == 0)
        attempt.step = furthestStep(attempt) + room;
    v1::GroupMessage message;
    v1::ArmOrder &order = *message.mutable_arm();
    *order.mutable_id() = idOf(attempt.key);
    order.set_step(attempt.step);
    order.set_members_version(attempt.membersVersion);
    order.set_digest(attempt.map.digest());
    sendToAll(turn, message);
}

void advanceArming(Turn &turn)
{
    const SwitchAttempt &attempt = *turn.state.attempt;
    const bool refused = firstRefusal(attempt).has_value();
    const bool late = turn.now >= attempt.phaseAt + turn.context.timing.collectTimeout;
    const bool promised = turn.context.guards.collectAllPromises
        ? allRanks(turn.state, &RankProgress::armed)
        : anyRank(turn.state, &RankProgress::armed);
    if (promised) {
        enterPhase(turn, AttemptPhase::Deciding);
        return;
    }
    if (refused || late)
        cancelAttempt(turn);
    else
        sendArmOrders(turn);
}

/// Failure: the answer to the commit is lost, and the coordinator can't tell whether it stands. It
/// needs no answer: it sends the same record again, of which only the first counts, and acts on
/// what it reads back.
void advanceDeciding(Turn &turn)
{
    if (!mayResend(turn))
        return;
    SwitchAttempt &attempt = *turn.state.attempt;
    attempt.sentAt = turn.now;
    AppendAction action;
    v1::SwitchCommit &commit = *action.record.mutable_commit();
    *commit.mutable_id() = idOf(attempt.key);
    commit.set_members_version(attempt.membersVersion);
    commit.set_step(attempt.step);
    *commit.mutable_map() = attempt.map;
    turn.actions.push_back(action);
}

/// Ends the attempt when the stream has decided it.
void settleAttempt(Turn &turn)
{
    CoordinatorState &state = turn.state;
    const SwitchAttempt &attempt = *state.attempt;
    const SwitchOutcome outcome =
        outcomeOf(turn.context.group, attempt.key, attempt.membersVersion);
    if (outcome == SwitchOutcome::Committed) {
        state.attempt.reset();
    } else if (outcome == SwitchOutcome::Aborted) {
        endAttempt(turn);
    }
}

/// Another coordinator may have brought the wanted map into force.
void forgetMapInForce(Turn &turn)
{
    CoordinatorState &state = turn.state;
    if (state.attempt || !state.wanted)
        return;
    if (state.wanted->digest() != turn.context.group.current.map.digest())
        return;
    state.wanted.reset();
    state.result = SwitchResult::InForce;
}

void advanceAttempt(Turn &turn)
{
    const AttemptPhase before = turn.state.attempt->phase;
    switch (before) {
    case AttemptPhase::Staging:
        advanceStaging(turn);
        break;
    case AttemptPhase::Arming:
        advanceArming(turn);
        break;
    case AttemptPhase::Deciding:
        advanceDeciding(turn);
        break;
    }
    if (turn.state.attempt && turn.state.attempt->phase != before)
        advanceAttempt(turn);
}

void appendLeaseRecordWhenDue(Turn &turn, bool isMember)
{
    // At rest the log is read about once per renewal, so its silence shows only after a while.
    const bool reachable =
        turn.logAnsweredAt && turn.now < *turn.logAnsweredAt + turn.context.timing.lease;
    const bool eligible = isMember && !turn.state.draining && reachable;
    auto record = dueLeaseRecord(turn.state.lease, turn.context.group, turn.now,
                                 turn.context.timing, eligible);
    if (record)
        turn.actions.push_back(AppendAction{std::move(*record)});
}

} // namespace

void wantMap(CoordinatorState &state, const v1::ExpertMap &map)
{
    // A repeat must not begin the count anew, by which each attempt leaves more room for its step.
    if (state.wanted && state.wanted->digest() == map.digest())
        return;
    state.wanted = map;
    state.attempts = 0;
    state.result = SwitchResult::None;
}

void onRankReport(CoordinatorState &state, const v1::RankReport &report)
{
    if (!state.attempt || state.attempt->key != keyOf(report.id()) || report.rank() >= state.ranks)
        return;
    // Refusals that pass by themselves while weights are staged are not kept.
    const bool passing = state.attempt->phase == AttemptPhase::Staging
        && report.refusal() != v1::RANK_REFUSAL_STAGING_FAILED;
    RankProgress &progress = state.attempt->progress[report.rank()];
    progress.incarnation = report.incarnation();
    progress.step = std::max<std::uint64_t>(progress.step, report.step());
    progress.staged = report.staged();
    progress.armed = report.armed();
    progress.refusal = passing ? v1::RANK_REFUSAL_UNSPECIFIED : report.refusal();
}

void advanceCoordinator(CoordinatorState &state, const MapSwitchContext &context, TimePoint now,
                        std::optional<TimePoint> logAnsweredAt, bool isMember,
                        MapSwitchActions &actions)
{
    Turn turn{state, context, now, logAnsweredAt, actions};
    observeLease(state.lease, context.group, now, context.timing);
    appendLeaseRecordWhenDue(turn, isMember);
    if (state.attempt)
        settleAttempt(turn);
    forgetMapInForce(turn);
    if (!mayAct(turn)) {
        // Keep an attempt that may be committed, so that its outcome is still noticed.
        if (state.attempt && state.attempt->phase != AttemptPhase::Deciding)
            state.attempt.reset();
        return;
    }
    if (state.attempt && state.draining && state.attempt->phase != AttemptPhase::Deciding)
        cancelAttempt(turn);
    const bool mayBegin = state.wanted && !state.attempt && !state.draining
        && now >= state.notBefore && context.group.members.size() == state.ranks;
    if (mayBegin)
        beginAttempt(turn);
    if (state.attempt)
        advanceAttempt(turn);
}

} // namespace wisteria
