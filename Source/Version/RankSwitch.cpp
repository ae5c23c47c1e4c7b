#include "Version/RankSwitch.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Version/GroupDemand.h"
#include "Version/GroupQueries.h"
#include "Version/HoldRecovery.h"
#include "Version/SwitchOrders.h"

namespace wisteria {

namespace {

/// After this time without a status of the leader's epoch, statuses of an earlier one count again.
/// Longer than any delay of a datagram, and than several polls take.
constexpr milliseconds epochLifetime{2000};
/// Half of the versions that JSON numbers represent exactly: a rank that reports a version beyond
/// any that occur leaves the leader as many as it needs.
constexpr std::uint64_t maxFollowedVersion = std::uint64_t{1} << 52;

/// Returns the pass before which the group may be held next: at least so many ahead, and none that
/// this leader may have used before, in this or an earlier life. Empty until a further pass begins.
std::optional<std::uint64_t> nextHeldPass(const GroupSwitch &group, const SwitchTiming &timing,
                                          std::uint64_t passesAhead)
{
    if (!group.passAtStart)
        return std::nullopt;
    const std::uint64_t latest = latestPass(group);
    const std::uint64_t pass = std::max({latest + passesAhead, group.lastHeldPass + 1,
                                         *group.passAtStart + timing.maxPassesAhead + 1});
    return pass <= latest + timing.maxPassesAhead ? std::optional(pass) : std::nullopt;
}

/// Sets the pass before which the group is to be held.
void scheduleHold(GroupSwitch &group, std::uint64_t pass)
{
    group.pass = pass;
    group.lastHeldPass = pass;
    group.heldPasses.push_back(pass);
    group.pendingOrders.clear();
}

void advanceIdle(GroupSwitch &group, const ExpertProfile &profile, const PlacementBounds &bounds,
                 const SwitchTiming &timing, const LeaderIdentity &leader, SwitchUpdate &update,
                 TimePoint now)
{
    if (heldByOther(group, timing, now)) {
        takeOver(group, update, now);
        return;
    }
    if (!allRanksCurrent(group, timing, now))
        return;
    if (anyArmed(group) || now - group.lastSwitchAt < timing.minSwitchInterval)
        return;
    if (!group.demandIsNew || !nextHeldPass(group, timing, timing.passesAhead))
        return;
    group.demandIsNew = false;
    const RankMap current = currentMap(group, profile);
    if (current.empty())
        return;
    const double skew = demandSkew(group.demand, current, slowdownsOf(group));
    const bool failedRecently = skew < group.failedSearchSkew + timing.minSkewIncrease
        && now - group.failedSearchAt < timing.searchRetryInterval;
    if (failedRecently)
        return;
    auto proposal = proposeMap(profile, group.demand, current, slowdownsOf(group), bounds);
    if (!proposal) {
        group.failedSearchSkew = skew;
        group.failedSearchAt = now;
        return;
    }
    group.failedSearchSkew = 0;
    setBase(group, profile, current);
    setVersion(group, newVersion(group, leader), proposal->map);
    group.proposal = std::move(*proposal);
    update.event = SwitchEvent::Preparing;
    enterPhase(group, SwitchPhase::Preparing, now);
}

void advancePreparing(GroupSwitch &group, const SwitchTiming &timing, const LeaderIdentity &leader,
                      SwitchUpdate &update, TimePoint now)
{
    // A rank that has had a higher version refuses this one. Either an order that was taken for
    // lost was carried out late, or another leader's clock is ahead.
    if (group.highestVersion > group.version) {
        update.event = SwitchEvent::Superseded;
        enterPhase(group, SwitchPhase::Idle, now);
        return;
    }
    bool all = true;
    for (const auto &[rank, view] : group.ranks) {
        if (hasVersion(view.status.report, group.version))
            continue;
        all = false;
        requestOrder(group, update, timing, rank,
                     {.kind = RankOrderKind::Prepare, .version = group.version}, now);
    }
    // The size is what a rank reports, which may differ from the number of ranks.
    const std::uint32_t holder = holderOf(leader.rank, groupSizeOf(group));
    const auto pass = nextHeldPass(group, timing, timing.passesAhead);
    if (all && pass && group.ranks.contains(holder)) {
        group.holder = holder;
        group.heldPasses.clear();
        enterPhase(group, SwitchPhase::Holding, now);
        scheduleHold(group, *pass);
        return;
    }
    if (now - group.phaseSince > timing.prepareTimeout) {
        update.event = SwitchEvent::GaveUpPreparing;
        group.lastSwitchAt = now;
        enterPhase(group, SwitchPhase::Idle, now);
    }
}

void advanceHolding(GroupSwitch &group, const SwitchTiming &timing, SwitchUpdate &update,
                    TimePoint now)
{
    const RankReport &report = group.ranks.at(group.holder).status.report;
    if (report.heldPass && isOwnHold(group, {group.holder, *report.heldPass})) {
        group.pass = *report.heldPass;
        group.heldSince = now;
        enterPhase(group, SwitchPhase::Arming, now);
        return;
    }
    if (now - group.phaseSince > timing.holdTimeout) {
        update.event = SwitchEvent::GaveUpHolding;
        group.lastSwitchAt = now;
        enterPhase(group, SwitchPhase::Idle, now);
        return;
    }
    // If the pass is the next to begin or has begun, an order may come too late to hold the group
    // before it. No rank is armed yet, so a pass further ahead is chosen.
    if (latestPass(group) + 1 >= group.pass && !group.pendingOrders.empty()) {
        if (const auto later = nextHeldPass(group, timing, timing.passesAhead + 1))
            scheduleHold(group, *later);
    }
    requestOrder(group, update, timing, group.holder,
                 {.kind = RankOrderKind::Hold, .pass = group.pass}, now);
}

void advanceArming(GroupSwitch &group, const SwitchTiming &timing, SwitchUpdate &update,
                   TimePoint now)
{
    std::vector<std::uint32_t> unarmed;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        if (!isArmed(report, group.version, group.pass) && report.map != group.version)
            unarmed.push_back(rank);
    }
    if (unarmed.empty()) {
        group.ownRankArmingTime = remaining(group.othersArmedAt.value_or(now), now);
        enterPhase(group, SwitchPhase::Releasing, now);
        return;
    }
    const bool onlyOwn = unarmed.size() == 1 && unarmed.front() == group.ownRank;
    if (onlyOwn && !group.othersArmedAt)
        group.othersArmedAt = now;
    // The rank beside this leader is armed last. If this VM freezes, another leader that can't
    // reach it concludes from an unarmed other rank that it is unarmed too.
    if (unarmed.size() > 1)
        std::erase(unarmed, group.ownRank);
    for (const std::uint32_t rank : unarmed) {
        requestOrder(group, update, timing, rank,
                     {.kind = RankOrderKind::Arm, .version = group.version, .pass = group.pass},
                     now);
    }
    // The pass began and no rank switched: the hold was released before the ranks were armed.
    const bool begun = latestPass(group) >= group.pass
        && std::none_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
                           return entry.second.status.report.map == group.version;
                       });
    if (begun) {
        update.event = SwitchEvent::PassBegun;
        enterPhase(group, SwitchPhase::Idle, now);
        return;
    }
    if (anyHasSuperseded(group, group.version)) {
        update.event = SwitchEvent::VersionLost;
        setVersion(group, 0, {});
        enterPhase(group, SwitchPhase::Recovering, now);
    }
}

