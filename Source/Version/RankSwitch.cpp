#include "Version/RankSwitch.h"

#include <algorithm>
#include <utility>

#include "Version/GroupDemand.h"
#include "Version/GroupViews.h"

namespace wisteria {

namespace {

void enter(GroupSwitch &group, SwitchPhase phase, TimePoint now)
{
    if (phase == SwitchPhase::Preparing)
        group.phaseTimes = {};
    group.phaseTimes.at(static_cast<std::size_t>(group.phase)) += remaining(group.phaseSince, now);
    group.phase = phase;
    group.phaseSince = now;
    group.asked.clear();
}

/// A version above all that are known of and that no other leader uses: each leader has the numbers
/// that are its rank's in every thousand. Two leaders that don't know of each other once took the
/// same number for different maps, and ranks began a pass on both.
std::uint64_t newVersion(GroupSwitch &group, const LeaderSeat &seat)
{
    std::uint64_t version = seat.versionTick * ranksPerVersionTick + seat.rank;
    if (version <= group.highestVersion) {
        const std::uint64_t next = group.highestVersion / ranksPerVersionTick + 1;
        version = next * ranksPerVersionTick + seat.rank;
    }
    group.highestVersion = version;
    return version;
}

/// Whether a map may be sent to the rank as changes from the one in force.
bool asChanges(const GroupSwitch &group, const RankView &view)
{
    return !group.base.empty() && view.status.mapKnown
        && view.status.report.map == group.baseVersion;
}

/// Pause before a rank is asked for the same order once more. For maps it doubles with each time: a
/// link that is full of resends delays the answers to all of them, and more resends follow, until a
/// large group stands still for good. The map in force under another version, which a held group is
/// brought to, is a message without changes.
milliseconds pauseBefore(const GroupSwitch &group, const SwitchTiming &timing, const RankView &view,
                         const RankOrder &order, std::uint32_t timesAsked)
{
    constexpr std::uint32_t doublingsAtMost = 3;
    const bool prepares = order.kind == RankOrderKind::Prepare;
    const bool small = group.phase == SwitchPhase::Unwinding && asChanges(group, view);
    if (!prepares || small)
        return timing.resend;
    if (view.status.accepted == order.version)
        return timing.resendAcceptedMap;
    return timing.resendMap * (1 << std::min(timesAsked - 1, doublingsAtMost));
}

/// Whether the sidecar beside the rank is silent while most others are heard.
bool isSilentAlone(const GroupSwitch &group, const SwitchTiming &timing, const RankView &view,
                   TimePoint now)
{
    return now - view.at > timing.orderDirectlyAfter
        && silentRanks(group, timing.orderDirectlyAfter, now) <= timing.orderDirectlyAtMost;
}

/// Asks a rank for an order unless that was done a moment ago.
void ask(GroupSwitch &group, SwitchStep &step, const SwitchTiming &timing, std::uint32_t rank,
         RankOrder order, TimePoint now)
{
    const RankView &view = group.ranks.at(rank);
    AskedOrder &asked = group.asked[rank];
    const bool sameOrder =
        asked.kind == order.kind && asked.version == order.version && asked.step == order.step;
    if (!sameOrder)
        asked = {.kind = order.kind, .version = order.version, .step = order.step};
    if (asked.times > 0 && now - asked.at < pauseBefore(group, timing, view, order, asked.times))
        return;
    asked.at = now;
    ++asked.times;
    order.epoch = group.epoch;
    const bool held = group.phase == SwitchPhase::Arming || group.phase == SwitchPhase::Unwinding
        || group.phase == SwitchPhase::Releasing;
    const bool direct = held && isSilentAlone(group, timing, view, now);
    const bool changes = order.kind == RankOrderKind::Prepare && asChanges(group, view);
    step.actions.push_back({rank, view.status.engine, std::move(order), direct, changes});
}

/// Takes over a group that somebody else left held, or holds now.
void takeOver(GroupSwitch &group, SwitchStep &step, TimePoint now)
{
    group.heldSince = now;
    group.version = 0;
    step.note = SwitchNote::TookOver;
    enter(group, SwitchPhase::Unwinding, now);
}

/// Lets the map in force be the one that changes go on from. Sidecars work out version 0 by
/// themselves, so it has to be what they think it is.
void setBase(GroupSwitch &group, const ExpertProfile &profile, const RankMap &present)
{
    group.baseVersion = group.ranks.begin()->second.status.report.map;
    const bool known =
        group.baseVersion != 0 || present == firstRankMap(profile, group.ranks.size());
    group.base = known ? present : RankMap{};
}

void advanceIdle(GroupSwitch &group, const ExpertProfile &profile, const PlacementBounds &bounds,
                 const SwitchTiming &timing, const LeaderSeat &seat, SwitchStep &step,
                 TimePoint now)
{
    if (!allKnown(group, timing, now))
        return;
    if (heldBy(group)) {
        takeOver(group, step, now);
        return;
    }
    const bool armed = std::any_of(group.ranks.begin(), group.ranks.end(), [](const auto &entry) {
        return entry.second.status.report.armed != 0;
    });
    if (armed || now - group.lastSwitchAt < timing.betweenSwitches)
        return;
    if (!group.demandIsNew)
        return;
    group.demandIsNew = false;
    const RankMap present = presentMap(group, profile);
    if (present.empty())
        return;
    const double skew = demandSkew(group.demand, present, pacesOf(group));
    const bool seenBefore = skew < group.fruitlessSkew + timing.worthAnotherLook
        && now - group.fruitlessAt < timing.lookAgain;
    if (seenBefore)
        return;
    auto proposal = proposeMap(profile, group.demand, present, pacesOf(group), bounds);
    if (!proposal) {
        group.fruitlessSkew = skew;
        group.fruitlessAt = now;
        return;
    }
    group.fruitlessSkew = 0;
    group.proposal = std::move(*proposal);
    setBase(group, profile, present);
    group.map = group.proposal.map;
    group.version = newVersion(group, seat);
    step.note = SwitchNote::Preparing;
    enter(group, SwitchPhase::Preparing, now);
}

void advancePreparing(GroupSwitch &group, const SwitchTiming &timing, const LeaderSeat &seat,
                      SwitchStep &step, TimePoint now)
{
    // A rank that has had a higher version never takes this one: an order that was believed lost
    // was carried out late, or another leader's clock is ahead.
    if (group.highestVersion > group.version) {
        step.note = SwitchNote::Overtaken;
        enter(group, SwitchPhase::Idle, now);
        return;
    }
    bool all = true;
    for (const auto &[rank, view] : group.ranks) {
        if (hasVersion(view.status.report, group.version))
            continue;
        all = false;
        ask(group, step, timing, rank, {.kind = RankOrderKind::Prepare, .version = group.version},
            now);
    }
    if (all) {
        group.holder = seat.rank;
        group.step = furthestStep(group) + timing.passesAhead;
        enter(group, SwitchPhase::Holding, now);
        return;
    }
    if (now - group.phaseSince > timing.prepareTimeout) {
        step.note = SwitchNote::GaveUpPreparing;
        group.lastSwitchAt = now;
        enter(group, SwitchPhase::Idle, now);
    }
}

void advanceHolding(GroupSwitch &group, const SwitchTiming &timing, SwitchStep &step, TimePoint now)
{
    const RankReport &report = group.ranks.at(group.holder).status.report;
    if (report.heldStep) {
        group.step = *report.heldStep;
        group.heldSince = now;
        enter(group, SwitchPhase::Arming, now);
        return;
    }
    // A pass that has begun can't be held any more; nothing is armed yet, so another is tried.
    if (furthestStep(group) + 1 >= group.step && !group.asked.empty()) {
        group.step = furthestStep(group) + timing.passesAhead + 1;
        group.asked.clear();
    }
    ask(group, step, timing, group.holder, {.kind = RankOrderKind::Hold, .step = group.step}, now);
}

void advanceArming(GroupSwitch &group, const SwitchTiming &timing, SwitchStep &step, TimePoint now)
{
    bool all = true;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        if (isArmed(report, group.version, group.step) || report.map == group.version)
            continue;
        all = false;
        ask(group, step, timing, rank,
            {.kind = RankOrderKind::Arm, .version = group.version, .step = group.step}, now);
    }
    if (all) {
        enter(group, SwitchPhase::Releasing, now);
        return;
    }
    // The pass began without anybody armed: the group was not held any more when it was taken over.
    const bool begun = furthestStep(group) >= group.step
        && std::none_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
                           return entry.second.status.report.map == group.version;
                       });
    if (begun) {
        step.note = SwitchNote::PassBegun;
        enter(group, SwitchPhase::Idle, now);
        return;
    }
    if (anyLacksForGood(group, group.version)) {
        step.note = SwitchNote::VersionLost;
        group.version = 0;
        enter(group, SwitchPhase::Unwinding, now);
    }
}

