#include "Programs/Sidecar/GroupLeader.h"

#include <algorithm>
#include <utility>

#include "Programs/Sidecar/SidecarMetrics.h"
#include "Version/CountsEncoding.h"
#include "Version/GroupDemand.h"
#include "Version/GroupQueries.h"

namespace wisteria {

namespace {

/// Minimum interval between two requests for the ranks' counts. A shift of demand is detected up to
/// an interval later, which costs each running stream one late event. Requests continue during a
/// switch, because a sum of counts from before and after a shift leads to a map that fits neither.
constexpr milliseconds minCountsPeriod{50};
/// The interval is at least this fraction of the estimated time in which the replies of all ranks
/// arrive: a request that overtakes the one before splits its replies into two sums.
constexpr double countsPeriodFraction = 0.75;
/// Allowance for replies to one request that arrive later than estimated.
constexpr milliseconds countsLateness{10};
/// Interval between two rounds of direct reads of silent ranks; the platform charges for each read.
constexpr milliseconds directReadPeriod{400};
/// Engines that are read in one round. A leader that is itself overloaded considers all others
/// silent: connections to each of them can keep it busy for a second, and few are answered in time.
constexpr std::size_t maxDirectReads = 8;
/// Ticks of map versions count tenths of a second since this Unix time. A version is made of the
/// tick and the leader's rank, and stays below 2^53 for millennia, so that JSON numbers represent
/// it exactly.
constexpr seconds versionTickOrigin{1'700'000'000};
constexpr milliseconds versionTick{100};

std::uint64_t versionTickNow()
{
    const auto since = wallNow().time_since_epoch() - versionTickOrigin;
    return since > milliseconds(0) ? static_cast<std::uint64_t>(since / versionTick) : 1;
}

/// Engines whose sidecars get the same message.
struct Batch
{
    const SwitchAction *first = nullptr;
    std::vector<Endpoint> engines;
};

bool sameMessage(const SwitchAction &a, const SwitchAction &b)
{
    return a.order.kind == b.order.kind && a.order.version == b.order.version
        && a.order.pass == b.order.pass && a.asChanges == b.asChanges;
}

/// Time that the current switch spent in a phase, up to its last change of phase, in milliseconds.
std::int64_t phaseTime(const GroupSwitch &group, SwitchPhase phase)
{
    return group.phaseTimes.at(static_cast<std::size_t>(phase)).count();
}

} // namespace

GroupLeader::GroupLeader(EngineClient &engineClient, EventLog &log, Metrics &metrics,
                         LeaderTransport transport, const LinkBandwidth &bandwidth,
                         Endpoint ownEngine)
    : engineClient_(engineClient), log_(log), metrics_(metrics), transport_(std::move(transport)),
      bandwidth_(bandwidth), ownEngine_(ownEngine)
{ }

void GroupLeader::setEngines(const std::vector<Endpoint> &engines, const ExpertProfile &profile)
{
    wisteria::setEngines(members_, engines);
    std::erase_if(readDirectlyAt_,
                  [this](const auto &read) { return !members_.engines.contains(read.first); });
    profile_ = profile;
    // By the size of the whole service, so that more groups cause no more requests per engine.
    const milliseconds gathered = aggregationTime(engines.size(), countsBytes(), bandwidth_);
    countsPeriod_ = std::max(
        minCountsPeriod, std::chrono::duration_cast<milliseconds>(gathered * countsPeriodFraction));
}

std::size_t GroupLeader::countsBytes() const
{
    return encodedCountsBytes(std::size_t{profile_.sets} * profile_.expertsPerSet);
}

void GroupLeader::lead(const std::string &group, std::uint32_t rank)
{
    if (leading_ && group_.group != group)
        stop();
    rank_ = rank;
    if (leading_)
        return;
    leading_ = true;
    if (group_.group != group)
        group_ = GroupSwitch{.group = group};
    resetMembers(members_, group);
    logLeading("leader.begin");
}

void GroupLeader::stop()
{
    if (!leading_)
        return;
    logLeading("leader.end");
    leading_ = false;
    leadingSince_ = TimePoint();
    directReadRoundAt_ = TimePoint();
    readDirectlyAt_.clear();
    badExperts_.clear();
    isolated_ = false;
    resetSwitch(group_);
}

void GroupLeader::logLeading(const char *event) const
{
    log_.info(event,
              {{"group", group_.group}, {"rank", rank_}, {"members", members_.engines.size()}});
}

void GroupLeader::applyStatus(const RankStatus &status, TimePoint now)
{
    recordStatus(members_, status, now);
    if (status.report.group == group_.group)
        applyToGroup(status, now);
}

/// Applies a status of a rank of the group. Drops experts that the profile does not have, and logs
/// the first such status of a rank.
void GroupLeader::applyToGroup(RankStatus status, TimePoint now)
{
    const std::uint32_t rank = status.report.rank;
    const bool bad = !status.experts.empty() && !areExpertsOf(profile_, status.experts);
    if (!bad)
        badExperts_.erase(rank);
    else
        status.experts.clear();
    if (bad && badExperts_.insert(rank).second) {
        log_.warn("rank.bad_experts",
                  {{"group", group_.group},
                   {"rank", rank},
                   {"engine", toText(status.engine)},
                   {"reason",
                    "the service's profile does not have them; the group keeps its map until the "
                    "rank names others"}});
    }
    wisteria::applyStatus(group_, std::move(status), now);
}

void GroupLeader::applyCounts(const CountsReply &reply, TimePoint now)
{
    if (reply.group == group_.group)
        addDemand(group_, profile_, timing_, reply, now);
}

void GroupLeader::runDueWork(TimePoint now)
{
    if (leadingSince_ == TimePoint())
        leadingSince_ = now;
    pollRanks(now);
    pollCounts(now);
    readSilentRanks(now);
    decide(now);
}

void GroupLeader::pollRanks(TimePoint now)
{
    const milliseconds period = rankPollPeriod(members_.engines.size(), isSwitching(group_));
    const std::vector<Endpoint> engines =
        takeEnginesToPoll(members_, period, allRanksKnown(group_), now);
    if (engines.empty())
        return;
    transport_.sendAll(
        engines, RankPoll{.knownMaps = knownMaps(group_), .group = group_.group, .rank = rank_});
}

void GroupLeader::pollCounts(TimePoint now)
{
    if (now - requestedCountsAt_ < countsPeriod_)
        return;
    requestedCountsAt_ = now;
    // Relays add the counts up, and those of different groups must not be added.
    const std::vector<Endpoint> ranks = membersOf(members_);
    timing_.countsWindow =
        aggregationTime(ranks.size(), countsBytes(), bandwidth_) + countsLateness;
    transport_.requestCounts(mostRecentFirst(members_, ranks));
}

void GroupLeader::decide(TimePoint now)
{
    const auto own =
        std::find_if(group_.ranks.begin(), group_.ranks.end(), [this](const auto &entry) {
            return entry.second.status.engine == ownEngine_;
        });
    // The leader's own rank determines its version numbers and which rank holds the group, so
    // nothing is decided without it.
    if (own == group_.ranks.end())
        return;
    const SwitchUpdate update =
        advanceSwitch(group_, profile_, bounds_, timing_,
                      {.rank = own->first, .versionTick = versionTickNow()}, now);
    if (update.event != SwitchEvent::Nothing)
        logEvent(update.event, now);
    executeActions(update.actions);
}

void GroupLeader::executeActions(const std::vector<SwitchAction> &actions)
{
    std::vector<Batch> batches;
    for (const SwitchAction &action : actions) {
        if (action.direct) {
            orderDirectly(action);
            continue;
        }
        const auto same =
            std::find_if(batches.begin(), batches.end(), [&action](const Batch &batch) {
                return sameMessage(*batch.first, action);
            });
        Batch &batch = same != batches.end() ? *same : batches.emplace_back(Batch{&action, {}});
        batch.engines.push_back(action.engine);
    }
    for (const Batch &batch : batches)
        transport_.sendAll(mostRecentFirst(members_, batch.engines), commandFor(*batch.first));
}

void GroupLeader::orderDirectly(const SwitchAction &action)
{
    const std::string &name = group_.group;
    log_.info("map.direct_order",
              {{"group", name},
               {"kind", orderName(action.order.kind)},
               {"rank", action.rank},
               {"version", action.order.version},
               {"step", action.order.pass}});
    const RankOrder order = commandFor(action).order;
    engineClient_.sendOrder(action.engine, order, [this, name, action](Result<void> result) {
        if (result.has_error()) {
            log_.info("map.direct_order_failed",
                      {{"rank", action.rank}, {"reason", result.error().message}});
            return;
        }
        if (group_.group == name)
            noteOrderDone(group_, action.rank, action.order, monotonicNow());
    });
}

RankCommand GroupLeader::commandFor(const SwitchAction &action) const
{
    RankCommand command{.order = action.order, .group = group_.group};
    if (action.order.kind != RankOrderKind::Prepare)
        return command;
    if (action.asChanges) {
        command.base = group_.baseVersion;
        command.changes = changesBetween(group_.base, group_.map);
    } else {
        command.order.map = group_.map;
    }
    return command;
}

void GroupLeader::readSilentRanks(TimePoint now)
{
    if (now - leadingSince_ < silenceTimeout || now - directReadRoundAt_ < directReadPeriod)
        return;
    directReadRoundAt_ = now;
    std::vector<Endpoint> silent = silentEngines(members_, now);
    noteReachability(silent.size());
    const std::size_t readCount = std::min(silent.size(), maxDirectReads);
    // The least recently read come first, so that engines that never answer don't block the others.
    const auto lastReadAt = [this](const Endpoint &engine) {
        const auto found = readDirectlyAt_.find(engine);
        return found == readDirectlyAt_.end() ? TimePoint() : found->second;
    };
    const auto readEarlier = [&lastReadAt](const Endpoint &a, const Endpoint &b) {
        return lastReadAt(a) < lastReadAt(b);
    };
    std::stable_sort(silent.begin(), silent.end(), readEarlier);
    for (std::size_t i = 0; i < readCount; ++i) {
        readDirectlyAt_[silent[i]] = now;
        readDirectly(silent[i]);
    }
}

/// Logs when more than half of the sidecars become silent, and when they no longer are; those of
/// other groups don't count. While they are, the leader's own link or processor is overloaded, or
/// all other sidecars have stopped.
void GroupLeader::noteReachability(std::size_t silent)
{
    const bool isolated = silent > possibleMembers(members_) / 2;
    if (isolated == isolated_)
        return;
    isolated_ = isolated;
    log_.warn(isolated ? "leader.out_of_touch" : "leader.in_touch",
              {{"members", possibleMembers(members_)}, {"silent", silent}});
}

void GroupLeader::readDirectly(const Endpoint &engine)
{
    engineClient_.readReport(engine, [this, engine](Result<RankReport> report) {
        if (report.has_error()) {
            log_.info("engine.no_report",
                      {{"engine", toText(engine)}, {"reason", report.error().message}});
            return;
        }
        if (leading_)
            applyDirectReport(engine, report.value());
    });
}

/// Applies a report that was read from the engine, after reading its experts if they are unknown.
void GroupLeader::applyDirectReport(const Endpoint &engine, const RankReport &report)
{
    recordReport(members_, engine, report);
    if (report.group != group_.group)
        return;
    RankStatus status{.engine = engine, .report = report};
    const auto known = group_.ranks.find(report.rank);
    const bool expertsKnown = known != group_.ranks.end()
        && known->second.status.report.map == report.map && !known->second.status.experts.empty();
    if (!expertsKnown) {
        readExpertsDirectly(std::move(status));
        return;
    }
    // The read time is of the other VM's clock, which is unknown here. The previous one lets the
    // sidecar's next status replace this one.
    status.readAtMilliseconds = known->second.status.readAtMilliseconds;
    status.experts = known->second.status.experts;
    applyToGroup(std::move(status), monotonicNow());
}

void GroupLeader::readExpertsDirectly(RankStatus status)
{
    const Endpoint engine = status.engine;
    engineClient_.readExperts(
        engine, [this, engine, status = std::move(status)](auto experts) mutable {
            if (experts.has_error()) {
                log_.info("engine.no_experts",
                          {{"engine", toText(engine)}, {"reason", experts.error().message}});
                return;
            }
            if (!leading_ || status.report.group != group_.group)
                return;
            status.experts = experts.value();
            applyToGroup(std::move(status), monotonicNow());
        });
}

void GroupLeader::logEvent(SwitchEvent event, TimePoint now)
{
    countSwitchEvent(metrics_, group_, event, now);
    LogFields fields = {{"group", group_.group},
                        {"note", eventText(event)},
                        {"phase", phaseName(group_.phase)},
                        {"epoch", group_.epoch},
                        {"version", group_.version},
                        {"step", group_.pass},
                        {"preparing_ms", phaseTime(group_, SwitchPhase::Preparing)},
                        {"holding_ms", phaseTime(group_, SwitchPhase::Holding)},
                        {"arming_ms", phaseTime(group_, SwitchPhase::Arming)},
                        {"arming_own_rank_ms", group_.ownRankArmingTime.count()},
                        {"releasing_ms", phaseTime(group_, SwitchPhase::Releasing)}};
    if (hasProposal(group_)) {
        fields["skew_before"] = group_.proposal.skewBefore;
        fields["skew_after"] = group_.proposal.skewAfter;
        fields["loads"] = group_.proposal.copies;
        fields["searched_terms"] = group_.proposal.searchedTerms;
    }
    if (group_.demandShiftedAt)
        fields["since_shift_ms"] = remaining(*group_.demandShiftedAt, now).count();
    log_.info("map.switch", fields);
}

} // namespace wisteria
