#include "Version/RankSwitch.h"

#include <algorithm>
#include <utility>

namespace wisteria {

namespace {

void enter(GroupSwitch &group, SwitchPhase phase, TimePoint now)
{
    if (phase == SwitchPhase::Preparing && group.phase == SwitchPhase::Idle)
        group.phaseTimes = {};
    group.phaseTimes.at(static_cast<std::size_t>(group.phase)) += remaining(group.phaseSince, now);
    group.phase = phase;
    group.phaseSince = now;
    group.askedAt.clear();
}

/// A pass in which a version comes into force, for the rank.
bool isArmed(const RankReport &report, std::uint64_t version, std::uint64_t step)
{
    return report.armed == version && report.armedStep == step;
}

bool hasVersion(const RankReport &report, std::uint64_t version)
{
    return report.prepared == version || report.armed == version || report.map == version;
}

/// Every rank of the group is known, in the same epoch, and lately.
bool allKnown(const GroupSwitch &group, const SwitchTiming &timing, TimePoint now)
{
    if (group.ranks.empty())
        return false;
    const std::uint32_t size = group.ranks.begin()->second.status.report.groupSize;
    if (size == 0 || group.ranks.size() != size)
        return false;
    return std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
        return entry.second.status.report.groupOpen
            && now - entry.second.at <= timing.statusLifetime;
    });
}

std::uint64_t furthestStep(const GroupSwitch &group)
{
    std::uint64_t step = 0;
    for (const auto &[rank, view] : group.ranks)
        step = std::max(step, view.status.report.step);
    return step;
}

/// The map in force, put together from what each rank holds; empty when the ranks' lists are not
/// all of the same version.
RankMap presentMap(const GroupSwitch &group, const ExpertProfile &profile)
{
    const std::uint64_t version = group.ranks.begin()->second.status.report.map;
    RankMap map(profile.sets, std::vector<std::vector<std::uint32_t>>(group.ranks.size()));
    for (const auto &[rank, view] : group.ranks) {
        const RankStatus &status = view.status;
        if (status.report.map != version || status.experts.size() != profile.sets
            || rank >= group.ranks.size())
            return {};
        for (std::size_t set = 0; set < profile.sets; ++set)
            map[set][rank] = status.experts[set];
    }
    return map;
}

std::vector<double> pacesOf(const GroupSwitch &group)
{
    std::vector<double> paces;
    for (const auto &[rank, view] : group.ranks)
        paces.push_back(view.status.report.pace);
    return paces;
}

std::uint64_t newVersion(GroupSwitch &group, std::uint64_t hint)
{
    group.highestVersion = std::max(group.highestVersion + 1, hint);
    return group.highestVersion;
}

/// Asks a rank for an order unless that was done a moment ago.
void ask(GroupSwitch &group, SwitchStep &step, const SwitchTiming &timing, std::uint32_t rank,
         RankOrder order, TimePoint now)
{
    const RankView &view = group.ranks.at(rank);
    const auto asked = group.askedAt.find(rank);
    const bool again = asked != group.askedAt.end();
    const bool prepares = order.kind == RankOrderKind::Prepare;
    const bool accepted = prepares && view.status.accepted == order.version;
    milliseconds pause = timing.resend;
    if (prepares && !group.heldBefore)
        pause = accepted ? timing.resendAcceptedMap : timing.resendMap;
    if (again && now - asked->second < pause)
        return;
    group.askedAt[rank] = now;
    order.epoch = group.epoch;
    const bool silent = now - view.at > timing.orderDirectlyAfter;
    const bool held = group.phase == SwitchPhase::Arming || group.phase == SwitchPhase::Unwinding
        || group.phase == SwitchPhase::Releasing;
    const bool asChanges = prepares && !again && !group.base.empty();
    step.actions.push_back({rank, view.status.engine, std::move(order), silent && held, asChanges});
}