/// Chooses the version under which the held group goes on: the map in force, so nothing is copied.
/// @return False while the map in force is not known of all ranks.
bool chooseUnwound(GroupSwitch &group, const ExpertProfile &profile, const LeaderSeat &seat,
                   TimePoint now)
{
    if (group.version != 0 && !anyLacksForGood(group, group.version))
        return true;
    RankMap present = presentMap(group, profile);
    if (present.empty())
        return false;
    setBase(group, profile, present);
    group.map = std::move(present);
    group.version = newVersion(group, seat);
    // Another leader that does the same gets the time to be done with it.
    group.phaseSince = now;
    return true;
}

/// Brings every rank of a held group to one version again. An armed rank is only disarmed once
/// another one lacks its version for good: as long as all may still be armed for it, another leader
/// may have seen them so and let the group go. A rank that is not armed takes the new version, and
/// from then on lacks the older ones for good.
void advanceUnwinding(GroupSwitch &group, const ExpertProfile &profile, const SwitchTiming &timing,
                      const LeaderSeat &seat, SwitchStep &step, TimePoint now)
{
    if (const auto alike = armedAlike(group)) {
        group.version = alike->version;
        group.step = alike->step;
        enter(group, SwitchPhase::Releasing, now);
        return;
    }
    const auto held = earliestHold(group);
    if (!held) {
        enter(group, SwitchPhase::Idle, now);
        return;
    }
    const bool settled = group.version != 0 || now - group.phaseSince >= timing.settle;
    if (!settled || !chooseUnwound(group, profile, seat, now))
        return;
    bool all = true;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        if (hasVersion(report, group.version))
            continue;
        all = false;
        if (report.armed == 0) {
            ask(group, step, timing, rank,
                {.kind = RankOrderKind::Prepare, .version = group.version}, now);
        } else if (anyLacksForGood(group, report.armed)) {
            ask(group, step, timing, rank, {.kind = RankOrderKind::Disarm, .version = report.armed},
                now);
        }
    }
    if (!all)
        return;
    group.step = *held;
    enter(group, SwitchPhase::Arming, now);
}

