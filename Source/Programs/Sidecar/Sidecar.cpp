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

/// Period of the process' own checks.
constexpr milliseconds tickPeriod{25};
/// Pause between two reports of the engine.
constexpr milliseconds reportPeriod{loadReportInterval};
/// The same while the rank takes part in a switch of maps.
constexpr milliseconds reportPeriodSwitching{25};
/// A gateway that has not been heard of for this long gets no more loads: three of its hellos.
constexpr milliseconds gatewayLifetime{2000};
/// Time for which the leader collects what comes in before it decides.
constexpr milliseconds decisionPause{2};
/// How long an order keeps the reports frequent.
constexpr milliseconds orderAttention{400};

/// What of a rank's state the leader waits for.
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
          log_(settings_.vmName, log), pool_(loop_), engines_(pool_),
          socket_(loop_,
                  [this](const Endpoint &from, std::string_view bytes) { receive(from, bytes); }),
          scrapes_(loop_, [this](const HttpRequest &request) {
              return answerScraper(request, [this] { return metricsText(); });
          })
    { }

    Result<void> run()
    {
        BOOST_OUTCOME_TRYV(Sidecar::check(settings_));
        engine_ = *settings_.engine;
        port_ = settings_.firstInternalPort;
        bandwidth_ = linkBandwidthOf(settings_.linkMegabitsPerSecond);
        BOOST_OUTCOME_TRYV(socket_.open({settings_.vm.ip, port_}));
        if (settings_.metrics) {
            BOOST_OUTCOME_TRYV(scrapes_.listen(*settings_.metrics));
        }
        election_.since = monotonicNow();
        leader_ = std::make_unique<GroupLeader>(
            engines_, log_, metrics_,
            LeaderTransport{
                .sendAll = [this](const std::vector<Endpoint> &engines,
                                  const GroupMessage &message) { sendToAll(engines, message); },
                .requestCounts =
                    [this](const std::vector<Endpoint> &engines) { requestCounts(engines); }},
            bandwidth_, engine_);
        orders_ = std::make_unique<RankOrderExecutor>(engines_, log_, metrics_, engine_,
                                                      [this] { readReport(); });
        log_.info("process.start", {{"engine", toText(engine_)}, {"port", port_}});
        readReport();
        scheduleTick();
        loop_.run();
        log_.info("process.stop", {{"leading", leading_}});
        return boost::outcome_v2::success();
    }

