#include "Version/SwitchOrders.h"

#include <algorithm>
#include <utility>

#include "Version/GroupQueries.h"

namespace wisteria {

namespace {

/// Whether the map may be sent to the rank as changes against the map in force.
bool canSendAsChanges(const GroupSwitch &group, const RankView &view)
{
    return !group.base.empty() && view.status.mapKnown
        && view.status.report.map == group.baseVersion;
}

/// Returns the pause before the same order is sent to a rank again. For an order to prepare it
/// doubles with each attempt, at most three times: a link that is saturated with resends delays all
/// replies, which causes more resends, until a large group makes no progress at all. Recovery sends
/// the map in force under a new version. To a sidecar that has the map this is an empty list of
/// changes, so the pause stays short.
milliseconds resendIntervalFor(const GroupSwitch &group, const SwitchTiming &timing,
                               const RankView &view, const RankOrder &order,
                               std::uint32_t timesRequested)
{
    constexpr std::uint32_t maxDoublings = 3;
    const bool prepares = order.kind == RankOrderKind::Prepare;
    const bool small = group.phase == SwitchPhase::Recovering && canSendAsChanges(group, view);
    if (!prepares || small)
        return timing.resendInterval;
    if (view.status.accepted == order.version)
        return timing.acceptedMapResendInterval;
    return timing.mapResendInterval * (1 << std::min(timesRequested - 1, maxDoublings));
}

/// Whether the rank's sidecar does not respond while at most maxDirectlyOrdered ranks are silent.
bool isSidecarUnresponsive(const GroupSwitch &group, const SwitchTiming &timing,
                           const RankView &view, TimePoint now)
{
    return now - view.receivedAt > timing.directOrderDelay
        && unresponsiveRanks(group, timing.directOrderDelay, now) <= timing.maxDirectlyOrdered;
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

void setVersion(GroupSwitch &group, std::uint64_t version, RankMap map)
{
    group.version = version;
    group.map = std::move(map);
    group.proposal = {};
    group.othersArmedAt.reset();
    group.ownRankArmingTime = {};
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
    if (pending.timesRequested > 0
        && now - pending.requestedAt
            < resendIntervalFor(group, timing, view, order, pending.timesRequested))
        return;
    pending.requestedAt = now;
    ++pending.timesRequested;
    order.epoch = group.epoch;
    const bool held = group.phase == SwitchPhase::Arming || group.phase == SwitchPhase::Recovering
        || group.phase == SwitchPhase::Releasing;
    // The leader sends holds and releases directly to the engine, except to the rank beside it.
    // Sent through the holder's sidecar, the process that knows whether the order was executed
    // would freeze together with the engine that holds.
    const bool ofHold = order.kind == RankOrderKind::Hold || order.kind == RankOrderKind::Release;
    const bool direct = (ofHold && rank != group.ownRank)
        || (held && isSidecarUnresponsive(group, timing, view, now));
    const bool changes = order.kind == RankOrderKind::Prepare && canSendAsChanges(group, view);
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