/// Releases every hold up to the pass: all ranks are armed for one version and that pass.
void advanceReleasing(GroupSwitch &group, const SwitchTiming &timing, SwitchUpdate &update,
                      TimePoint now)
{
    bool held = false;
    for (const auto &[rank, view] : group.ranks) {
        const auto &heldPass = view.status.report.heldPass;
        // A later pass may be held meanwhile: an order to hold that was taken for lost can be
        // carried out after the switch. That hold is recovered as one without a live leader.
        if (!heldPass || *heldPass > group.pass)
            continue;
        held = true;
        requestOrder(group, update, timing, rank,
                     {.kind = RankOrderKind::Release, .pass = *heldPass}, now);
    }
    const bool done = std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
        return entry.second.status.report.map == group.version;
    });
    // Another leader brought a later version into force, which can happen only after all ranks
    // switched to this one. Without this, a leader whose statuses arrive late waits for ever.
    const bool overtaken = anyHasSuperseded(group, group.version);
    if (held || (!done && !overtaken))
        return;
    update.event = overtaken ? SwitchEvent::Superseded : SwitchEvent::InForce;
    group.lastSwitchAt = now;
    enterPhase(group, SwitchPhase::Idle, now);
}

/// Adds the experts that a status omits because the leader knows the map.
void addOmittedExperts(const GroupSwitch &group, RankStatus &status)
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

/// Whether a rank has been in the leader's epoch within the last seconds. A faulty rank may have
/// reported a later one than there is.
bool isEpochInUse(const GroupSwitch &group, TimePoint now)
{
    return std::any_of(group.ranks.begin(), group.ranks.end(), [now](const auto &entry) {
        return now - entry.second.receivedAt <= epochLifetime;
    });
}

/// The highest version among those of a report that leave room for later ones. A leader's versions
/// follow it.
std::uint64_t highestVersionOf(const RankReport &report)
{
    std::uint64_t highest = 0;
    for (const std::uint64_t version : {report.map, report.prepared, report.armed}) {
        if (version <= maxFollowedVersion)
            highest = std::max(highest, version);
    }
    return highest;
}

} // namespace

