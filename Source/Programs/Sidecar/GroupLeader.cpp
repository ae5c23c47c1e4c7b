#include "Programs/Sidecar/GroupLeader.h"

#include <algorithm>
#include <utility>

#include "Programs/Sidecar/SidecarMetrics.h"
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
/// Interval between two polls of the ranks. A status stays current although one reply is lost.
constexpr milliseconds pollPeriod{200};
/// The same during a switch; sidecars also send each change on their own initiative. It is
/// multiplied by the number of engines divided by the number below, up to pollPeriod, because
/// decoding the replies uses up the leader's share of a core.
constexpr milliseconds pollPeriodSwitching{60};
constexpr std::size_t enginesPerPollPeriod = 16;
/// After this time without a message from a sidecar the leader reads the rank's state directly from
/// the engine: the rank beside a dead sidecar may hold the group.
constexpr milliseconds silenceTimeout{500};
/// Interval between two rounds of such reads; the platform charges for each read.
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
    engines_ = engines;
    profile_ = profile;
    const std::size_t bytes = encodedCountsBytes(std::size_t{profile.sets} * profile.expertsPerSet);
    const milliseconds gathered = aggregationTime(engines.size(), bytes, bandwidth_);
    timing_.countsWindow = gathered + countsLateness;
    countsPeriod_ = std::max(
        minCountsPeriod, std::chrono::duration_cast<milliseconds>(gathered * countsPeriodFraction));
}

void GroupLeader::applyStatus(const RankStatus &status, TimePoint now)
{
    lastReceivedAt_[status.engine] = now;
    if (status.report.group.empty())
        return;
    wisteria::applyStatus(groups_[status.report.group], status, now);
}

void GroupLeader::applyCounts(const CountsReply &reply, TimePoint now)
{
    const auto group = groups_.find(reply.group);
    if (group == groups_.end())
        return;
    addDemand(group->second, profile_, timing_, reply, now);
}

void GroupLeader::runDueWork(TimePoint now)
{
    if (leadingSince_ == TimePoint())
        leadingSince_ = now;
    poll(now);
    readSilentRanks(now);
    decide(now);
}

void GroupLeader::decide(TimePoint now)
{
    for (auto &[name, group] : groups_)
        advance(group, now);
}

void GroupLeader::stop()
{
    for (auto &[name, group] : groups_)
        resetSwitch(group);
    lastReceivedAt_.clear();
    leadingSince_ = TimePoint();
}

void GroupLeader::poll(TimePoint now)
{
    pollRanks(now);
    if (now - requestedCountsAt_ < countsPeriod_)
        return;
    requestedCountsAt_ = now;
    transport_.requestCounts(mostRecentFirst(engines_));
}

milliseconds GroupLeader::rankPollPeriod() const
{
    const bool busy = std::any_of(groups_.begin(), groups_.end(),
                                  [](const auto &entry) { return isSwitching(entry.second); });
    if (!busy)
        return pollPeriod;
    const auto periodFactor = static_cast<int>(engines_.size() / enginesPerPollPeriod);
    return std::min(pollPeriodSwitching * std::max(1, periodFactor), pollPeriod);
}

void GroupLeader::pollRanks(TimePoint now)
{
    if (now - polledRanksAt_ < rankPollPeriod())
        return;
    polledRanksAt_ = now;
    RankPoll poll;
    for (const auto &[name, group] : groups_) {
        const std::vector<std::uint64_t> known = knownMaps(group);
        poll.knownMaps.insert(poll.knownMaps.end(), known.begin(), known.end());
    }
    transport_.sendAll(engines_, poll);
}

/// Sorts the engines by the time of the last message, newest first: the first ones are chosen as
/// relays, so they should be alive.
std::vector<Endpoint> GroupLeader::mostRecentFirst(std::vector<Endpoint> engines) const
{
    const auto lastReceivedAt = [this](const Endpoint &engine) {
        const auto found = lastReceivedAt_.find(engine);
        return found == lastReceivedAt_.end() ? TimePoint() : found->second;
    };
    std::stable_sort(engines.begin(), engines.end(),
                     [&lastReceivedAt](const Endpoint &a, const Endpoint &b) {
                         return lastReceivedAt(a) > lastReceivedAt(b);
                     });
    return engines;
}

void GroupLeader::advance(GroupSwitch &group, TimePoint now)
{
    const auto own =
        std::find_if(group.ranks.begin(), group.ranks.end(), [this](const auto &entry) {
            return entry.second.status.engine == ownEngine_;
        });
    // The leader's own rank determines its version numbers and which rank holds the group, so
    // nothing is decided without it.
    if (own == group.ranks.end())
        return;
    const SwitchUpdate update =
        advanceSwitch(group, profile_, bounds_, timing_,
                      {.rank = own->first, .versionTick = versionTickNow()}, now);
    if (update.event != SwitchEvent::Nothing)
        logEvent(group, update.event, now);
    executeActions(group.group, update.actions);
}