/// All ranks are armed for one version and pass, so every hold up to that pass may go.
void advanceReleasing(GroupSwitch &group, const SwitchTiming &timing, SwitchStep &step,
                      TimePoint now)
{
    bool held = false;
    for (const auto &[rank, view] : group.ranks) {
        const auto &heldStep = view.status.report.heldStep;
        // A later pass may be held by then: an order to hold that was believed lost can be carried
        // out after the switch. The group then finds itself held by nobody.
        if (!heldStep || *heldStep > group.step)
            continue;
        held = true;
        ask(group, step, timing, rank, {.kind = RankOrderKind::Go, .step = *heldStep}, now);
    }
    const bool done = std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
        return entry.second.status.report.map == group.version;
    });
    if (held || !done)
        return;
    step.note = SwitchNote::InForce;
    group.lastSwitchAt = now;
    enter(group, SwitchPhase::Idle, now);
}

/// Adds the experts that a status leaves out because the leader knows the map.
void completeExperts(const GroupSwitch &group, RankStatus &status)
{
    const RankReport &report = status.report;
    if (!status.experts.empty())
        return;
    const auto known = group.ranks.find(report.rank);
    if (known != group.ranks.end() && known->second.status.report.map == report.map) {
        status.experts = known->second.status.experts;
        return;
    }
    if (group.version == 0 || report.map != group.version)
        return;
    for (const auto &set : group.map) {
        if (report.rank < set.size())
            status.experts.push_back(set[report.rank]);
    }
}

} // namespace