struct Held
{
    std::uint32_t rank = 0;
    std::uint64_t step = 0;
};

std::optional<Held> heldBy(const GroupSwitch &group)
{
    for (const auto &[rank, view] : group.ranks) {
        if (view.status.report.heldStep)
            return Held{rank, *view.status.report.heldStep};
    }
    return std::nullopt;
}

/// The version that every rank has prepared or is armed for; 0 when there is none.
std::uint64_t commonVersion(const GroupSwitch &group)
{
    std::uint64_t version = 0;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        const std::uint64_t has = report.armed != 0 ? report.armed : report.prepared;
        if (has == 0 || (version != 0 && has != version))
            return 0;
        version = has;
    }
    return version;
}

/// Takes over a group that somebody else left held.
void takeOver(GroupSwitch &group, const Held &held, SwitchStep &step, TimePoint now)
{
    group.holder = held.rank;
    group.step = held.step;
    group.heldBefore = true;
    group.heldSince = now;
    group.version = commonVersion(group);
    step.note = SwitchNote::TookOver;
    enter(group, group.version != 0 ? SwitchPhase::Arming : SwitchPhase::Unwinding, now);
}

void advanceIdle(GroupSwitch &group, const ExpertProfile &profile, const PlacementBounds &bounds,
                 const SwitchTiming &timing, std::uint64_t versionHint, SwitchStep &step,
                 TimePoint now)
{
    if (!allKnown(group, timing, now))
        return;
    if (const auto held = heldBy(group)) {
        takeOver(group, *held, step, now);
        return;
    }
    const bool armed = std::any_of(group.ranks.begin(), group.ranks.end(), [](const auto &entry) {
        return entry.second.status.report.armed != 0;
    });
    if (armed || now - group.lastSwitchAt < timing.betweenSwitches)
        return;
    const bool countsOfAll =
        group.countsSinceLook >= std::min(group.ranks.size(), timing.countedRanks);
    if (!countsOfAll && now - group.lookedAt < timing.lookAtLatest)
        return;
    group.countsSinceLook = 0;
    group.lookedAt = now;
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
    group.baseVersion = group.ranks.begin()->second.status.report.map;
    const bool known =
        group.baseVersion != 0 || present == firstRankMap(profile, group.ranks.size());
    group.base = known ? present : RankMap{};
    group.map = group.proposal.map;
    group.version = newVersion(group, versionHint);
    group.heldBefore = false;
    step.note = SwitchNote::Preparing;
    enter(group, SwitchPhase::Preparing, now);
}

