#include "Version/MapSwitchSimulation.h"

#include <algorithm>
#include <set>

namespace wisteria::test {

namespace {

constexpr std::uint32_t rankCount = 3;
constexpr std::uint32_t logNode = rankCount;
constexpr std::uint32_t engineNode = rankCount + 1;
constexpr milliseconds networkDelay(1);
constexpr milliseconds appendTimeout(100); ///< After which the sender goes on without an answer.
constexpr milliseconds stepTime(5);
constexpr milliseconds runTime(3500);
constexpr milliseconds restartTime(50);
constexpr milliseconds outage(600);
constexpr milliseconds lateMessage(400); ///< Past the lease.
constexpr milliseconds lateAppend(150); ///< Past the timeouts of armed ranks.
static const milliseconds lateEngineOrder(getenv("LEO") ? atoi(getenv("LEO"))
                                                        : 40); ///< Within the quarantine.
constexpr milliseconds frozenFor(450);
constexpr milliseconds firstSwitchAt(300);
constexpr milliseconds secondSwitchAt(1500);

MapSwitchTiming quickTiming(std::uint64_t stepsAhead)
{
    MapSwitchTiming timing;
    timing.lease = milliseconds(300);
    timing.renewEvery = milliseconds(100);
    timing.leaseMargin = milliseconds(30);
    timing.armTimeout = milliseconds(80);
    timing.collectTimeout = milliseconds(40);
    timing.stageTimeout = milliseconds(2000);
    timing.logFresh = milliseconds(40);
    timing.resend = milliseconds(15);
    timing.orderQuarantine = milliseconds(100);
    timing.stallVisibleAfter = milliseconds(20);
    timing.stepsAhead = stepsAhead;
    timing.maxAttempts = 1000;
    return timing;
}

v1::ExpertMap mapNamed(const std::string &name)
{
    v1::ExpertMap map;
    map.set_digest(name);
    return map;
}

struct Engine
{
    EngineStatus status;
    std::uint64_t highestFence = 0;
    std::string activeMap = "A";
    std::string nextMap;
    milliseconds stagedAt{0};
};

struct Agent
{
    GroupAgent decisions;
    std::uint64_t generation = 0;
    milliseconds downUntil{0};
    milliseconds frozenUntil{0};
    milliseconds readBlockedUntil{0};
    milliseconds appendBlockedUntil{0};
};

class Simulation
{
public:
    Simulation(std::vector<Fault> faults, const SimulationOptions &options)
        : options_(options), faults_(std::move(faults))
    {
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            engines_[rank].status.incarnation = 1;
            start(rank);
        }
    }

    SimulationResult run()
    {
        for (; now_ < runTime && result_.violation.empty(); now_ += milliseconds(1)) {
            runDueEvents();
            runEngines();
            if (now_ == firstSwitchAt || now_ == secondSwitchAt)
                want(now_ == firstSwitchAt ? "B" : "C");
            if (now_.count() % 5 == 0)
                tickAgents();
        }
        checkEnd();
        result_.steps = complete_;
        return result_;
    }

private:
    TimePoint clock() const { return TimePoint(now_ + seconds(100)); }

    void at(milliseconds when, std::function<void()> effect)
    {
        events_.emplace(when, std::move(effect));
    }

    void runDueEvents()
    {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto effect = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            effect();
        }
    }

    void violate(const std::string &what)
    {
        if (result_.violation.empty())
            result_.violation = what;
    }

    // Processes.

    void start(std::uint32_t rank)
    {
        Agent &agent = agents_[rank];
        const std::uint64_t incarnation = ++incarnations_[rank] * 100;
        agent.decisions =
            makeGroupAgent({rank, incarnation}, rankCount, quickTiming(options_.stepsAhead),
                           options_.guards, clock());
        agent.decisions.rank.engineChecksFencing = options_.engineChecksFencing;
        ++agent.generation;
        if (!wanted_.empty())
            wantMap(agent.decisions.coordinator, mapNamed(wanted_));
    }

    void want(const std::string &name)
    {
        wanted_ = name;
        for (Agent &agent : agents_)
            wantMap(agent.decisions.coordinator, mapNamed(name));
    }

