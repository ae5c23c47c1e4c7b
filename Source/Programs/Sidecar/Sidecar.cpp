#include "Programs/Sidecar/Sidecar.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "Connection/DatagramSocket.h"
#include "Connection/MetricsServer.h"
#include "Process/EventLog.h"
#include "Process/ShutdownSignal.h"
#include "Programs/Sidecar/EngineClient.h"
#include "Programs/Sidecar/GroupLeader.h"
#include "Programs/Sidecar/RankOrderExecutor.h"
#include "Programs/Sidecar/SidecarMetrics.h"
#include "Version/CountsAggregation.h"
#include "Version/EngineListCache.h"
#include "Version/LeaderElection.h"
#include "Version/RelayPlan.h"
#include "Version/SentLoad.h"

namespace wisteria {

namespace {

/// Interval of runPeriodicWork().
constexpr milliseconds workInterval{25};
/// Interval between two reads of the engine's report.
constexpr milliseconds reportPeriod{loadReportInterval};
/// The same for a while after an order: the rank takes part in a switch of expert maps.
constexpr milliseconds reportPeriodAfterOrder{25};
/// A gateway gets no more load reports after this time without a hello from it, which is longer
/// than three of its hello intervals.
constexpr milliseconds gatewayTimeout{2000};
/// Time for which the leader collects messages before it decides.
constexpr milliseconds decisionDelay{2};
/// Time after an order during which the report is read at the shorter interval.
constexpr milliseconds frequentReportsAfterOrder{400};

/// Whether two reports have the same epoch, versions, hold and openness. Changes of passes and
/// slowdown cause no additional status.
bool sameSwitchState(const RankReport &a, const RankReport &b)
{
    return a.epoch == b.epoch && a.map == b.map && a.prepared == b.prepared && a.armed == b.armed
        && a.heldPass == b.heldPass && a.groupOpen == b.groupOpen;
}

} // namespace

class Sidecar::Private
{
public:
    Private(platform::ProcessSettings settings, const LogSettings &log)
        : settings_(std::move(settings)),
          shutdown_(
              loop_, [this] { loop_.stop(); }, [this] { reload(); }),
          log_(settings_.vmName, log), pool_(loop_), engineClient_(pool_),
          socket_(loop_,
                  [this](const Endpoint &from, std::string_view bytes) { receive(from, bytes); }),
          metricsListener_(loop_, [this](const HttpRequest &request) {
              return answerScraper(request, [this] { return metricsText(); });
          })
    { }

    Result<void> run()
    {
        BOOST_OUTCOME_TRYV(Sidecar::check(settings_));
        engine_ = *settings_.engineEndpoint;
        port_ = settings_.firstInternalPort;
        bandwidth_ = linkBandwidthOf(settings_.linkMegabitsPerSecond);
        BOOST_OUTCOME_TRYV(socket_.open({settings_.vmAddress.ip, port_}));
        if (settings_.metricsEndpoint) {
            BOOST_OUTCOME_TRYV(metricsListener_.listen(*settings_.metricsEndpoint));
        }
        election_.listeningSince = monotonicNow();
        leader_ = std::make_unique<GroupLeader>(
            engineClient_, log_, metrics_,
            LeaderTransport{
                .sendAll = [this](const std::vector<Endpoint> &engines,
                                  const GroupMessage &message) { sendToAll(engines, message); },
                .requestCounts =
                    [this](const std::vector<Endpoint> &engines) { requestCounts(engines); }},
            bandwidth_, engine_);
        orderExecutor_ = std::make_unique<RankOrderExecutor>(engineClient_, log_, metrics_, engine_,
                                                             [this] { readReport(); });
        log_.info("process.start", {{"engine", toText(engine_)}, {"port", port_}});
        readReport();
        schedulePeriodicWork();
        loop_.run();
        log_.info("process.stop", {{"leading", leading_}});
        return boost::outcome_v2::success();
    }

private:
    std::string metricsText()
    {
        SidecarState state{.reportAge = remaining(appliedReadBegunAt_, monotonicNow()),
                           .leading = leading_,
                           .gateways = gateways_.size(),
                           .droppedLogLines = log_.droppedLines()};
        if (status_)
            state.report = status_->report;
        setSidecarState(metrics_, state);
        return metrics_.text();
    }

    /// Handles SIGHUP: only logs it, because a sidecar can't change its settings while it runs.
    void reload() { log_.info("process.reload", {{"engine", toText(engine_)}}); }