private:
    std::string metricsText()
    {
        SidecarState state{.reportAge = remaining(appliedAt_, monotonicNow()),
                           .leading = leading_,
                           .gateways = gateways_.size(),
                           .droppedLogLines = log_.dropped()};
        if (status_)
            state.report = status_->report;
        setSidecarState(metrics_, state);
        return metrics_.text();
    }

    /// Nothing of a sidecar's settings may change while it runs; the line tells that it was asked.
    void reload() { log_.info("process.reload", {{"engine", toText(engine_)}}); }

    void scheduleTick()
    {
        loop_.runAfter(tickPeriod, [this] {
            tick(monotonicNow());
            scheduleTick();
        });
    }

    void tick(TimePoint now)
    {
        engines_.checkTimeouts(now);
        pool_.closeExpired(now);
        const bool attentive = now < attentiveUntil_;
        if (!reading_ && now - readAt_ >= (attentive ? reportPeriodSwitching : reportPeriod))
            readReport();
        std::erase_if(gateways_,
                      [now](const auto &entry) { return now - entry.second > gatewayLifetime; });
        tellDueCounts(now);
        lead(now);
    }

    void lead(TimePoint now)
    {
        const auto position = std::find(members().begin(), members().end(), engine_);
        const bool should = position != members().end()
            && isLeader(election_, static_cast<std::size_t>(position - members().begin()), now);
        if (should != leading_)
            log_.info(should ? "leader.begin" : "leader.end", {{"members", members().size()}});
        if (leading_ && !should)
            leader_->stop();
        leading_ = should;
        if (leading_)
            leader_->work(now);
    }

    void readReport()
    {
        reading_ = true;
        readAt_ = monotonicNow();
        engines_.readReport(engine_, [this, begunAt = readAt_](Result<RankReport> report) {
            reading_ = false;
            if (report.has_error()) {
                noteEngine(false, report.error().message);
                tellGateways(awayLoad());
                return;
            }
            noteEngine(true, "");
            applyReport(report.value(), begunAt);
        });
    }

    void noteEngine(bool answers, const std::string &reason)
    {
        if (answers == engineAnswers_)
            return;
        engineAnswers_ = answers;
        log_.info(answers ? "engine.regained" : "engine.lost", {{"reason", reason}});
    }

    /// @param begunAt When the reading began. Two readings may end in the other order, and the one
    /// that began first must not replace the other: it can show the rank as it was before an order.
    void applyReport(const RankReport &report, TimePoint begunAt)
    {
        if (begunAt < appliedAt_)
            return;
        appliedAt_ = begunAt;
        noteHold(election_, report.heldPass.has_value(), begunAt);
        const bool changed = !status_ || !sameSwitchState(status_->report, report)
            || status_->accepted != orders_->accepted();
        const bool newMap = !status_ || status_->report.map != report.map
            || status_->report.epoch != report.epoch || status_->experts.empty();
        RankStatus status{.engine = engine_, .report = report, .accepted = orders_->accepted()};
        status.readAtMilliseconds = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(begunAt.time_since_epoch()).count());
        orders_->noteInForce(report.map);
        status.mapKnown = orders_->hasMapOf(report.map, profile());
        if (!newMap)
            status.experts = status_->experts;
        status_ = status;
        tellGateways(loadFrom(report));
        if (newMap && report.groupSize > 0 && !readingExperts_)
            readExperts(report);
        if (changed)
            tellLeader(status);
    }

    void readExperts(const RankReport &of)
    {
        readingExperts_ = true;
        engines_.readExperts(engine_, [this, of](auto experts) {
            readingExperts_ = false;
            const bool same =
                status_ && status_->report.map == of.map && status_->report.epoch == of.epoch;
            if (experts.has_error() || !same)
                return;
            status_->experts = experts.value();
            if (!leaderKnowsMap(of.map))
                tellLeader(*status_);
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

    /// Of an engine that does not answer, as while it starts.
    EngineLoad awayLoad() const
    {
        return {.engine = engine_,
                .open = false,
                .gateways = static_cast<std::uint32_t>(gateways_.size())};
    }

    void tellGateways(const EngineLoad &load)
    {
        const TimePoint now = monotonicNow();
        if (!shouldReport(sentLoad_, load, now))
            return;
        sentLoad_ = {.load = load, .at = now};
        const std::string bytes = encodeMessage(load);
        for (const auto &[gateway, receivedAt] : gateways_)
            socket_.send(gateway, bytes);
    }

    void tellLeader(const RankStatus &status)
    {
        if (leading_)
            applyAsLeader(status);
        else if (leaderAddress_)
            tellStatus(*leaderAddress_, status);
    }

    void tellStatus(const Endpoint &leader, RankStatus status)
    {
        if (leaderKnowsMap(status.report.map))
            status.experts.clear();
        socket_.send(leader, encodeMessage(status));
    }

    bool leaderKnowsMap(std::uint64_t version) const
    {
        return std::find(leaderKnows_.begin(), leaderKnows_.end(), version) != leaderKnows_.end();
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

    /// Decides once on all that comes in at about the same time: each decision goes over all ranks,
    /// and the answers of all ranks come at the same time.
    void decideSoon()
    {
        if (decidingSoon_)
            return;
        decidingSoon_ = true;
        loop_.runAfter(decisionPause, [this] {
            decidingSoon_ = false;
            if (leading_)
                leader_->decide(monotonicNow());
        });
    }

    /// Sends one message to the sidecars beside many engines, to itself without the network. It is
    /// encoded once: for each rank by itself, a map would take the leader of a large group seconds.
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

    /// Sends an encoded message to sidecars, through relays where it is large.
    void relay(const std::vector<Endpoint> &engines, const std::string &bytes)
    {
        for (const RelayBranch &branch : relayPlan(engines, bytes.size(), bandwidth_)) {
            const std::string whole =
                branch.rest.empty() ? bytes : encodeMessage(RelayedMessage{branch.rest, bytes});
            socket_.send({branch.first.ip, port_}, whole);
        }
    }

    /// Passes a message on and takes it as if it had come from its sender directly.
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

    void apply(const Endpoint &from, const GatewayHello &hello)
    {
        const bool isNew = gateways_.insert_or_assign(from, monotonicNow()).second;
        // It sends nothing here before the first report.
        if (isNew && !engineAnswers_)
            socket_.send(from, encodeMessage(awayLoad()));
        else if (isNew && status_)
            socket_.send(from, encodeMessage(loadFrom(status_->report)));
        if (!shouldRequestList(listCache_, hello.listDigest, monotonicNow()))
            return;
        noteListRequested(listCache_, monotonicNow());
        socket_.send(from, encodeMessage(EngineListRequest{}));
    }

    void apply(const Endpoint &, const EngineListRequest &) { }

    void apply(const Endpoint &, const EngineList &list)
    {
        const bool wasMember = isMember();
        setList(listCache_, list);
        // A new member listens for the present leader before it thinks of leading itself.
        if (!wasMember && isMember())
            election_.since = monotonicNow();
        leader_->setEngines(listCache_.list.engines, listCache_.list.profile);
    }

    const std::vector<Endpoint> &members() const { return listCache_.list.engines; }

    const ExpertProfile &profile() const { return listCache_.list.profile; }

    bool isMember() const
    {
        return std::binary_search(members().begin(), members().end(), engine_);
    }

    void apply(const Endpoint &, const EngineLoad &) { }

    void apply(const Endpoint &, const PermitRequestMessage &) { }

    void apply(const Endpoint &, const PermitReplyMessage &) { }

    void apply(const Endpoint &from, const RankPoll &poll)
    {
        const TimePoint now = monotonicNow();
        const bool own = from.ip == engine_.ip;
        if (!own && from.ip < engine_.ip)
            noteHigherPriorityLeader(election_, now);
        if (!own) {
            noteLeaderPoll(election_, now);
            leaderAddress_ = from;
        }
        if (!status_)
            return;
        leaderKnows_ = poll.knownMaps;
        if (own)
            applyAsLeader(*status_);
        else
            tellStatus(from, *status_);
    }

    /// Asks for the counts of the engines' ranks, in as many sums as the link bears.
    void requestCounts(const std::vector<Endpoint> &engines)
    {
        std::vector<Endpoint> others = engines;
        std::erase(others, engine_);
        sendTo(engine_, CountsPoll{});
        requestFromBranches(others);
    }

    /// @return Sidecars that were asked, each for one sum.
    std::size_t requestFromBranches(const std::vector<Endpoint> &engines)
    {
        const auto plan = relayPlan(engines, countsBytes(), bandwidth_);
        for (const RelayBranch &branch : plan)
            sendTo(branch.first, CountsPoll{branch.rest});
        return plan.size();
    }

    std::size_t countsBytes() const
    {
        return encodedCountsBytes(std::size_t{profile().sets} * profile().expertsPerSet);
    }

    /// To the sidecar beside an engine, to itself without the network.
    void sendTo(const Endpoint &engine, const GroupMessage &message)
    {
        if (engine == engine_)
            loop_.defer([this, message] { handle({engine_.ip, port_}, message); });
        else
            socket_.send({engine.ip, port_}, encodeMessage(message));
    }

    void apply(const Endpoint &from, const CountsPoll &poll)
    {
        // What an earlier question still waits for goes into this sum.
        for (CountsAggregation &earlier : aggregations_) {
            if (earlier.requester == from)
                earlier.awaited = 0;
        }
        tellDueCounts(monotonicNow());
        const std::size_t requested = requestFromBranches(poll.engines);
        aggregations_.push_back(
            {.requester = from,
             .since = monotonicNow(),
             .timeout = gatherTime(poll.engines.size(), countsBytes(), bandwidth_),
             .awaited = requested + 1,
             .sum = {}});
        engines_.readCounts(engine_, [this, from](Result<ExpertCounts> counts) {
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

    /// Counts for this process as the leader, or for a sum that it collects for another one.
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
        tellDueCounts(monotonicNow());
    }

    void tellDueCounts(TimePoint now)
    {
        for (const CountsAggregation &aggregation : extractDue(aggregations_, now)) {
            if (aggregation.sum.ranks > 0)
                tellCounts(aggregation);
        }
    }

    void tellCounts(const CountsAggregation &aggregation)
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
        attentiveUntil_ = now + orderAttention;
        const std::size_t groupSize = status_ ? status_->report.groupSize : 0;
        orders_->execute(command, from, profile(), groupSize);
    }

    platform::ProcessSettings settings_;
    EventLoop loop_;
    /// Before whatever starts a thread, as the log does; see ShutdownSignal.
    ShutdownSignal shutdown_;
    EventLog log_;
    Metrics metrics_;
    HttpClientPool pool_;
    EngineClient engines_;
    DatagramSocket socket_;
    StatusListener scrapes_;
    std::unique_ptr<GroupLeader> leader_;
    std::unique_ptr<RankOrderExecutor> orders_;
    Endpoint engine_;
    std::uint16_t port_ = 0;
    LinkBandwidth bandwidth_;
    std::optional<RankStatus> status_;
    bool engineAnswers_ = true;
    bool reading_ = false;
    bool readingExperts_ = false;
    TimePoint readAt_;
    TimePoint appliedAt_;
    TimePoint attentiveUntil_;
    /// Sums of counts that are being collected for others.
    std::vector<CountsAggregation> aggregations_;
    std::map<Endpoint, TimePoint> gateways_;
    SentLoad sentLoad_;
    EngineListCache listCache_;
    LeaderElection election_;
    bool leading_ = false;
    bool decidingSoon_ = false;
    std::optional<Endpoint> leaderAddress_;
    /// Versions of maps that the leader knows whole.
    std::vector<std::uint64_t> leaderKnows_;
    /// The engine's counts of experts as they were last told.
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