void takeStatus(GroupSwitch &group, RankStatus status, TimePoint now)
{
    const RankReport &report = status.report;
    if (report.epoch < group.epoch)
        return;
    if (report.epoch > group.epoch) {
        const std::uint64_t highest = group.highestVersion;
        group = GroupSwitch{.group = report.group, .epoch = report.epoch};
        group.highestVersion = highest;
        group.phaseSince = now;
    }
    const auto known = group.ranks.find(report.rank);
    constexpr milliseconds forgottenAfter{1000};
    if (known != group.ranks.end()
        && known->second.status.readAtMilliseconds > status.readAtMilliseconds
        && now - known->second.at < forgottenAfter)
        return;
    group.highestVersion =
        std::max({group.highestVersion, report.map, report.prepared, report.armed});
    completeExperts(group, status);
    const std::uint32_t rank = report.rank;
    group.ranks[rank] = {std::move(status), now};
}

void noteOrderDone(GroupSwitch &group, std::uint32_t rank, const RankOrder &order, TimePoint now)
{
    const auto found = group.ranks.find(rank);
    if (found == group.ranks.end() || order.epoch != group.epoch)
        return;
    RankReport &report = found->second.status.report;
    found->second.at = now;
    switch (order.kind) {
    case RankOrderKind::Prepare:
        // The copies are not complete yet; only the rank's report says so.
        return;
    case RankOrderKind::Arm:
        report.armed = order.version;
        report.armedStep = order.step;
        return;
    case RankOrderKind::Disarm:
        report.armed = 0;
        return;
    case RankOrderKind::Hold:
        report.heldStep = order.step;
        return;
    case RankOrderKind::Go:
        report.heldStep.reset();
        return;
    }
}

SwitchStep advanceSwitch(GroupSwitch &group, const ExpertProfile &profile,
                         const PlacementBounds &bounds, const SwitchTiming &timing,
                         const LeaderSeat &seat, TimePoint now)
{
    SwitchStep step;
    closeOverdueWindow(group, profile, timing, now);
    // Somebody else's hold must not last: whoever set it may be gone.
    const auto held = heldBy(group);
    const bool foreign = held
        && (group.phase == SwitchPhase::Preparing
            || (group.phase == SwitchPhase::Holding && held->rank != group.holder));
    if (foreign && allKnown(group, timing, now))
        takeOver(group, step, now);
    switch (group.phase) {
    case SwitchPhase::Idle:
        advanceIdle(group, profile, bounds, timing, seat, step, now);
        break;
    case SwitchPhase::Preparing:
        advancePreparing(group, timing, seat, step, now);
        break;
    case SwitchPhase::Holding:
        advanceHolding(group, timing, step, now);
        break;
    case SwitchPhase::Arming:
        advanceArming(group, timing, step, now);
        break;
    case SwitchPhase::Unwinding:
        advanceUnwinding(group, profile, timing, seat, step, now);
        break;
    case SwitchPhase::Releasing:
        advanceReleasing(group, timing, step, now);
        break;
    }
    return step;
}

const char *noteText(SwitchNote note)
{
    switch (note) {
    case SwitchNote::Nothing:
        return "";
    case SwitchNote::Preparing:
        return "preparing";
    case SwitchNote::GaveUpPreparing:
        return "gave up preparing";
    case SwitchNote::TookOver:
        return "took over a held group";
    case SwitchNote::Overtaken:
        return "overtaken by a higher version";
    case SwitchNote::PassBegun:
        return "the pass has begun";
    case SwitchNote::VersionLost:
        return "a rank lost the version";
    case SwitchNote::InForce:
        return "in force";
    }
    return "";
}

const char *phaseName(SwitchPhase phase)
{
    switch (phase) {
    case SwitchPhase::Idle:
        return "idle";
    case SwitchPhase::Preparing:
        return "preparing";
    case SwitchPhase::Holding:
        return "holding";
    case SwitchPhase::Arming:
        return "arming";
    case SwitchPhase::Unwinding:
        return "unwinding";
    case SwitchPhase::Releasing:
        return "releasing";
    }
    return "idle";
}

} // namespace wisteria