    void schedulePeriodicWork()
    {
        loop_.runAfter(workInterval, [this] {
            runPeriodicWork(monotonicNow());
            schedulePeriodicWork();
        });
    }

    void runPeriodicWork(TimePoint now)
    {
        engineClient_.checkTimeouts(now);
        pool_.closeExpired(now);
        const bool frequent = now < frequentReportsUntil_;
        if (!readingReport_
            && now - readBegunAt_ >= (frequent ? reportPeriodAfterOrder : reportPeriod))
            readReport();
        std::erase_if(gateways_,
                      [now](const auto &entry) { return now - entry.second > gatewayTimeout; });
        sendDueCounts(now);
        updateLeadership(now);
    }

    /// Starts or stops leading by the result of the election, then runs the leader's due work.
    void updateLeadership(TimePoint now)
    {
        const auto position = std::find(engines().begin(), engines().end(), engine_);
        const bool shouldLead = position != engines().end()
            && isLeader(election_, static_cast<std::size_t>(position - engines().begin()), now);
        if (shouldLead != leading_)
            log_.info(shouldLead ? "leader.begin" : "leader.end", {{"members", engines().size()}});
        if (leading_ && !shouldLead)
            leader_->stop();
        leading_ = shouldLead;
        if (leading_)
            leader_->runDueWork(now);
    }

    void readReport()
    {
        readingReport_ = true;
        readBegunAt_ = monotonicNow();
        engineClient_.readReport(engine_,
                                 [this, begunAt = readBegunAt_](Result<RankReport> report) {
                                     readingReport_ = false;
                                     if (report.has_error()) {
                                         noteEngineState(false, report.error().message);
                                         sendLoad(unavailableLoad());
                                         return;
                                     }
                                     noteEngineState(true, "");
                                     applyReport(report.value(), begunAt);
                                 });
    }

    /// Logs when the engine stops or resumes answering.
    void noteEngineState(bool answers, const std::string &reason)
    {
        if (answers == engineAnswers_)
            return;
        engineAnswers_ = answers;
        log_.info(answers ? "engine.regained" : "engine.lost", {{"reason", reason}});
    }

    /// Stores a report, sends the load to the gateways when it is due, and sends a status to the
    /// leader when the switch state or the accepted version has changed.
    /// @param begunAt When the read began. Two reads may complete out of order; the one that began
    /// first is then dropped, as it may show the rank's state before an order.
    void applyReport(const RankReport &report, TimePoint begunAt)
    {
        if (begunAt < appliedReadBegunAt_)
            return;
        appliedReadBegunAt_ = begunAt;
        noteHold(election_, report.heldPass.has_value(), begunAt);
        const bool changed = !status_ || !sameSwitchState(status_->report, report)
            || status_->accepted != orderExecutor_->acceptedVersion();
        const bool expertsOutdated = !status_ || status_->report.map != report.map
            || status_->report.epoch != report.epoch || status_->experts.empty();
        RankStatus status{
            .engine = engine_, .report = report, .accepted = orderExecutor_->acceptedVersion()};
        status.readAtMilliseconds = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(begunAt.time_since_epoch()).count());
        orderExecutor_->noteInForce(report.map);
        status.mapKnown = orderExecutor_->hasMapOf(report.map, profile());
        if (!expertsOutdated)
            status.experts = status_->experts;
        status_ = status;
        sendLoad(loadFrom(report));
        if (expertsOutdated && report.groupSize > 0 && !readingExperts_)
            readExperts(report);
        if (changed)
            sendStatusToLeader(status);
    }

    /// Reads the experts of a report's map. Drops the result when the map has changed meanwhile.
    void readExperts(const RankReport &report)
    {
        readingExperts_ = true;
        engineClient_.readExperts(engine_, [this, report](auto experts) {
            readingExperts_ = false;
            const bool same = status_ && status_->report.map == report.map
                && status_->report.epoch == report.epoch;
            if (experts.has_error() || !same)
                return;
            status_->experts = experts.value();
            if (!leaderHasMap(report.map))
                sendStatusToLeader(*status_);
        });
    }

    EngineLoad loadFrom(const RankReport &report) const
    {
        return {.engine = engine_,
                .running = report.running,
                .waiting = report.waiting,
                .slowdown = report.slowdown,
                .open = report.groupOpen || report.groupSize == 0,
                .gateways = static_cast<std::uint32_t>(gateways_.size())};
    }

