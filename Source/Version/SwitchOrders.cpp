#include "Version/SwitchOrders.h"

#include <algorithm>
#include <utility>

#include "Version/GroupQueries.h"

namespace wisteria {

namespace {

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
                         const RankOrder &order, std::uint32_t timesRequested)
{
    constexpr std::uint32_t maxDoublings = 3;
    const bool prepares = order.kind == RankOrderKind::Prepare;
    const bool small = group.phase == SwitchPhase::Recovering && asChanges(group, view);
    if (!prepares || small)
        return timing.resend;
    if (view.status.accepted == order.version)
        return timing.resendAcceptedMap;
    return timing.resendMap * (1 << std::min(timesRequested - 1, maxDoublings));
}

/// Whether the sidecar beside the rank is silent while most others are heard.
bool isSilentAlone(const GroupSwitch &group, const SwitchTiming &timing, const RankView &view,
                   TimePoint now)
{
    return now - view.receivedAt > timing.orderDirectlyAfter
        && unresponsiveRanks(group, timing.orderDirectlyAfter, now) <= timing.maxDirectlyOrdered;
}

} // namespace

void enterPhase(GroupSwitch &group, SwitchPhase phase, TimePoint now)
{
    if (phase == SwitchPhase::Preparing)
        group.phaseTimes = {};
    group.phaseTimes.at(static_cast<std::size_t>(group.phase)) += remaining(group.phaseSince, now);
    group.phase = phase;
    group.phaseSince = now;
    group.pendingOrders.clear();
}

std::uint64_t newVersion(GroupSwitch &group, const LeaderIdentity &leader)
{
    std::uint64_t version = leader.versionTick * ranksPerVersionTick + leader.rank;
    if (version <= group.highestVersion) {
        const std::uint64_t next = group.highestVersion / ranksPerVersionTick + 1;
        version = next * ranksPerVersionTick + leader.rank;
    }
    group.highestVersion = version;
    return version;
}

void requestOrder(GroupSwitch &group, SwitchUpdate &update, const SwitchTiming &timing,
                  std::uint32_t rank, RankOrder order, TimePoint now)
{
    const RankView &view = group.ranks.at(rank);
    PendingOrder &pending = group.pendingOrders[rank];
    const bool sameOrder = pending.kind == order.kind && pending.version == order.version
        && pending.pass == order.pass;
    if (!sameOrder)
        pending = {.kind = order.kind, .version = order.version, .pass = order.pass};
    if (pending.times > 0
        && now - pending.at < pauseBefore(group, timing, view, order, pending.times))
        return;
    pending.at = now;
    ++pending.times;
    order.epoch = group.epoch;
    const bool held = group.phase == SwitchPhase::Arming || group.phase == SwitchPhase::Recovering
        || group.phase == SwitchPhase::Releasing;
    // The leader itself has the group held and lets it go: through a sidecar, the VM of the one
    // that knows and of the one that is held could freeze together.
    const bool ofHold = order.kind == RankOrderKind::Hold || order.kind == RankOrderKind::Release;
    const bool direct =
        (ofHold && rank != group.ownRank) || (held && isSilentAlone(group, timing, view, now));
    const bool changes = order.kind == RankOrderKind::Prepare && asChanges(group, view);
    update.actions.push_back({rank, view.status.engine, std::move(order), direct, changes});
}

void setBase(GroupSwitch &group, const ExpertProfile &profile, const RankMap &current)
{
    group.baseVersion = group.ranks.begin()->second.status.report.map;
    const bool known =
        group.baseVersion != 0 || current == firstRankMap(profile, group.ranks.size());
    group.base = known ? current : RankMap{};
}

} // namespace wisteria
