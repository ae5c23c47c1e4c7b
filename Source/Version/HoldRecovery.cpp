#include "Version/HoldRecovery.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Version/GroupQueries.h"
#include "Version/SwitchOrders.h"

namespace wisteria {

namespace {

/// Chooses the version under which the held group goes on: the map in force, so nothing is copied.
/// @return False while the map in force is not known of all ranks.
bool chooseRecoveryVersion(GroupSwitch &group, const ExpertProfile &profile,
                           const LeaderIdentity &leader, TimePoint now)
{
    const std::vector<GroupHold> holds = holdsOf(group);
    const bool newHold = std::any_of(holds.begin(), holds.end(), [&group](const GroupHold &held) {
        const auto &seen = group.recoveredHolds;
        return std::find(seen.begin(), seen.end(), held) == seen.end();
    });
    if (group.version != 0 && !newHold && !anyHasSuperseded(group, group.version))
        return true;
    RankMap current = currentMapOfKnown(group, profile);
    if (current.empty())
        return false;
    setBase(group, profile, current);
    group.map = std::move(current);
    group.version = newVersion(group, leader);
    group.recoveredHolds = holds;
    // Another leader that does the same gets the time to be done with it.
    group.phaseSince = now;
    return true;
}

/// Whether every rank but one is unarmed and lacks all versions before the leader's own for good.
bool onlyOwnVersionExcept(const GroupSwitch &group, std::uint32_t left)
{
    const std::uint32_t size = groupSizeOf(group);
    for (std::uint32_t rank = 0; rank < size; ++rank) {
        const auto known = group.ranks.find(rank);
        const bool settled = known != group.ranks.end() && known->second.status.report.armed == 0
            && known->second.status.report.prepared == group.version;
        if (!settled && rank != left)
            return false;
    }
    return true;
}

} // namespace

bool isOwnHold(const GroupSwitch &group, const GroupHold &held)
{
    const auto &passes = group.heldPasses;
    return held.rank == group.holder
        && std::find(passes.begin(), passes.end(), held.pass) != passes.end();
}

bool heldByOther(const GroupSwitch &group, const SwitchTiming &timing, TimePoint now)
{
    const std::vector<GroupHold> holds = holdsOf(group);
    return std::any_of(holds.begin(), holds.end(), [&](const GroupHold &held) {
        const bool own = group.phase == SwitchPhase::Holding && isOwnHold(group, held);
        const std::uint32_t leader = leaderOfHolder(held.rank, groupSizeOf(group));
        return !own && allRanksCurrentExcept(group, leader, timing, now);
    });
}

void takeOver(GroupSwitch &group, SwitchUpdate &update, TimePoint now)
{
    group.heldSince = now;
    group.version = 0;
    update.event = SwitchEvent::TookOver;
    enterPhase(group, SwitchPhase::Recovering, now);
}

void advanceRecovery(GroupSwitch &group, const ExpertProfile &profile, const SwitchTiming &timing,
                     const LeaderIdentity &leader, SwitchUpdate &update, TimePoint now)
{
    if (const auto common = commonArmedSwitch(group)) {
        group.version = common->version;
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
    for (const GroupHold &held : holds) {
        if (onlyOwnVersionExcept(group, leaderOfHolder(held.rank, groupSizeOf(group))))
            requestOrder(group, update, timing, held.rank,
                         {.kind = RankOrderKind::Release, .pass = held.pass}, now);
    }
}

} // namespace wisteria