void GroupLeader::executeActions(const std::string &name, const std::vector<SwitchAction> &actions)
{
    std::vector<Batch> batches;
    for (const SwitchAction &action : actions) {
        if (action.direct) {
            orderDirectly(name, action);
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
        transport_.sendAll(mostRecentFirst(batch.engines), commandFor(name, *batch.first));
}

void GroupLeader::orderDirectly(const std::string &name, const SwitchAction &action)
{
    log_.info("map.direct_order",
              {{"group", name},
               {"kind", orderName(action.order.kind)},
               {"rank", action.rank},
               {"version", action.order.version},
               {"step", action.order.pass}});
    const RankOrder order = commandFor(name, action).order;
    engineClient_.sendOrder(action.engine, order, [this, name, action](Result<void> result) {
        const auto group = groups_.find(name);
        if (result.has_error()) {
            log_.info("map.direct_order_failed",
                      {{"rank", action.rank}, {"reason", result.error().message}});
            return;
        }
        if (group == groups_.end())
            return;
        noteOrderDone(group->second, action.rank, action.order, monotonicNow());
    });
}

RankCommand GroupLeader::commandFor(const std::string &name, const SwitchAction &action) const
{
    RankCommand command{.order = action.order};
    if (action.order.kind != RankOrderKind::Prepare)
        return command;
    const GroupSwitch &group = groups_.at(name);
    if (action.asChanges) {
        command.base = group.baseVersion;
        command.changes = changesBetween(group.base, group.map);
    } else {
        command.order.map = group.map;
    }
    return command;
}

void GroupLeader::readSilentRanks(TimePoint now)
{
    if (now - leadingSince_ < silenceTimeout || now - directReadRoundAt_ < directReadPeriod)
        return;
    directReadRoundAt_ = now;
    std::vector<Endpoint> silent = silentEngines(now);
    noteReachability(silent.size());
    const std::size_t readCount = std::min(silent.size(), maxDirectReads);
    // The least recently read come first, so that engines that never answer don't block the others.
    const auto readEarlier = [this](const Endpoint &a, const Endpoint &b) {
        return readDirectlyAt_[a] < readDirectlyAt_[b];
    };
    std::stable_sort(silent.begin(), silent.end(), readEarlier);
    for (std::size_t i = 0; i < readCount; ++i) {
        readDirectlyAt_[silent[i]] = now;
        readDirectly(silent[i]);
    }
}

std::vector<Endpoint> GroupLeader::silentEngines(TimePoint now) const
{
    std::vector<Endpoint> silent;
    for (const Endpoint &engine : engines_) {
        const auto received = lastReceivedAt_.find(engine);
        if (received == lastReceivedAt_.end() || now - received->second > silenceTimeout)
            silent.push_back(engine);
    }
    return silent;
}

/// Logs when more than half of the sidecars become silent, and when they no longer are. While they
/// are, the leader's own link or processor is overloaded, or all other sidecars have stopped.
void GroupLeader::noteReachability(std::size_t silent)
{
    const bool isolated = silent > engines_.size() / 2;
    if (isolated == isolated_)
        return;
    isolated_ = isolated;
    log_.warn(isolated ? "leader.out_of_touch" : "leader.in_touch",
              {{"members", engines_.size()}, {"silent", silent}});
}

void GroupLeader::readDirectly(const Endpoint &engine)
{
    engineClient_.readReport(engine, [this, engine](Result<RankReport> report) {
        if (report.has_error()) {
            log_.info("engine.no_report",
                      {{"engine", toText(engine)}, {"reason", report.error().message}});
            return;
        }
        RankStatus status{.engine = engine, .report = report.value()};
        const auto group = groups_.find(status.report.group);
        if (group == groups_.end())
            return;
        const auto known = group->second.ranks.find(status.report.rank);
        const bool expertsKnown = known != group->second.ranks.end()
            && known->second.status.report.map == status.report.map
            && !known->second.status.experts.empty();
        if (!expertsKnown) {
            readExpertsDirectly(std::move(status));
            return;
        }
        // The read time is of the other VM's clock, which is unknown here. The previous one lets
        // the sidecar's next status replace this one.
        status.readAtMilliseconds = known->second.status.readAtMilliseconds;
        status.experts = known->second.status.experts;
        wisteria::applyStatus(group->second, status, monotonicNow());
    });
}

void GroupLeader::readExpertsDirectly(RankStatus status)
{
    const Endpoint engine = status.engine;
    engineClient_.readExperts(
        engine, [this, engine, status = std::move(status)](auto experts) mutable {
            const auto group = groups_.find(status.report.group);
            if (experts.has_error()) {
                log_.info("engine.no_experts",
                          {{"engine", toText(engine)}, {"reason", experts.error().message}});
                return;
            }
            if (group == groups_.end())
                return;
            status.experts = experts.value();
            wisteria::applyStatus(group->second, status, monotonicNow());
        });
}

void GroupLeader::logEvent(const GroupSwitch &group, SwitchEvent event, TimePoint now)
{
    countSwitchEvent(metrics_, group, event, now);
    LogFields fields = {{"group", group.group},
                        {"note", eventText(event)},
                        {"phase", phaseName(group.phase)},
                        {"epoch", group.epoch},
                        {"version", group.version},
                        {"step", group.pass},
                        {"skew_before", group.proposal.skewBefore},
                        {"skew_after", group.proposal.skewAfter},
                        {"loads", group.proposal.copies},
                        {"searched_terms", group.proposal.searchedTerms},
                        {"preparing_ms", phaseTime(group, SwitchPhase::Preparing)},
                        {"holding_ms", phaseTime(group, SwitchPhase::Holding)},
                        {"arming_ms", phaseTime(group, SwitchPhase::Arming)},
                        {"releasing_ms", phaseTime(group, SwitchPhase::Releasing)}};
    if (group.demandShiftedAt)
        fields["since_shift_ms"] = remaining(*group.demandShiftedAt, now).count();
    log_.info("map.switch", fields);
}

} // namespace wisteria
