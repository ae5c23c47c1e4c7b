#include "Programs/Sidecar/Sidecar.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "Connection/DatagramSocket.h"
#include "Connection/MetricsServer.h"
#include "Process/EventLog.h"
#include "Process/ShutdownSignal.h"
#include "Programs/Sidecar/CountsCollector.h"
#include "Programs/Sidecar/EngineClient.h"
#include "Programs/Sidecar/GroupLeader.h"
#include "Programs/Sidecar/LoadReporter.h"
#include "Programs/Sidecar/RankOrderExecutor.h"
#include "Programs/Sidecar/SidecarLink.h"
#include "Programs/Sidecar/SidecarMetrics.h"
#include "Version/EngineListCache.h"
#include "Version/LeaderElection.h"

namespace wisteria {

namespace {

/// Interval of runPeriodicWork().
constexpr milliseconds workInterval{25};
/// Interval between two reads of the engine's report.
constexpr milliseconds reportPeriod{loadReportInterval};
/// The same for a while after an order: the rank takes part in a switch of expert maps.
constexpr milliseconds reportPeriodAfterOrder{25};
/// Time for which the leader collects messages before it decides.
constexpr milliseconds decisionDelay{2};
/// Time after an order during which the report is read at the shorter interval.
constexpr milliseconds frequentReportsAfterOrder{400};

/// Why the experts that an engine reports are not used.
constexpr const char *otherProfileReason = "the engine names experts that its service's profile "
                                           "does not have; check the configuration and "
                                           "the engine's version";

/// Whether two reports are of the same group, epoch and map in force. Groups use the same epochs
/// and versions independently of each other.
bool sameMap(const RankReport &a, const RankReport &b)
{
    return a.group == b.group && a.epoch == b.epoch && a.map == b.map;
}

/// Whether two reports have the same map, prepared and armed versions, hold and openness. Changes
/// of passes and slowdown cause no additional status.
bool sameSwitchState(const RankReport &a, const RankReport &b)
{
    return sameMap(a, b) && a.prepared == b.prepared && a.armed == b.armed
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
        BOOST_OUTCOME_TRYV(socket_.open({settings_.vmAddress.ip, port_}));
        if (settings_.metricsEndpoint) {
            BOOST_OUTCOME_TRYV(metricsListener_.listen(*settings_.metricsEndpoint));
        }
        candidate_.election.listeningSince = monotonicNow();
        createComponents(linkBandwidthOf(settings_.linkMegabitsPerSecond));
        log_.info("process.start", {{"engine", toText(engine_)}, {"port", port_}});
        readReport();
        schedulePeriodicWork();
        loop_.run();
        log_.info("process.stop", {{"leading", leader_->leading()}});
        return boost::outcome_v2::success();
    }

private:
    void createComponents(const LinkBandwidth &bandwidth)
    {
        loads_ = std::make_unique<LoadReporter>(socket_, engine_);
        link_ = std::make_unique<SidecarLink>(
            loop_, socket_, bandwidth, Endpoint{engine_.ip, port_},
            [this](const Endpoint &from, const GroupMessage &message) { handle(from, message); });
        counts_ = std::make_unique<CountsCollector>(engineClient_, log_, *link_, bandwidth, engine_,
                                                    [this](const CountsReply &sum) {
                                                        if (leader_->leading())
                                                            applyAsLeader(sum);
                                                    });
        leader_ = std::make_unique<GroupLeader>(
            engineClient_, log_, metrics_,
            LeaderTransport{
                .sendAll =
                    [this](const std::vector<Endpoint> &engines, const GroupMessage &message) {
                        link_->sendToAll(engines, message);
                    },
                .requestCounts =
                    [this](const std::vector<Endpoint> &engines) {
                        counts_->requestCounts(engines);
                    }},
            bandwidth, engine_);
        orderExecutor_ = std::make_unique<RankOrderExecutor>(engineClient_, log_, metrics_, engine_,
                                                             [this] { readReport(); });
    }

    std::string metricsText()
    {
        SidecarState state{.reportAge = remaining(appliedReadBegunAt_, monotonicNow()),
                           .leading = leader_->leading(),
                           .gateways = loads_->gateways(),
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
        loads_->removeExpired(now);
        counts_->sendDue(now);
        updateLeadership(now);
        if (leader_->leading())
            leader_->runDueWork(now);
    }

    /// Starts or stops leading the own engine's group by the result of the election.
    void updateLeadership(TimePoint now)
    {
        if (isListed() && leadsGroup(candidate_, now))
            leader_->lead(candidate_.group, candidate_.rank);
        else
            leader_->stop();
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
                                         loads_->reportUnavailable(monotonicNow());
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
        noteOwnRank(report, begunAt);
        const bool changed = !status_ || !sameSwitchState(status_->report, report)
            || status_->accepted != orderExecutor_->acceptedVersion();
        const bool expertsOutdated = !status_ || !sameMap(status_->report, report)
            || status_->experts.empty() || !canBeOwn(status_->experts);
        RankStatus status{
            .engine = engine_, .report = report, .accepted = orderExecutor_->acceptedVersion()};
        status.readAtMilliseconds = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(begunAt.time_since_epoch()).count());
        orderExecutor_->noteInForce(report.map);
        status.mapKnown = orderExecutor_->hasMapOf(report.map, profile());
        if (!expertsOutdated)
            status.experts = status_->experts;
        status_ = status;
        loads_->report(report, monotonicNow());
        if (expertsOutdated && report.groupSize > 0 && !readingExperts_)
            readExperts(report);
        if (changed)
            sendStatusToLeader(status);
    }