    /// The load reported for an engine that does not answer, such as one that is starting.
    EngineLoad unavailableLoad() const
    {
        return {.engine = engine_,
                .open = false,
                .gateways = static_cast<std::uint32_t>(gateways_.size())};
    }

    /// Sends the engine's load to all gateways when it is due.
    void sendLoad(const EngineLoad &load)
    {
        const TimePoint now = monotonicNow();
        if (!shouldReport(sentLoad_, load, now))
            return;
        sentLoad_ = {.load = load, .sentAt = now};
        const std::string bytes = encodeMessage(load);
        for (const auto &[gateway, receivedAt] : gateways_)
            socket_.send(gateway, bytes);
    }

    /// Applies the status here when this sidecar leads; otherwise sends it to the last known
    /// leader.
    void sendStatusToLeader(const RankStatus &status)
    {
        if (leading_)
            applyAsLeader(status);
        else if (leaderAddress_)
            sendStatus(*leaderAddress_, status);
    }

    /// Sends a status. Leaves out the experts when the leader has the whole map, which contains
    /// them.
    void sendStatus(const Endpoint &leader, RankStatus status)
    {
        if (leaderHasMap(status.report.map))
            status.experts.clear();
        socket_.send(leader, encodeMessage(status));
    }

    bool leaderHasMap(std::uint64_t version) const
    {
        return std::find(leaderMaps_.begin(), leaderMaps_.end(), version) != leaderMaps_.end();
    }

    void applyAsLeader(const RankStatus &status)
    {
        leader_->applyStatus(status, monotonicNow());
        decideSoon();
    }

    void applyAsLeader(const CountsReply &reply)
    {
        leader_->applyCounts(reply, monotonicNow());
        decideSoon();
    }

    /// Schedules one decision for all messages that arrive at about the same time: each decision
    /// visits all ranks, and the replies of all ranks arrive together.
    void decideSoon()
    {
        if (decidingSoon_)
            return;
        decidingSoon_ = true;
        loop_.runAfter(decisionDelay, [this] {
            decidingSoon_ = false;
            if (leading_)
                leader_->decide(monotonicNow());
        });
    }

    /// Sends one message to the sidecars beside many engines, and handles it here without the
    /// network when this sidecar is among them. It is encoded once: to encode a map for each rank
    /// would take the leader of a large group seconds.
    void sendToAll(const std::vector<Endpoint> &engines, const GroupMessage &message)
    {
        const std::string bytes = encodeMessage(message);
        std::vector<Endpoint> others;
        for (const Endpoint &engine : engines) {
            if (engine == engine_)
                loop_.defer([this, message] { handle({engine_.ip, port_}, message); });
            else
                others.push_back(engine);
        }
        relay(others, bytes);
    }

    /// Sends an encoded message to sidecars, through relays when copies for all receivers would
    /// occupy this VM's link for too long.
    void relay(const std::vector<Endpoint> &engines, const std::string &bytes)
    {
        for (const RelayBranch &branch : relayPlan(engines, bytes.size(), bandwidth_)) {
            const std::string datagram =
                branch.rest.empty() ? bytes : encodeMessage(RelayedMessage{branch.rest, bytes});
            socket_.send({branch.first.ip, port_}, datagram);
        }
    }

    /// Forwards a relayed message and handles it as a message from the sender of the datagram.
    void apply(const Endpoint &from, const RelayedMessage &relayed)
    {
        const auto message = decodeMessage(relayed.message);
        if (message.has_error() || std::holds_alternative<RelayedMessage>(message.value())) {
            log_.warn("message.refused",
                      {{"from", toText(from)}, {"reason", "a relayed message can't be used"}});
            return;
        }
        relay(relayed.engines, relayed.message);
        handle(from, message.value());
    }

    void receive(const Endpoint &from, std::string_view bytes)
    {
        auto message = decodeMessage(bytes);
        if (message.has_error()) {
            log_.warn("message.refused",
                      {{"from", toText(from)}, {"reason", message.error().message}});
            return;
        }
        handle(from, message.value());
    }

    void handle(const Endpoint &from, const GroupMessage &message)
    {
        std::visit([this, &from](const auto &fields) { apply(from, fields); }, message);
    }

