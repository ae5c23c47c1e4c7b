#include "Version/RankSwitch.h"

#include <algorithm>
#include <utility>

#include "Version/GroupDemand.h"
#include "Version/GroupViews.h"
#include "Version/HeldGroup.h"
#include "Version/SwitchOrders.h"

namespace wisteria {

namespace {

/// Notes the pass that the group is to be held at.
void aimAt(GroupSwitch &group, std::uint64_t step)
{
    group.step = std::max(step, group.lastStepAsked + 1);
    group.lastStepAsked = group.step;
    group.stepsAsked.push_back(group.step);
    group.asked.clear();
}

void advanceIdle(GroupSwitch &group, const ExpertProfile &profile, const PlacementBounds &bounds,
                 const SwitchTiming &timing, const LeaderSeat &seat, SwitchStep &step,
                 TimePoint now)
{
    if (heldByOther(group, timing, now)) {
        takeOver(group, step, now);
        return;
    }
    if (!allKnown(group, timing, now))
        return;
    if (anyArmed(group) || now - group.lastSwitchAt < timing.betweenSwitches)
        return;
    if (!group.demandIsNew)
        return;
    group.demandIsNew = false;
    const RankMap present = presentMap(group, profile);
    if (present.empty())
        return;
    const double skew = demandSkew(group.demand, present, slowdownsOf(group));
    const bool seenBefore = skew < group.fruitlessSkew + timing.worthAnotherLook
        && now - group.fruitlessAt < timing.lookAgain;
    if (seenBefore)
        return;
    auto proposal = proposeMap(profile, group.demand, present, slowdownsOf(group), bounds);
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
        group.holder = holderOf(seat.rank, groupSizeOf(group));
        group.stepsAsked.clear();
        enter(group, SwitchPhase::Holding, now);
        aimAt(group, furthestStep(group) + timing.passesAhead);
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
    if (report.heldStep && isOwnHold(group, {group.holder, *report.heldStep})) {
        group.step = *report.heldStep;
        group.heldSince = now;
        enter(group, SwitchPhase::Arming, now);
        return;
    }
    if (now - group.phaseSince > timing.holdTimeout) {
        step.note = SwitchNote::GaveUpHolding;
        group.lastSwitchAt = now;
        enter(group, SwitchPhase::Idle, now);
        return;
    }
    // A pass that has begun can't be held any more; nothing is armed yet, so another is tried.
    if (furthestStep(group) + 1 >= group.step && !group.asked.empty())
        aimAt(group, furthestStep(group) + timing.passesAhead + 1);
    ask(group, step, timing, group.holder, {.kind = RankOrderKind::Hold, .step = group.step}, now);
}

void advanceArming(GroupSwitch &group, const SwitchTiming &timing, SwitchStep &step, TimePoint now)
{
    std::vector<std::uint32_t> unarmed;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        if (!isArmed(report, group.version, group.step) && report.map != group.version)
            unarmed.push_back(rank);
    }
    if (unarmed.empty()) {
        enter(group, SwitchPhase::Releasing, now);
        return;
    }
    // The own rank comes last: what can't be seen of it after this VM froze, the others tell.
    if (unarmed.size() > 1)
        std::erase(unarmed, group.ownRank);
    for (const std::uint32_t rank : unarmed) {
        ask(group, step, timing, rank,
            {.kind = RankOrderKind::Arm, .version = group.version, .step = group.step}, now);
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

void forgetRanks(GroupSwitch &group)
{
    GroupSwitch kept{.group = group.group, .epoch = group.epoch};
    kept.highestVersion = group.highestVersion;
    kept.lastStepAsked = group.lastStepAsked;
    group = std::move(kept);
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
    group.ownRank = seat.rank;
    const bool unheldPhase =
        group.phase == SwitchPhase::Preparing || group.phase == SwitchPhase::Holding;
    if (unheldPhase && heldByOther(group, timing, now))
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
    case SwitchNote::GaveUpHolding:
        return "gave up holding";
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