    /// Records the engine's group and rank. What is known of the leader of another group is
    /// dropped.
    void noteOwnRank(const RankReport &report, TimePoint begunAt)
    {
        if (report.group != candidate_.group) {
            leaderAddress_.reset();
            leaderMaps_.clear();
            orderExecutor_->leaveGroup();
        }
        noteOwnReport(candidate_, report, begunAt, monotonicNow());
        counts_->setGroup(report.group);
        updateLeadership(monotonicNow());
    }

    /// Whether the own engine can have these experts, by the service's profile; true while that is
    /// unknown.
    bool canBeOwn(const std::vector<std::vector<std::uint32_t>> &experts) const
    {
        return profile().sets == 0 || areExpertsOf(profile(), experts);
    }

    /// Reads the experts of a report's map. Drops the result when the map has changed meanwhile.
    /// Logs the first failure after a success, because a failed read is repeated with each report.
    void readExperts(const RankReport &report)
    {
        readingExperts_ = true;
        engineClient_.readExperts(engine_, [this, report](auto experts) {
            readingExperts_ = false;
            if (experts.has_value() && !canBeOwn(experts.value()))
                experts = failure(ErrorKind::BadInput, otherProfileReason);
            if (experts.has_error() && !expertsReadFailed_) {
                log_.info("engine.no_experts",
                          {{"engine", toText(engine_)}, {"reason", experts.error().message}});
            }
            expertsReadFailed_ = experts.has_error();
            if (experts.has_error() || !status_ || !sameMap(status_->report, report))
                return;
            status_->experts = experts.value();
            if (!leaderHasMap(report.map))
                sendStatusToLeader(*status_);
        });
    }

    /// Applies the status here when this sidecar leads; otherwise sends it to the last known
    /// leader.
    void sendStatusToLeader(const RankStatus &status)
    {
        if (leader_->leading())
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
        link_->sendToAddress(leader, status);
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
            if (leader_->leading())
                leader_->decide(monotonicNow());
        });
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
        link_->relay(relayed.engines, relayed.message);
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
        loads_->noteHello(from, monotonicNow());
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
            candidate_.election.listeningSince = monotonicNow();
        counts_->setProfile(profile());
        leader_->setEngines(listCache_.list.engines, listCache_.list.profile);
    }

    /// The engine list of the service, in all its groups.
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
    void apply(const Endpoint &, const CrashReport &) { }
    void apply(const Endpoint &, const CompletionReport &) { }
    void apply(const Endpoint &, const GatewayPresence &) { }
    void apply(const Endpoint &, const ClaimMessage &) { }
    void apply(const Endpoint &, const CopyReport &) { }
    void apply(const Endpoint &, const EvidenceComplete &) { }
    void apply(const Endpoint &, const OrganisationIdReport &) { }

    void apply(const Endpoint &from, const RankPoll &poll)
    {
        if (!isOfOwnGroup(candidate_, poll)) {
            answerOtherGroup(from);
            return;
        }
        const bool own = from.ip == engine_.ip;
        if (!own) {
            notePoll(candidate_, poll, monotonicNow());
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

    /// Answers another group's leader, which only needs to know the group of this sidecar's engine.
    void answerOtherGroup(const Endpoint &leader)
    {
        if (!status_)
            return;
        RankStatus status = *status_;
        status.experts.clear();
        link_->sendToAddress(leader, status);
    }

    void apply(const Endpoint &from, const CountsPoll &poll)
    {
        counts_->beginAggregation(from, poll, monotonicNow());
    }

    /// Applies the counts as the leader, or adds them to the oldest aggregation in progress.
    void apply(const Endpoint &, const CountsReply &reply)
    {
        if (leader_->leading())
            applyAsLeader(reply);
        else
            counts_->addReply(reply, monotonicNow());
    }

    void apply(const Endpoint &, const RankStatus &status)
    {
        if (leader_->leading())
            applyAsLeader(status);
    }

    void apply(const Endpoint &from, const RankCommand &command)
    {
        // Epochs of two groups may be equal, so the engine itself would not refuse the order.
        if (status_ && !command.group.empty() && command.group != candidate_.group) {
            log_.info("order.refused",
                      {{"leader", toText(from)},
                       {"group", command.group},
                       {"reason", "the engine is in another group"}});
            return;
        }
        frequentReportsUntil_ = monotonicNow() + frequentReportsAfterOrder;
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
    std::unique_ptr<LoadReporter> loads_;
    std::unique_ptr<SidecarLink> link_;
    std::unique_ptr<CountsCollector> counts_;
    std::unique_ptr<GroupLeader> leader_;
    std::unique_ptr<RankOrderExecutor> orderExecutor_;
    Endpoint engine_;
    std::uint16_t port_ = 0;
    std::optional<RankStatus> status_;
    /// Whether the last read of the engine's report succeeded.
    bool engineAnswers_ = true;
    bool readingReport_ = false;
    bool readingExperts_ = false;
    /// Whether the last read of the engine's experts failed.
    bool expertsReadFailed_ = false;
    TimePoint readBegunAt_;
    /// When the read of the applied report began.
    TimePoint appliedReadBegunAt_;
    TimePoint frequentReportsUntil_;
    EngineListCache listCache_;
    GroupCandidate candidate_;
    bool decidingSoon_ = false;
    /// Sender of the last RankPoll from another sidecar of the own group.
    std::optional<Endpoint> leaderAddress_;
    /// Versions of maps that the leader has whole, by its last poll.
    std::vector<std::uint64_t> leaderMaps_;
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