    /// Records that the gateway is alive, sends the load to a new one, and requests the engine list
    /// when the hello names another one.
    void apply(const Endpoint &from, const GatewayHello &hello)
    {
        const bool isNew = gateways_.insert_or_assign(from, monotonicNow()).second;
        // A new gateway treats this rank as closed until the first load report, but only for a
        // short time; then it sends requests even if the group is closed.
        if (isNew && !engineAnswers_)
            socket_.send(from, encodeMessage(unavailableLoad()));
        else if (isNew && status_)
            socket_.send(from, encodeMessage(loadFrom(status_->report)));
        if (!shouldRequestList(listCache_, hello.listDigest, monotonicNow()))
            return;
        noteListRequested(listCache_, monotonicNow());
        socket_.send(from, encodeMessage(EngineListRequest{}));
    }

    /// Sent by sidecars only.
    void apply(const Endpoint &, const EngineListRequest &) { }

    void apply(const Endpoint &, const EngineList &list)
    {
        const bool wasListed = isListed();
        setList(listCache_, list);
        // A newly listed sidecar waits for polls of a current leader before it may lead.
        if (!wasListed && isListed())
            election_.listeningSince = monotonicNow();
        leader_->setEngines(listCache_.list.engines, listCache_.list.profile);
    }

    /// The engine list of the service, whose sidecars are the candidates for leader.
    const std::vector<Endpoint> &engines() const { return listCache_.list.engines; }

    const ExpertProfile &profile() const { return listCache_.list.profile; }

    bool isListed() const
    {
        return std::binary_search(engines().begin(), engines().end(), engine_);
    }

    /// Sent by sidecars to gateways only.
    void apply(const Endpoint &, const EngineLoad &) { }

    /// Sent between gateways only, like the reply below.
    void apply(const Endpoint &, const PermitRequestMessage &) { }

    void apply(const Endpoint &, const PermitReplyMessage &) { }

    void apply(const Endpoint &from, const RankPoll &poll)
    {
        const TimePoint now = monotonicNow();
        // The engine list is sorted by address, and the first live sidecar in it leads.
        const bool own = from.ip == engine_.ip;
        if (!own && from.ip < engine_.ip)
            noteHigherPriorityLeader(election_, now);
        if (!own) {
            noteLeaderPoll(election_, now);
            leaderAddress_ = from;
        }
        if (!status_)
            return;
        leaderMaps_ = poll.knownMaps;
        if (own)
            applyAsLeader(*status_);
        else
            sendStatus(from, *status_);
    }

    /// Requests the counts of the engines' ranks, in as many sums as fit the link's bandwidth.
    void requestCounts(const std::vector<Endpoint> &engines)
    {
        std::vector<Endpoint> others = engines;
        std::erase(others, engine_);
        sendTo(engine_, CountsPoll{});
        requestFromBranches(others);
    }

    /// @return Number of sidecars that were asked for one sum each.
    std::size_t requestFromBranches(const std::vector<Endpoint> &engines)
    {
        const auto plan = relayPlan(engines, countsBytes(), bandwidth_);
        for (const RelayBranch &branch : plan)
            sendTo(branch.first, CountsPoll{branch.rest});
        return plan.size();
    }

    /// Size of one reply with the counts of all experts.
    std::size_t countsBytes() const
    {
        return encodedCountsBytes(std::size_t{profile().sets} * profile().expertsPerSet);
    }

    /// Sends to the sidecar beside an engine, or handles the message here without the network.
    void sendTo(const Endpoint &engine, const GroupMessage &message)
    {
        if (engine == engine_)
            loop_.defer([this, message] { handle({engine_.ip, port_}, message); });
        else
            socket_.send({engine.ip, port_}, encodeMessage(message));
    }

    /// Begins an aggregation: requests the counts of the poll's engines and reads those of the own
    /// engine.
    void apply(const Endpoint &from, const CountsPoll &poll)
    {
        // Ends an earlier aggregation for the same requester; replies that it still lacks are added
        // to the new one.
        for (CountsAggregation &earlier : aggregations_) {
            if (earlier.requester == from)
                earlier.awaited = 0;
        }
        sendDueCounts(monotonicNow());
        const std::size_t branches = requestFromBranches(poll.engines);
        aggregations_.push_back(
            {.requester = from,
             .since = monotonicNow(),
             .timeout = aggregationTime(poll.engines.size(), countsBytes(), bandwidth_),
             .awaited = branches + 1,
             .sum = {}});
        engineClient_.readCounts(engine_, [this, from](Result<ExpertCounts> counts) {
            if (counts.has_error() || !status_)
                return;
            CountsReply reply{.group = status_->report.group,
                              .epoch = counts.value().epoch,
                              .ranks = 1,
                              .passes = counts.value().pass
                                  - std::min(counts.value().pass, counts_.pass)};
            if (reply.passes > 0)
                reply.counts = countsSince(counts_.counts, counts.value().counts);
            counts_ = std::move(counts.value());
            addToAggregation(from, reply);
        });
    }

