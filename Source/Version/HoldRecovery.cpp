#include "Version/HoldRecovery.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Version/GroupQueries.h"
#include "Version/SwitchOrders.h"

namespace wisteria {

namespace {

/// Chooses the recovery version, which ranks prepare only so that they refuse all older ones. Its
/// map is the one in force, so no weights are copied.
/// @return False while the map in force is not known.
bool chooseRecoveryVersion(GroupSwitch &group, const ExpertProfile &profile,
                           const LeaderIdentity &leader, TimePoint now)
{
    const std::vector<GroupHold> holds = holdsOf(group);
    const bool newHold = std::any_of(holds.begin(), holds.end(), [&group](const GroupHold &hold) {
        const auto &knownHolds = group.recoveredHolds;
        return std::find(knownHolds.begin(), knownHolds.end(), hold) == knownHolds.end();
    });
    if (group.version != 0 && !newHold && !anyHasSuperseded(group, group.version))
        return true;
    RankMap current = currentMapInferringOne(group, profile);
    if (current.empty())
        return false;
    setBase(group, profile, current);
    setVersion(group, newVersion(group, leader), std::move(current));
    group.recoveredHolds = holds;
    // Restarts the phase's time, which from here on only affects the recorded phase times.
    group.phaseSince = now;
    return true;
}

/// Whether every rank except one is unarmed and has prepared this leader's recovery version, so
/// that it refuses all older ones.
bool allRecoveredExcept(const GroupSwitch &group, std::uint32_t exceptRank)
{
    const std::uint32_t size = groupSizeOf(group);
    for (std::uint32_t rank = 0; rank < size; ++rank) {
        const auto known = group.ranks.find(rank);
        const bool recovered = known != group.ranks.end() && known->second.status.report.armed == 0
            && known->second.status.report.prepared == group.version;
        if (!recovered && rank != exceptRank)
            return false;
    }
    return true;
}

} // namespace

bool isOwnHold(const GroupSwitch &group, const GroupHold &hold)
{
    const auto &passes = group.heldPasses;
    return hold.rank == group.holder
        && std::find(passes.begin(), passes.end(), hold.pass) != passes.end();
}

bool heldByOther(const GroupSwitch &group, const SwitchTiming &timing, TimePoint now)
{
    const std::vector<GroupHold> holds = holdsOf(group);
    return std::any_of(holds.begin(), holds.end(), [&](const GroupHold &hold) {
        const bool own = group.phase == SwitchPhase::Holding && isOwnHold(group, hold);
        const std::uint32_t leader = leaderOfHolder(hold.rank, groupSizeOf(group));
        return !own && allRanksCurrentExcept(group, leader, timing, now);
    });
}

void takeOver(GroupSwitch &group, SwitchUpdate &update, TimePoint now)
{
    group.heldSince = now;
    setVersion(group, 0, {});
    update.event = SwitchEvent::TookOver;
    enterPhase(group, SwitchPhase::Recovering, now);
}

void advanceRecovery(GroupSwitch &group, const ExpertProfile &profile, const SwitchTiming &timing,
                     const LeaderIdentity &leader, SwitchUpdate &update, TimePoint now)
{
    if (const auto common = commonArmedSwitch(group)) {
        setVersion(group, common->version, {});
        group.pass = common->pass;
        enterPhase(group, SwitchPhase::Releasing, now);
        return;
    }
    const std::vector<GroupHold> holds = holdsOf(group);
    if (holds.empty()) {
        enterPhase(group, SwitchPhase::Idle, now);
        return;
    }
    const bool settled =
        group.version != 0 || !anyArmed(group) || now - group.phaseSince >= timing.settleTime;
    if (!settled || !chooseRecoveryVersion(group, profile, leader, now))
        return;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        if (hasVersion(report, group.version))
            continue;
        if (report.armed == 0) {
            requestOrder(group, update, timing, rank,
                         {.kind = RankOrderKind::Prepare, .version = group.version}, now);
        } else if (anyHasSuperseded(group, report.armed)) {
            requestOrder(group, update, timing, rank,
                         {.kind = RankOrderKind::Disarm, .version = report.armed}, now);
        }
    }
    for (const GroupHold &hold : holds) {
        if (allRecoveredExcept(group, leaderOfHolder(hold.rank, groupSizeOf(group))))
            requestOrder(group, update, timing, hold.rank,
                         {.kind = RankOrderKind::Release, .pass = hold.pass}, now);
    }
}

} // namespace wisteria