void applyStatus(GroupSwitch &group, RankStatus status, TimePoint now)
{
    const RankReport &report = status.report;
    if (report.epoch < group.epoch && isEpochInUse(group, now))
        return;
    if (report.epoch != group.epoch) {
        const std::uint64_t highest = group.highestVersion;
        group = GroupSwitch{.group = report.group, .epoch = report.epoch};
        group.highestVersion = highest;
        group.phaseSince = now;
    }
    const auto known = group.ranks.find(report.rank);
    if (known != group.ranks.end()
        && isDelayed(status, known->second.status.readAtMilliseconds, known->second.receivedAt,
                     now))
        return;
    group.highestVersion = std::max(group.highestVersion, highestVersionOf(report));
    addOmittedExperts(group, status);
    const std::uint32_t rank = report.rank;
    // An engine is one rank only; what it reported as another is out of date. In a switch it stays,
    // because no switch waits for a rank that is not known.
    if (group.phase == SwitchPhase::Idle) {
        std::erase_if(group.ranks, [&status, rank](const auto &entry) {
            return entry.first != rank && entry.second.status.engine == status.engine;
        });
    }
    group.ranks[rank] = {std::move(status), now};
}

void resetSwitch(GroupSwitch &group)
{
    GroupSwitch kept{.group = group.group, .epoch = group.epoch};
    kept.highestVersion = group.highestVersion;
    kept.lastHeldPass = group.lastHeldPass;
    kept.passAtStart = group.passAtStart;
    group = std::move(kept);
}

void noteOrderDone(GroupSwitch &group, std::uint32_t rank, const RankOrder &order, TimePoint now)
{
    const auto found = group.ranks.find(rank);
    if (found == group.ranks.end() || order.epoch != group.epoch)
        return;
    RankReport &report = found->second.status.report;
    found->second.receivedAt = now;
    switch (order.kind) {
    case RankOrderKind::Prepare:
        // The rank reports when its copies are complete.
        return;
    case RankOrderKind::Arm:
        report.armed = order.version;
        report.armedPass = order.pass;
        return;
    case RankOrderKind::Disarm:
        report.armed = 0;
        return;
    case RankOrderKind::Hold:
        report.heldPass = order.pass;
        return;
    case RankOrderKind::Release:
        report.heldPass.reset();
        return;
    }
}

SwitchUpdate advanceSwitch(GroupSwitch &group, const ExpertProfile &profile,
                           const PlacementBounds &bounds, const SwitchTiming &timing,
                           const LeaderIdentity &leader, TimePoint now)
{
    SwitchUpdate update;
    closeOverdueWindow(group, profile, timing, now);
    group.ownRank = leader.rank;
    if (!group.passAtStart && group.ranks.contains(leader.rank))
        group.passAtStart = latestPass(group);
    // Another leader's hold is recovered, as that leader may have died.
    const bool unheldPhase =
        group.phase == SwitchPhase::Preparing || group.phase == SwitchPhase::Holding;
    if (unheldPhase && heldByOther(group, timing, now))
        takeOver(group, update, now);
    switch (group.phase) {
    case SwitchPhase::Idle:
        advanceIdle(group, profile, bounds, timing, leader, update, now);
        break;
    case SwitchPhase::Preparing:
        advancePreparing(group, timing, leader, update, now);
        break;
    case SwitchPhase::Holding:
        advanceHolding(group, timing, update, now);
        break;
    case SwitchPhase::Arming:
        advanceArming(group, timing, update, now);
        break;
    case SwitchPhase::Recovering:
        advanceRecovery(group, profile, timing, leader, update, now);
        break;
    case SwitchPhase::Releasing:
        advanceReleasing(group, timing, update, now);
        break;
    }
    return update;
}

const char *eventText(SwitchEvent event)
{
    switch (event) {
    case SwitchEvent::Nothing:
        return "";
    case SwitchEvent::Preparing:
        return "preparing";
    case SwitchEvent::GaveUpPreparing:
        return "gave up preparing";
    case SwitchEvent::GaveUpHolding:
        return "gave up holding";
    case SwitchEvent::TookOver:
        return "took over a held group";
    case SwitchEvent::Superseded:
        return "overtaken by a higher version";
    case SwitchEvent::PassBegun:
        return "the pass has begun";
    case SwitchEvent::VersionLost:
        return "a rank lost the version";
    case SwitchEvent::InForce:
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
    case SwitchPhase::Recovering:
        return "unwinding";
    case SwitchPhase::Releasing:
        return "releasing";
    }
    return "idle";
}

} // namespace wisteria