    void kill(std::uint32_t node)
    {
        if (node == logNode) {
            logDownUntil_ = now_ + outage;
        } else if (node < rankCount) {
            start(node);
            agents_[node].downUntil = now_ + restartTime;
        }
    }

    /// A fresh engine, which holds until its agent lets it run; it repeats a step that the group
    /// has not completed.
    void restartEngine(std::uint32_t rank)
    {
        const std::uint64_t incarnation = engines_[rank].status.incarnation + 1;
        const std::uint64_t step = std::min(engines_[rank].status.step, complete_);
        engines_[rank] = Engine();
        engines_[rank].status.incarnation = incarnation;
        engines_[rank].status.step = step;
    }

    bool awake(const Agent &agent) const
    {
        return now_ >= agent.downUntil && now_ >= agent.frozenUntil;
    }

    /// Runs the effect at the agent; while it is frozen the message waits, while down it is lost.
    void deliver(std::uint32_t rank, const std::function<void(Agent &)> &effect)
    {
        Agent &agent = agents_[rank];
        if (now_ < agent.downUntil)
            return;
        if (now_ < agent.frozenUntil) {
            at(agent.frozenUntil, [this, rank, effect] { deliver(rank, effect); });
            return;
        }
        effect(agent);
        advance(rank);
    }

    void advance(std::uint32_t rank)
    {
        MapSwitchActions actions;
        advanceGroupAgent(agents_[rank].decisions, clock(), actions);
        perform(rank, actions);
    }

