#include "Version/MapSwitchRank.h"

#include <algorithm>

namespace wisteria {

namespace {

bool logAnswers(const RankState &state, const MapSwitchContext &context, TimePoint now)
{
    return state.logAnsweredAt && now - *state.logAnsweredAt <= context.timing.logFresh;
}

/// Failure: a release or an apply of the last attempt lands a second time, after the engine was
/// told to hold for the next one, and the engine runs a step that it was to hold, or takes weights
/// that are not decided yet. Each order carries a higher fencing number than the one before, so
/// engines that check refuse the stray. For engines that ignore it, staging and arming wait until
/// earlier orders can't land any more; the group runs on meanwhile.
bool ordersHaveSettled(const RankState &state, const MapSwitchContext &context, TimePoint now)
{
    if (state.engineChecksFencing || !context.guards.serialOrders || !state.effectSentAt)
        return true;
    return now >= *state.effectSentAt + context.timing.orderQuarantine;
}

/// Failure: two switches follow each other at neighbouring steps, and a rank that is replaced then
/// repeats a step from before both; the stream's state keeps only the last two maps, so it would
/// run that step on a map that the others never used. A rank that has begun a step on the present
/// map proves that every rank has begun all steps before it, and nobody repeats those.
bool usesPresentMap(const RankState &state, const GroupState &group)
{
    return state.engine && state.engine->step >= group.currentFromStep;
}

/// Whether the rank could arm for this map at once.
bool hasStaged(const RankState &state, const MapSwitchContext &context, TimePoint now,
               const std::string &digest)
{
    return usesPresentMap(state, context.group) && state.engine->stagedDigest == digest
        && ordersHaveSettled(state, context, now);
}

SendAction makeReport(const RankState &state, const RankCandidate &candidate, bool staged)
{
    SendAction action;
    action.rank = candidate.coordinator;
    v1::RankReport &report = *action.message.mutable_report();
    *report.mutable_id() = idOf(candidate.key);
    report.set_rank(state.self.rank);
    report.set_incarnation(state.self.incarnation);
    report.set_step(state.engine ? state.engine->step : 0);
    report.set_staged(staged);
    report.set_armed(candidate.armed);
    report.set_refusal(candidate.refusal);
    return action;
}

void refuse(const RankState &state, std::uint32_t toRank, const v1::SwitchId &id,
            v1::RankRefusal refusal, MapSwitchActions &actions)
{
    RankCandidate refused;
    refused.key = keyOf(id);
    refused.coordinator = toRank;
    refused.refusal = refusal;
    actions.push_back(makeReport(state, refused, false));
}

/// Failure: a coordinator that was paused past its lease wakes and sends orders, or an order was
/// under way for long. The engine would load or hold for an attempt that nobody follows up. A
/// higher token in the stream or on an order proves that another coordinator came after.
v1::RankRefusal refusalOf(const RankState &state, const MapSwitchContext &context,
                          const SwitchKey &key)
{
    if (context.guards.refuseOldToken && key.token < state.highestToken)
        return v1::RANK_REFUSAL_OLD_TOKEN;
    const SwitchOutcome outcome = outcomeOf(context.group, key, std::numeric_limits<Offset>::max());
    const bool decided = context.guards.refuseOldToken && outcome != SwitchOutcome::Undecided;
    if (decided || key <= state.cancelled)
        return v1::RANK_REFUSAL_DECIDED;
    if (!isMember(state, context.group))
        return v1::RANK_REFUSAL_NOT_JOINED;
    if (state.draining)
        return v1::RANK_REFUSAL_DRAINING;
    return v1::RANK_REFUSAL_UNSPECIFIED;
}

/// Whether the present attempt binds this rank, so that another one can't take its place.
bool isBound(const RankState &state)
{
    return state.candidate && state.candidate->armOrdered;
}

void onStage(RankState &state, const MapSwitchContext &context, TimePoint now,
             std::uint32_t fromRank, const v1::StageOrder &order, MapSwitchActions &actions)
{
    const SwitchKey key = keyOf(order.id());
    const bool ordered = context.guards.refuseOldToken;
    const bool newer = !state.candidate || !ordered || state.candidate->key < key;
    if (newer && !isBound(state)) {
        state.candidate.emplace();
        state.candidate->key = key;
        state.candidate->map = order.map();
        state.candidate->coordinator = fromRank;
    }
    if (state.candidate->key != key)
        return;
    const bool staged = hasStaged(state, context, now, order.map().digest());
    actions.push_back(makeReport(state, *state.candidate, staged));
}

v1::RankRefusal armRefusal(const RankState &state, const MapSwitchContext &context, TimePoint now,
                           const v1::ArmOrder &order)
{
    // Failure: the log goes down, ranks arm, and no outcome can be appended or read: the group
    // stalls for as long as the outage. A rank that has not heard the log lately does not arm.
    if (context.guards.armOnlyWithLog && !logAnswers(state, context, now))
        return v1::RANK_REFUSAL_LOG_SILENT;
    if (order.members_version() < state.joinOffset)
        return v1::RANK_REFUSAL_NOT_JOINED;
    // Failure: a rank arms before its weights are there; the group would hold while they load.
    if (!hasStaged(state, context, now, order.digest()))
        return v1::RANK_REFUSAL_NOT_STAGED;
    return v1::RANK_REFUSAL_UNSPECIFIED;
}

void onArm(RankState &state, const MapSwitchContext &context, TimePoint now, std::uint32_t fromRank,
           const v1::ArmOrder &order, MapSwitchActions &actions)
{
    const bool known = state.candidate && state.candidate->key == keyOf(order.id());
    if (!known) {
        refuse(state, fromRank, order.id(), v1::RANK_REFUSAL_NOT_STAGED, actions);
        return;
    }
    RankCandidate &candidate = *state.candidate;
    if (!candidate.armWanted) {
        candidate.refusal = armRefusal(state, context, now, order);
        candidate.armWanted = candidate.refusal == v1::RANK_REFUSAL_UNSPECIFIED;
        candidate.step = order.step();
        if (candidate.armWanted)
            candidate.membersVersion = order.members_version();
    }
    if (candidate.armed || candidate.refusal != v1::RANK_REFUSAL_UNSPECIFIED)
        actions.push_back(makeReport(state, candidate, true));
}

/// A cancel is final without the log: only the sender could commit this attempt, and it has
/// promised that it never will.
void onCancel(RankState &state, const v1::CancelOrder &order)
{
    const SwitchKey key = keyOf(order.id());
    state.cancelled = std::max(state.cancelled, key);
    if (state.candidate && state.candidate->key <= state.cancelled)
        state.candidate.reset();
}

void advanceJoin(RankState &state, const MapSwitchContext &context, TimePoint now,
                 MapSwitchActions &actions)
{
    const auto member = context.group.members.find(state.self.rank);
    const bool joined =
        member != context.group.members.end() && member->second == state.self.incarnation;
    if (joined && state.joinOffset == 0)
        state.joinOffset = context.group.membersVersion;
    if (joined || !state.logAnsweredAt)
        return;
    if (state.joinSentAt && now < *state.joinSentAt + context.timing.resend)
        return;
    state.joinSentAt = now;
    AppendAction action;
    action.record.mutable_join()->set_rank(state.self.rank);
    action.record.mutable_join()->set_incarnation(state.self.incarnation);
    actions.push_back(action);
}

void appendAbortWhenDue(RankCandidate &candidate, const MapSwitchContext &context, TimePoint now,
                        MapSwitchActions &actions)
{
    if (!candidate.armOrdered || now < candidate.armOrderedAt + context.timing.armTimeout)
        return;
    if (candidate.abortSentAt && now < *candidate.abortSentAt + context.timing.resend)
        return;
    candidate.abortSentAt = now;
    AppendAction action;
    *action.record.mutable_abort()->mutable_id() = idOf(candidate.key);
    actions.push_back(action);
}

/// Failure: an armed rank gives up waiting and runs on with the old map, while the commit stands in
/// the log and others follow it. Only the stream, or the coordinator's cancel, ends the promise; a
/// rank that has waited too long appends an abort, and the first record decides.
void advanceCandidate(RankState &state, const MapSwitchContext &context, TimePoint now,
                      MapSwitchActions &actions)
{
    if (!state.candidate)
        return;
    RankCandidate &candidate = *state.candidate;
    const SwitchOutcome outcome = outcomeOf(context.group, candidate.key, candidate.membersVersion);
    const bool timedOut =
        candidate.armOrdered && now >= candidate.armOrderedAt + context.timing.armTimeout;
    // A newer coordinator's order may arrive before its claim is read.
    const bool outdated = context.guards.refuseOldToken && !candidate.armOrdered
        && candidate.key.token < state.highestToken;
    const bool ended = outcome != SwitchOutcome::Undecided || outdated;
    if (ended || (timedOut && !context.guards.holdUntilOutcome)) {
        state.candidate.reset();
        return;
    }
    appendAbortWhenDue(candidate, context, now, actions);
}

/// Failure: an order whose answer was lost takes effect after a later one, such as a release after
/// the next arm, and the engine runs a step that it was to hold. One order at a time is under way.
/// After a lost answer, an engine that checks fencing numbers refuses the stray once it has seen
/// the next order; with one that ignores them the agent waits until the stray can't land any more.
bool engineIsBusy(RankState &state, const MapSwitchContext &context, TimePoint now)
{
    if (!state.order)
        return false;
    const bool harmless =
        state.order->order.kind == EngineOrderKind::Query || !context.guards.serialOrders;
    const milliseconds wait = harmless ? context.timing.resend : context.timing.orderQuarantine;
    if (now < state.order->sentAt + wait)
        return true;
    state.order.reset();
    state.engine.reset();
    return false;
}

EngineOrder stageOrder(const v1::ExpertMap &map)
{
    EngineOrder order;
    order.kind = EngineOrderKind::Stage;
    order.map = map;
    return order;
}

EngineOrder simpleOrder(EngineOrderKind kind, std::uint64_t step = 0)
{
    EngineOrder order;
    order.kind = kind;
    order.step = step;
    return order;
}

/// Loads a candidate's weights unless the engine has them or is at it. Once a load that was ordered
/// for this attempt has failed, the coordinator decides.
std::optional<EngineOrder> stageIfMissing(RankCandidate &candidate, const EngineStatus &engine)
{
    const std::string &digest = candidate.map.digest();
    if (engine.stagedDigest == digest || engine.stagingDigest == digest)
        return std::nullopt;
    if (candidate.stageOrdered && engine.failedDigest == digest)
        return std::nullopt;
    candidate.stageOrdered = true;
    return stageOrder(candidate.map);
}

bool hasFrom(const EngineStatus &engine, Offset version, std::uint64_t step)
{
    if (engine.activeVersion == version && engine.nextVersion == 0)
        return true;
    return engine.nextVersion == version && engine.nextFromStep <= step;
}

/// Loads and applies a map that the stream has put in force from `step` on.
std::optional<EngineOrder> adopt(const EngineStatus &engine, const MapInForce &map,
                                 std::uint64_t step, bool release)
{
    if (engine.stagedDigest != map.map.digest()) {
        // A failed load is tried again here: the group can't go on without it.
        if (engine.stagingDigest == map.map.digest())
            return std::nullopt;
        return stageOrder(map.map);
    }
    EngineOrder order = simpleOrder(EngineOrderKind::Apply, step);
    order.version = map.version;
    order.map.set_digest(map.map.digest());
    order.release = release;
    return order;
}

/// Whether the engine has all maps that the stream has put in force; else the order that is next.
bool followsStream(const EngineStatus &engine, const GroupState &group,
                   std::optional<EngineOrder> &order)
{
    const std::uint64_t next = engine.step + 1;
    const MapInForce &due = mapForStep(group, next);
    const bool dueIsCurrent = &due == &group.current;
    const bool activeIsDue = engine.activeVersion == due.version
        || (engine.nextVersion == due.version && engine.nextFromStep <= next);
    if (!activeIsDue) {
        order = adopt(engine, due, next, dueIsCurrent);
        return false;
    }
    if (dueIsCurrent || hasFrom(engine, group.current.version, group.currentFromStep))
        return true;
    order = adopt(engine, group.current, group.currentFromStep, true);
    return false;
}

std::optional<EngineOrder> armIfDue(RankCandidate &candidate, const EngineStatus &engine,
                                    TimePoint now)
{
    if (!candidate.armWanted || candidate.armOrdered
        || candidate.refusal != v1::RANK_REFUSAL_UNSPECIFIED)
        return std::nullopt;
    if (engine.nextVersion != 0 && engine.step < engine.nextFromStep)
        return std::nullopt;
    candidate.armOrdered = true;
    candidate.armOrderedAt = now;
    return simpleOrder(EngineOrderKind::Arm, candidate.step);
}

std::optional<EngineOrder> orderForCandidate(RankState &state, TimePoint now)
{
    RankCandidate &candidate = *state.candidate;
    if (candidate.armWanted)
        return armIfDue(candidate, *state.engine, now);
    // A map that waits for its first step still occupies the engine's staging memory.
    if (state.engine->nextVersion != 0)
        return std::nullopt;
    return stageIfMissing(candidate, *state.engine);
}

/// Failure: a rank's VM or agent is replaced after the old one promised to hold, and the new one
/// runs on with the map it found. Its join in the stream aborts whatever was undecided; it lifts
/// the hold only after it has read the join back and so knows every commit before it.
std::optional<EngineOrder> orderFor(RankState &state, const MapSwitchContext &context,
                                    TimePoint now)
{
    if (isSuperseded(state, context.group))
        return std::nullopt;
    if (context.guards.joinBeforeRelease && !isMember(state, context.group))
        return std::nullopt;
    std::optional<EngineOrder> order;
    if (!followsStream(*state.engine, context.group, order)) {
        const bool stages = order && order->kind == EngineOrderKind::Stage;
        return stages && !ordersHaveSettled(state, context, now) ? std::nullopt : order;
    }
    if (state.engine->holdAt != notHeld && !isBound(state))
        return simpleOrder(EngineOrderKind::Release);
    if (state.candidate && ordersHaveSettled(state, context, now))
        return orderForCandidate(state, now);
    return std::nullopt;
}

/// Failure: the agent was killed with an order under way to an engine that ignores fencing numbers.
/// The order could land after this incarnation's own. For engines that check, the join's offset
/// in the fencing number keeps it out; for the others the first order waits until it has surely
/// lapsed.
bool formerOrdersMayLand(const RankState &state, const MapSwitchContext &context, TimePoint now)
{
    return context.guards.serialOrders && !state.engineChecksFencing
        && now < state.startedAt + context.timing.orderQuarantine;
}

/// Low bits of a fencing number that count one agent's orders. The bits above are the offset that
/// the agent has read: a later incarnation has read its own join, which stands above all that an
/// earlier one acted on, so its numbers are higher.
constexpr unsigned fenceSequenceBits = 20;

void sendOrder(RankState &state, const MapSwitchContext &context, TimePoint now, EngineOrder order,
               MapSwitchActions &actions)
{
    order.sequence = ++state.lastSequence;
    order.fence = (context.group.position << fenceSequenceBits) + order.sequence;
    if (order.kind != EngineOrderKind::Query)
        state.effectSentAt = now;
    state.order = OrderInFlight{order, now};
    actions.push_back(EngineAction{std::move(order)});
}

void advanceEngine(RankState &state, const MapSwitchContext &context, TimePoint now,
                   MapSwitchActions &actions)
{
    if (engineIsBusy(state, context, now))
        return;
    std::optional<EngineOrder> order;
    if (state.engine && !formerOrdersMayLand(state, context, now))
        order = orderFor(state, context, now);
    const bool stale = !state.engine || now >= state.engineAskedAt + context.timing.resend;
    if (!order && stale)
        order = simpleOrder(EngineOrderKind::Query);
    if (!order)
        return;
    state.engineAskedAt = now;
    sendOrder(state, context, now, std::move(*order), actions);
}

/// Failure: a VM begins a step on the old map and is replaced before the others begin it; the new
/// engine would run the same step on the new map. Until it has begun a step of its own, the step
/// after the one it starts from counts as begun.
std::uint64_t lastStepBegun(const RankState &state)
{
    const bool fresh = state.engine->step == state.engineFirstStep;
    return state.engine->step + (fresh ? 1 : 0);
}

void noteArmAnswer(RankState &state, const MapSwitchContext &context)
{
    RankCandidate &candidate = *state.candidate;
    // Failure: the order to arm reaches the engine after it has begun the step; a commit would
    // then put the rank on a new map in the midst of it. The engine's own count tells.
    const bool passed = lastStepBegun(state) >= candidate.step;
    if (passed && context.guards.refusePassedStep) {
        candidate.armOrdered = false;
        candidate.refusal = v1::RANK_REFUSAL_STEP_PASSED;
        return;
    }
    candidate.armed = passed || state.engine->holdAt == candidate.step;
    candidate.armOrdered = candidate.armed;
}

void noteHold(RankState &state, TimePoint now)
{
    const bool held = state.engine->holdAt != notHeld;
    if (!held)
        state.heldSince.reset();
    else if (!state.heldSince)
        state.heldSince = now;
}

/// Failure: the engine restarts under a live agent and has lost its hold and its maps. It is a new
/// incarnation of the rank, joins anew and so aborts what is undecided.
void noteRestart(RankState &state, TimePoint now)
{
    ++state.self.incarnation;
    state.joinOffset = 0;
    state.joinSentAt.reset();
    state.candidate.reset();
    state.startedAt = now;
}

void reportProgress(RankState &state, const MapSwitchContext &context, TimePoint now,
                    MapSwitchActions &actions)
{
    if (!state.candidate || !state.engine)
        return;
    RankCandidate &candidate = *state.candidate;
    const bool staged = hasStaged(state, context, now, candidate.map.digest());
    const bool failed = state.engine->failedDigest == candidate.map.digest();
    if (failed && candidate.stageOrdered && !candidate.armWanted)
        candidate.refusal = v1::RANK_REFUSAL_STAGING_FAILED;
    const bool ended = candidate.armed || candidate.refusal != v1::RANK_REFUSAL_UNSPECIFIED;
    const bool news = (staged && !candidate.stagedReported) || (ended && !candidate.armedReported);
    if (!news)
        return;
    candidate.stagedReported = true;
    candidate.armedReported = ended;
    actions.push_back(makeReport(state, candidate, staged));
}

} // namespace

bool isSuperseded(const RankState &state, const GroupState &group)
{
    const auto member = group.members.find(state.self.rank);
    return member != group.members.end() && member->second > state.self.incarnation;
}

bool isMember(const RankState &state, const GroupState &group)
{
    return state.joinOffset != 0 && !isSuperseded(state, group);
}

void onGroupOrder(RankState &state, const MapSwitchContext &context, TimePoint now,
                  std::uint32_t fromRank, const v1::GroupMessage &message,
                  MapSwitchActions &actions)
{
    const v1::SwitchId &id = message.has_stage() ? message.stage().id()
        : message.has_arm()                      ? message.arm().id()
                                                 : message.cancel().id();
    const v1::RankRefusal refusal = refusalOf(state, context, keyOf(id));
    if (refusal != v1::RANK_REFUSAL_UNSPECIFIED) {
        refuse(state, fromRank, id, refusal, actions);
        return;
    }
    state.highestToken = std::max<std::uint64_t>(state.highestToken, id.token());
    if (message.has_stage())
        onStage(state, context, now, fromRank, message.stage(), actions);
    else if (message.has_arm())
        onArm(state, context, now, fromRank, message.arm(), actions);
    else
        onCancel(state, message.cancel());
}

void onEngineStatus(RankState &state, const MapSwitchContext &context, TimePoint now,
                    std::uint64_t sequence, const EngineStatus &status)
{
    if (!state.order || state.order->order.sequence != sequence)
        return;
    state.order.reset();
    const bool restarted =
        state.engineIncarnation && *state.engineIncarnation != status.incarnation;
    if (restarted || !state.engineIncarnation)
        state.engineFirstStep = status.step;
    state.engine = status;
    state.engineIncarnation = status.incarnation;
    noteHold(state, now);
    if (restarted)
        noteRestart(state, now);
    else if (isBound(state) && !state.candidate->armed)
        noteArmAnswer(state, context);
}

void advanceRank(RankState &state, const MapSwitchContext &context, TimePoint now,
                 MapSwitchActions &actions)
{
    state.highestToken = std::max<std::uint64_t>(state.highestToken, context.group.token);
    if (!isSuperseded(state, context.group))
        advanceJoin(state, context, now, actions);
    advanceCandidate(state, context, now, actions);
    reportProgress(state, context, now, actions);
    advanceEngine(state, context, now, actions);
}

bool isStalled(const RankState &state, const MapSwitchContext &context, TimePoint now)
{
    if (!isMember(state, context.group))
        return true;
    return state.heldSince && now - *state.heldSince > context.timing.stallVisibleAfter;
}

} // namespace wisteria