    /// Applies the counts as the leader, or adds them to the oldest aggregation in progress.
    void apply(const Endpoint &, const CountsReply &reply)
    {
        if (leading_)
            applyAsLeader(reply);
        else if (!aggregations_.empty())
            addToAggregation(aggregations_.front().requester, reply);
    }

    void addToAggregation(const Endpoint &requester, const CountsReply &reply)
    {
        const auto found = std::find_if(aggregations_.begin(), aggregations_.end(),
                                        [&requester](const CountsAggregation &aggregation) {
                                            return aggregation.requester == requester;
                                        });
        if (found == aggregations_.end())
            return;
        addCounts(*found, reply);
        sendDueCounts(monotonicNow());
    }

    /// Sends the sums of aggregations that are complete or whose timeout has passed.
    void sendDueCounts(TimePoint now)
    {
        for (const CountsAggregation &aggregation : extractDue(aggregations_, now)) {
            if (aggregation.sum.ranks > 0)
                sendCounts(aggregation);
        }
    }

    void sendCounts(const CountsAggregation &aggregation)
    {
        if (aggregation.requester.ip != engine_.ip)
            socket_.send(aggregation.requester, encodeMessage(aggregation.sum));
        else if (leading_)
            applyAsLeader(aggregation.sum);
    }

    void apply(const Endpoint &, const RankStatus &status)
    {
        if (leading_)
            applyAsLeader(status);
    }

    void apply(const Endpoint &from, const RankCommand &command)
    {
        const TimePoint now = monotonicNow();
        frequentReportsUntil_ = now + frequentReportsAfterOrder;
        const std::size_t groupSize = status_ ? status_->report.groupSize : 0;
        orderExecutor_->execute(command, from, profile(), groupSize);
    }

    platform::ProcessSettings settings_;
    EventLoop loop_;
    /// Constructed before any member that starts a thread, such as the log; see ShutdownSignal.
    ShutdownSignal shutdown_;
    EventLog log_;
    Metrics metrics_;
    HttpClientPool pool_;
    EngineClient engineClient_;
    DatagramSocket socket_;
    StatusListener metricsListener_;
    std::unique_ptr<GroupLeader> leader_;
    std::unique_ptr<RankOrderExecutor> orderExecutor_;
    Endpoint engine_;
    std::uint16_t port_ = 0;
    LinkBandwidth bandwidth_;
    std::optional<RankStatus> status_;
    /// Whether the last read of the engine's report succeeded.
    bool engineAnswers_ = true;
    bool readingReport_ = false;
    bool readingExperts_ = false;
    TimePoint readBegunAt_;
    /// When the read of the applied report began.
    TimePoint appliedReadBegunAt_;
    TimePoint frequentReportsUntil_;
    /// Aggregations of counts that are in progress, the oldest first.
    std::vector<CountsAggregation> aggregations_;
    /// When each gateway's last hello arrived.
    std::map<Endpoint, TimePoint> gateways_;
    SentLoad sentLoad_;
    EngineListCache listCache_;
    LeaderElection election_;
    bool leading_ = false;
    bool decidingSoon_ = false;
    /// Sender of the last RankPoll from another sidecar. Polls are small enough to arrive directly,
    /// not through a relay.
    std::optional<Endpoint> leaderAddress_;
    /// Versions of maps that the leader has whole, by its last poll.
    std::vector<std::uint64_t> leaderMaps_;
    /// The engine's expert counts as last read; a reply holds the difference to them.
    ExpertCounts counts_;
};

Result<void> Sidecar::check(const platform::ProcessSettings &settings)
{
    return platform::checkSidecarSettings(settings);
}

Sidecar::Sidecar(platform::ProcessSettings settings, const LogSettings &log)
    : private_(std::make_unique<Private>(std::move(settings), log))
{ }

Sidecar::~Sidecar() = default;

Result<void> Sidecar::run()
{
    return private_->run();
}

} // namespace wisteria