    void tickAgents()
    {
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            if (!awake(agents_[rank]))
                continue;
            advance(rank);
            readLog(rank);
        }
    }

    // Faults.

    std::optional<FaultKind> faultAt(Point point, std::uint32_t sender, std::uint32_t receiver)
    {
        const bool chosen = sender == 1 || receiver == 1 || point == Point::AppendClaim
            || point == Point::AppendRenewal || point == Point::AppendCommit;
        if (!chosen)
            return std::nullopt;
        const auto fault = std::find_if(faults_.begin(), faults_.end(),
                                        [point](const Fault &each) { return each.point == point; });
        if (fault == faults_.end())
            return std::nullopt;
        const FaultKind kind = fault->kind;
        faults_.erase(fault);
        ++result_.fired;
        return kind;
    }

    /// Moves one message, with the fault that is due for it.
    /// @param effect Called at the receiver with whether its answer gets back.
    void transfer(Point point, std::uint32_t sender, std::uint32_t receiver, milliseconds delay,
                  const std::function<void(bool)> &effect)
    {
        ++result_.messages;
        const bool toEngine = receiver == engineNode;
        const milliseconds late = toEngine ? lateEngineOrder
            : receiver == logNode          ? lateAppend
                                           : lateMessage;
        const auto fault = faultAt(point, sender, receiver);
        bool answered = true;
        switch (fault.value_or(FaultKind::Count)) {
        case FaultKind::Lost:
            return;
        case FaultKind::Late:
            delay += late;
            answered = !toEngine;
            if (receiver == logNode)
                agents_[sender].appendBlockedUntil = now_ + appendTimeout;
            if (sender == logNode)
                agents_[receiver].readBlockedUntil = now_ + delay;
            break;
        case FaultKind::Duplicated:
            at(now_ + delay + late, [effect] { effect(false); });
            break;
        case FaultKind::SenderKilled:
            kill(sender);
            break;
        case FaultKind::ReceiverKilled:
            if (toEngine)
                restartEngine(sender);
            kill(receiver);
            return;
        case FaultKind::SenderFrozen:
            if (sender < rankCount)
                agents_[sender].frozenUntil = now_ + frozenFor;
            delay += frozenFor;
            break;
        case FaultKind::LogDown:
            logDownUntil_ = now_ + outage;
            break;
        case FaultKind::AnswerLost:
            answered = false;
            break;
        case FaultKind::RankReplaced: {
            const std::uint32_t rank = sender == 1 || receiver >= rankCount ? sender : receiver;
            restartEngine(rank);
            kill(rank);
            break;
        }
        case FaultKind::Count:
            break;
        }
        at(now_ + delay, [effect, answered] { effect(answered); });
    }

    // Actions of agents.

    void perform(std::uint32_t rank, const MapSwitchActions &actions)
    {
        for (const MapSwitchAction &action : actions) {
            if (const auto *append = std::get_if<AppendAction>(&action))
                performAppend(rank, append->record);
            else if (const auto *send = std::get_if<SendAction>(&action))
                performSend(rank, *send);
            else
                performOrder(rank, std::get<EngineAction>(action).order);
        }
    }

    /// Referee: the lease's end is worked out apart from the code under test.
    void checkLease(std::uint32_t rank)
    {
        if (now_ >= leaseEnd_[rank])
            violate("a coordinator acted after its lease had lapsed");
    }

    void checkToken(const RankState &rank)
    {
        const auto &candidate = rank.candidate;
        if (candidate && !candidate->armOrdered && candidate->key.token < rank.highestToken)
            violate("a rank followed a coordinator after it knew of a newer one");
    }

    void performSend(std::uint32_t rank, const SendAction &send)
    {
        const v1::GroupMessage &message = send.message;
        ++result_.groupMessages;
        Point point = message.report().armed() ? Point::ArmReport : Point::StageReport;
        if (!message.has_report())
            checkLease(rank);
        if (message.has_stage())
            point = Point::StageOrder;
        else if (message.has_arm())
            point = Point::ArmOrder;
        else if (message.has_cancel())
            point = Point::CancelOrder;
        const std::uint32_t to = send.rank;
        transfer(point, rank, to, networkDelay, [this, rank, to, message](bool answered) {
            deliver(to, [this, rank, to, message, answered](Agent &agent) {
                MapSwitchActions actions;
                onGroupMessage(agent.decisions, clock(), rank, message, actions);
                checkToken(agent.decisions.rank);
                if (answered)
                    perform(to, actions);
            });
        });
    }

    void performAppend(std::uint32_t rank, const v1::GroupRecord &record)
    {
        static constexpr Point points[] = {Point::Count,         Point::AppendClaim,
                                           Point::AppendRenewal, Point::AppendJoin,
                                           Point::AppendCommit,  Point::AppendAbort};
        ++result_.appends;
        if (record.has_commit())
            checkLease(rank);
        // One append is under way at a time, as in the process; decisions send again by themselves.
        if (now_ < agents_[rank].appendBlockedUntil)
            return;
        const milliseconds sentAt = now_;
        agents_[rank].appendBlockedUntil = now_ + options_.appendDelay;
        // The second map's first commits go nowhere for a time, so that ranks append aborts.
        const bool swallowed = options_.disturbed && record.commit().map().digest() == "C"
            && now_ < secondSwitchAt + milliseconds(300);
        if (swallowed)
            return;
        transfer(points[record.record_case()], rank, logNode, options_.appendDelay,
                 [this, rank, sentAt, record](bool) { appendToLog(rank, sentAt, record); });
    }

    void appendToLog(std::uint32_t rank, milliseconds sentAt, const v1::GroupRecord &record)
    {
        if (now_ < logDownUntil_)
            return;
        log_.push_back(record);
        const bool counts = replayGroupRecord(referee_, log_.size(), record, MapSwitchGuards());
        if (counts && (record.has_claim() || record.has_renewal()))
            leaseEnd_[rank] =
                std::max(leaseEnd_[rank], sentAt + agents_[rank].decisions.timing.lease);
        for (std::uint32_t reader = 0; reader < rankCount; ++reader)
            at(now_ + networkDelay, [this, reader] { readLog(reader); });
    }

    Point readPoint(Offset position) const
    {
        for (Offset i = position; i < log_.size(); ++i) {
            if (log_[i].has_claim())
                return Point::ReadClaim;
            if (log_[i].has_commit())
                return Point::ReadCommit;
            if (log_[i].has_abort())
                return Point::ReadAbort;
        }
        return Point::Count;
    }

    void readLog(std::uint32_t rank)
    {
        Agent &agent = agents_[rank];
        if (now_ < logDownUntil_ || now_ < agent.readBlockedUntil || !awake(agent))
            return;
        const Point point = readPoint(agent.decisions.group.position);
        // One read is under way at a time.
        agent.readBlockedUntil = now_ + networkDelay;
        const Offset end = log_.size();
        transfer(point, logNode, rank, networkDelay, [this, rank, end](bool answered) {
            if (answered)
                deliver(rank, [this, end](Agent &reader) { feed(reader, end); });
        });
    }

    void feed(Agent &reader, Offset end)
    {
        GroupAgent &decisions = reader.decisions;
        for (Offset offset = decisions.group.position + 1; offset <= end; ++offset)
            replayGroupRecord(decisions.group, offset, log_[offset - 1], decisions.guards);
        onLogAnswered(decisions, clock());
    }

    void performOrder(std::uint32_t rank, const EngineOrder &order)
    {
        static constexpr Point points[] = {Point::Count, Point::EngineStage, Point::EngineArm,
                                           Point::EngineApply, Point::EngineRelease};
        const std::uint64_t generation = agents_[rank].generation;
        const std::uint64_t incarnation = engines_[rank].status.incarnation;
        milliseconds delay = networkDelay;
        // Rank 2's engine is slow once, so that the first attempt is cancelled.
        if (options_.disturbed && rank == 2 && order.kind == EngineOrderKind::Arm && !slowed_) {
            slowed_ = true;
            delay = milliseconds(70);
        }
        Point point = points[static_cast<int>(order.kind)];
        if (point == Point::EngineRelease && now_ < firstSwitchAt)
            point = Point::EngineStart;
        transfer(point, rank, engineNode, delay,
                 [this, rank, order, generation, incarnation](bool answered) {
                     // An order\'s connection ends with the engine that it went to.
                     if (engines_[rank].status.incarnation != incarnation)
                         return;
                     obey(rank, order);
                     if (answered)
                         answerOrder(rank, order.sequence, generation);
                 });
    }

    void answerOrder(std::uint32_t rank, std::uint64_t sequence, std::uint64_t generation)
    {
        const EngineStatus status = engines_[rank].status;
        at(now_ + networkDelay, [this, rank, sequence, generation, status] {
            deliver(rank, [this, sequence, generation, status](Agent &agent) {
                if (agent.generation == generation)
                    onEngineAnswer(agent.decisions, clock(), sequence, status);
            });
        });
    }

    // Engines.

    void obey(std::uint32_t rank, const EngineOrder &order)
    {
        Engine &engine = engines_[rank];
        EngineStatus &status = engine.status;
        if (options_.engineChecksFencing && order.fence <= engine.highestFence)
            return;
        engine.highestFence = order.fence;
        switch (order.kind) {
        case EngineOrderKind::Stage:
            status.stagingDigest = order.map.digest();
            engine.stagedAt = now_ + milliseconds(rank == 0 ? 150 : 50);
            break;
        case EngineOrderKind::Arm:
            if (status.step < order.step)
                status.holdAt = order.step;
            break;
        case EngineOrderKind::Release:
            status.holdAt = notHeld;
            break;
        case EngineOrderKind::Apply:
            apply(engine, order);
            break;
        case EngineOrderKind::Query:
            break;
        }
    }

    /// An engine applies what it has staged, whatever the order names; the agent has to look.
    void apply(Engine &engine, const EngineOrder &order)
    {
        EngineStatus &status = engine.status;
        if (status.stagedDigest.empty())
            return;
        if (order.version <= status.activeVersion)
            violate("an engine was taken back to an earlier map");
        status.nextVersion = order.version;
        status.nextFromStep = order.step;
        engine.nextMap = status.stagedDigest + " " + std::to_string(order.version);
        status.stagedDigest.clear();
        if (order.step <= status.step + 1)
            takeNext(engine);
        if (order.release)
            status.holdAt = notHeld;
    }

    static void takeNext(Engine &engine)
    {
        engine.status.activeVersion = engine.status.nextVersion;
        engine.status.nextVersion = 0;
        engine.activeMap = engine.nextMap;
    }

    void runEngines()
    {
        bool all = true;
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            Engine &engine = engines_[rank];
            if (!engine.status.stagingDigest.empty() && now_ >= engine.stagedAt) {
                engine.status.stagedDigest = engine.status.stagingDigest;
                engine.status.stagingDigest.clear();
            }
            begin(engine, completeAt_ + stepTime + milliseconds(rank));
            all = all && engine.status.step > complete_;
        }
        if (!all)
            return;
        ++complete_;
        if (complete_ > 1)
            result_.longestStall =
                std::max(result_.longestStall, now_ - completeAt_ - stepTime - milliseconds(2));
        completeAt_ = now_;
    }

    void begin(Engine &engine, milliseconds ready)
    {
        EngineStatus &status = engine.status;
        const std::uint64_t step = complete_ + 1;
        if (now_ < ready || status.step >= step || status.holdAt <= step)
            return;
        status.step = step;
        if (status.nextVersion != 0 && status.nextFromStep <= step)
            takeNext(engine);
        const auto [first, inserted] = mapOfStep_.emplace(step, engine.activeMap);
        if (!inserted && first->second != engine.activeMap)
            violate("one step ran on two maps");
    }

    void checkEnd()
    {
        if (now_ - completeAt_ > milliseconds(100))
            violate("the group stands still at the end");
        if (result_.longestStall > options_.stallBound)
            violate("the group stalled beyond the bound");
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            if (engines_[rank].activeMap.front() != 'C')
                violate("the wanted map is not in force at the end");
            if (refusesCallers(agents_[rank].decisions, clock()))
                violate("callers are refused at the end");
        }
    }

    SimulationOptions options_;
    std::vector<Fault> faults_;
    SimulationResult result_;
    milliseconds now_{0};
    std::multimap<milliseconds, std::function<void()>> events_;
    std::array<Agent, rankCount> agents_;
    std::array<Engine, rankCount> engines_;
    std::array<std::uint64_t, rankCount> incarnations_{};
    std::array<milliseconds, rankCount> leaseEnd_{};
    std::vector<v1::GroupRecord> log_;
    GroupState referee_;
    std::string wanted_;
    bool slowed_ = false;
    milliseconds logDownUntil_{0};
    std::uint64_t complete_ = 0;
    milliseconds completeAt_{0};
    std::map<std::uint64_t, std::string> mapOfStep_;
};