void advancePreparing(GroupSwitch &group, const SwitchTiming &timing, std::uint32_t leaderRank,
                      SwitchStep &step, TimePoint now)
{
    // A rank that has had a higher version never takes this one: an order that was believed lost
    // was carried out late, or another leader's clock is ahead. Without a new version the group
    // would be prepared for ever, and if it is held, stand for ever.
    if (group.highestVersion > group.version) {
        step.note = SwitchNote::Overtaken;
        enter(group, group.heldBefore ? SwitchPhase::Unwinding : SwitchPhase::Idle, now);
        return;
    }
    // A rank that is armed takes no other version: the held group must go on with that one, or the
    // rank be disarmed.
    const bool armed = std::any_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
        const std::uint64_t version = entry.second.status.report.armed;
        return version != 0 && version != group.version;
    });
    if (armed && group.heldBefore) {
        enter(group, SwitchPhase::Unwinding, now);
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
    if (all && group.heldBefore) {
        enter(group, SwitchPhase::Arming, now);
        return;
    }
    if (all) {
        group.holder = leaderRank;
        group.step = furthestStep(group) + timing.passesAhead;
        enter(group, SwitchPhase::Holding, now);
        return;
    }
    if (!group.heldBefore && now - group.phaseSince > timing.prepareTimeout) {
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
    if (furthestStep(group) + 1 >= group.step && !group.askedAt.empty()) {
        group.step = furthestStep(group) + timing.passesAhead + 1;
        group.askedAt.clear();
    }
    ask(group, step, timing, group.holder, {.kind = RankOrderKind::Hold, .step = group.step}, now);
}

void advanceArming(GroupSwitch &group, const SwitchTiming &timing, SwitchStep &step, TimePoint now)
{
    bool all = true;
    bool lost = false;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        if (isArmed(report, group.version, group.step) || report.map == group.version)
            continue;
        all = false;
        lost = lost
            || (report.armed == 0 && report.prepared != group.version
                && now - view.at <= timing.statusLifetime);
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
    if (lost) {
        step.note = SwitchNote::VersionLost;
        enter(group, SwitchPhase::Unwinding, now);
    }
}

void advanceUnwinding(GroupSwitch &group, const ExpertProfile &profile, const SwitchTiming &timing,
                      std::uint64_t versionHint, SwitchStep &step, TimePoint now)
{
    if (const std::uint64_t common = commonVersion(group); common != 0) {
        group.version = common;
        enter(group, SwitchPhase::Arming, now);
        return;
    }
    if (now - group.phaseSince < timing.settle)
        return;
    bool armed = false;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        if (report.armed == 0)
            continue;
        armed = true;
        ask(group, step, timing, rank, {.kind = RankOrderKind::Disarm, .version = report.armed},
            now);
    }
    if (armed)
        return;
    // The map in force under a new version: nothing is copied, and every older order is void.
    group.map = presentMap(group, profile);
    if (group.map.empty())
        return;
    group.base.clear();
    group.version = newVersion(group, versionHint);
    group.heldBefore = true;
    enter(group, SwitchPhase::Preparing, now);
}

void advanceReleasing(GroupSwitch &group, const SwitchTiming &timing, SwitchStep &step,
                      TimePoint now)
{
    const RankReport &holder = group.ranks.at(group.holder).status.report;
    // Another pass may be held by then: an order to hold that was believed lost can be carried out
    // after the switch. The group is then done with this one and finds itself held by nobody.
    if (holder.heldStep == group.step) {
        ask(group, step, timing, group.holder, {.kind = RankOrderKind::Go, .step = group.step},
            now);
        return;
    }
    const bool done = std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
        return entry.second.status.report.map == group.version;
    });
    if (!done)
        return;
    step.note = SwitchNote::InForce;
    group.lastSwitchAt = now;
    enter(group, SwitchPhase::Idle, now);
}

} // namespace

void takeStatus(GroupSwitch &group, const ExpertProfile &profile, const RankStatus &status,
                TimePoint now)
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
    group.ranks[report.rank] = {status, now};
    group.ranks[report.rank].status.counts.clear();
    if (status.counts.empty())
        return;
    takeCounts(group.demand, profile, status.counts, now);
    ++group.countsSinceLook;
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
                         std::uint32_t leaderRank, std::uint64_t versionHint, TimePoint now)
{
    SwitchStep step;
    // Somebody else's hold must not last: whoever set it may be gone.
    const auto held = heldBy(group);
    const bool foreign = held
        && ((group.phase == SwitchPhase::Preparing && !group.heldBefore)
            || (group.phase == SwitchPhase::Holding && held->rank != group.holder));
    if (foreign && allKnown(group, timing, now))
        takeOver(group, *held, step, now);
    switch (group.phase) {
    case SwitchPhase::Idle:
        advanceIdle(group, profile, bounds, timing, versionHint, step, now);
        break;
    case SwitchPhase::Preparing:
        advancePreparing(group, timing, leaderRank, step, now);
        break;
    case SwitchPhase::Holding:
        advanceHolding(group, timing, step, now);
        break;
    case SwitchPhase::Arming:
        advanceArming(group, timing, step, now);
        break;
    case SwitchPhase::Unwinding:
        advanceUnwinding(group, profile, timing, versionHint, step, now);
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