constexpr const char *pointNames[] = {
    "stage order",  "stage report",   "arm order",   "arm report",    "cancel order",
    "engine start", "engine stage",   "engine arm",  "engine apply",  "engine release",
    "append claim", "append renewal", "append join", "append commit", "append abort",
    "read claim",   "read commit",    "read abort"};

constexpr const char *faultNames[] = {
    "lost",          "late",     "duplicated",  "sender killed", "receiver killed",
    "sender frozen", "log down", "answer lost", "rank replaced"};

} // namespace

const char *nameOf(Point point)
{
    return pointNames[static_cast<int>(point)];
}

const char *nameOf(FaultKind kind)
{
    return faultNames[static_cast<int>(kind)];
}

SimulationResult simulateStamps(milliseconds leaderFrozen)
{
    SimulationResult result;
    const MapSwitchTiming timing = quickTiming(0);
    milliseconds now(0);
    bool frozen = false;
    while (now < runTime) {
        milliseconds stamped = now + networkDelay;
        if (!frozen && now >= secondSwitchAt) {
            frozen = true;
            stamped += std::min(leaderFrozen, timing.lease + timing.leaseMargin);
        }
        result.groupMessages += rankCount - 1;
        result.longestStall = std::max(result.longestStall, stamped - now);
        // The slowest rank sets the pace, as in the simulation.
        now = stamped + stepTime + milliseconds(rankCount - 1);
        ++result.steps;
    }
    return result;
}

SimulationResult simulate(const std::vector<Fault> &faults, const SimulationOptions &options)
{
    return Simulation(faults, options).run();
}

} // namespace wisteria::test
