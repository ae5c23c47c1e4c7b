#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "Version/GroupDemand.h"
#include "Version/GroupQueries.h"
#include "Version/LeaderElection.h"
#include "Version/RankSwitch.h"

namespace wisteria {

inline constexpr std::uint32_t rankCount = 4;
inline constexpr std::uint32_t expertCount = 8;
inline const ExpertProfile profile{.sets = 1,
                                   .expertsPerSet = expertCount,
                                   .expertsPerRank = 3,
                                   .copiesPerMap = 2,
                                   .copyMilliseconds = 100};

/// Passes after which another expert is in demand, if there is work all the time.
inline constexpr std::uint64_t usualPassesPerShift = 30;

/// Faults that are injected in one run.
struct Faults
{
    /// Fraction of orders that get no answer and are executed late.
    double lateOrders = 0;
    /// How late such orders are executed, in milliseconds.
    int minLateness = 300;
    int maxLateness = 3000;
    /// The same fraction of orders to arm, which leave ranks of a held group unarmed for long.
    double lateArms = 0;
    /// Fraction of statuses and orders that are lost.
    double lostMessages = 0;
    /// Fraction of statuses that contain the rank's state of a fifth of a second earlier.
    double staleStatuses = 0;
    /// Statuses reach a leader through a queue whose delay varies up to this value.
    milliseconds maxQueueDelay{0};
    /// The leader is replaced by one without any state at this interval.
    milliseconds leaderLifetime{1'000'000};
    /// The old leader continues for this long beside the new one.
    milliseconds overlap{0};
    /// The first leader's VM freezes for this long right after it sends an order to hold.
    milliseconds freeze{0};
    /// The VM freezes after the first order to arm instead.
    bool freezeWhileArming = false;
    /// The leader's own rank gets its order to arm together with the other ranks, not after them.
    bool armOwnRankWithOthers = false;
    /// Probability that leaders are killed when one sends an order to arm or to release. They start
    /// again without memory, beside the same ranks.
    double killsAtOrders = 0;
    /// All leaders are killed, and the sidecar beside each rank leads in turn until the first is
    /// back.
    bool killsAll = false;
    /// Longest time without work, in milliseconds; a few passes are made between two such times.
    /// Work also comes soon after a release is executed late.
    int maxIdleTime = 0;
    /// Passes after which another expert is in demand.
    std::uint64_t passesPerShift = usualPassesPerShift;
};

/// A simulated rank.
struct Rank
{
    RankReport report;
    std::vector<std::uint32_t> experts;
    /// Highest version that it was ordered to prepare.
    std::uint64_t highest = 0;
    RankMap preparedMap;
    /// Map in force, with the experts of all ranks; empty for the first map.
    RankMap mapInForce;
    /// Version that it copies; 0 for none.
    std::uint64_t copyingVersion = 0;
    TimePoint copiedAt;
    std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(expertCount, 0);
};

/// Executes an order as an engine does.
/// @param copyTime Called with the experts that the rank is to have; returns how long it copies.
template <typename CopyTime>
void executeOrder(Rank &rank, const RankOrder &order, TimePoint now, CopyTime copyTime)
{
    RankReport &report = rank.report;
    const bool begun = order.pass <= report.pass;
    if (order.epoch != report.epoch)
        return;
    switch (order.kind) {
    case RankOrderKind::Prepare:
        if (order.version <= rank.highest || report.armed != 0)
            return;
        rank.highest = order.version;
        rank.copyingVersion = order.version;
        rank.copiedAt = now + copyTime(order.map[0][report.rank]);
        rank.preparedMap = order.map;
        report.prepared = 0;
        return;
    case RankOrderKind::Arm:
        if (report.prepared != order.version || begun)
            return;
        report.armed = order.version;
        report.armedPass = order.pass;
        return;
    case RankOrderKind::Disarm:
        if (report.armed == order.version)
            report.armed = 0;
        return;
    case RankOrderKind::Hold:
        if (!begun && !report.heldPass)
            report.heldPass = order.pass;
        return;
    case RankOrderKind::Release:
        if (report.heldPass == order.pass)
            report.heldPass.reset();
        return;
    }
}

/// Finishes the copies of a rank whose time has come.
inline void finishCopies(Rank &rank, TimePoint now)
{
    if (rank.copyingVersion == 0 || now < rank.copiedAt)
        return;
    rank.report.prepared = rank.copyingVersion;
    rank.copyingVersion = 0;
}

/// Begins a pass at one rank.
/// @return Whether the rank switched to another map.
inline bool beginPass(Rank &rank, std::uint64_t pass,
                      std::uint64_t passesPerShift = usualPassesPerShift)
{
    rank.report.pass = pass;
    const std::uint32_t hot = static_cast<std::uint32_t>(pass / passesPerShift) % expertCount;
    for (std::uint32_t expert = 0; expert < expertCount; ++expert)
        rank.counts[expert] = expert == hot ? 2000 : 300;
    if (rank.report.armedPass != pass || rank.report.armed == 0)
        return false;
    rank.report.map = rank.report.armed;
    rank.report.armed = 0;
    rank.report.prepared = 0;
    rank.mapInForce = rank.preparedMap;
    rank.experts = rank.preparedMap[0][rank.report.rank];
    return true;
}

/// A rank group in virtual time that executes orders as engines do and checks each pass.
class RankGroupWorld
{
public:
    RankGroupWorld(std::uint64_t seed, const Faults &faults) : faults_(faults), random_(seed)
    {
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            ranks_[rank].report = {
                .group = "g", .epoch = 1, .rank = rank, .groupSize = rankCount, .groupOpen = true};
            for (std::uint32_t expert = rank; expert < expertCount; expert += rankCount)
                ranks_[rank].experts.push_back(expert);
        }
        startLeader(0);
        leaderStartedAt_ = now_;
    }

    void run(milliseconds length)
    {
        const TimePoint end = now_ + length;
        while (now_ < end) {
            now_ += milliseconds(5);
            replaceLeader();
            runDueEvents();
            finishCopies();
            if (now_ >= nextPassAt_)
                beginPass();
            sendStatuses();
            for (Leader &leader : leaders_)
                advance(leader);
            maxPassInterval_ = std::max(maxPassInterval_, remaining(lastPassAt_, now_));
        }
    }

    /// Whether any pass began while two ranks had different maps.
    bool beganMixedPass() const { return beganMixedPass_; }
    /// Longest time during which no pass began.
    milliseconds maxPassInterval() const { return maxPassInterval_; }
    bool leaderFroze() const { return leaderFroze_; }
    /// Whether all ranks but the frozen leader's were armed just before the freeze ended, so that
    /// it was unknown whether that rank was armed too.
    bool allOthersArmed() const { return allOthersArmed_; }
    /// Whether a leader released the group for a version that another leader created.
    bool leaderAdopted() const { return leaderAdopted_; }
    /// Whether a leader assigned experts to a rank that the rank does not have in that version.
    bool leaderHadWrongMap() const { return leaderHadWrongMap_; }
    /// Whether a leader waited for its own version long after a later one was in force.
    bool waitedForOldVersion() const { return waitedForOldVersion_; }
    /// Number of switches that came into force.
    std::uint32_t switches() const { return switches_; }
    /// Number of times that leaders were killed.
    std::uint32_t kills() const { return kills_; }

    /// Makes rank 1 hold the group, as ordered by a leader that no longer exists.
    void addHoldWithoutLeader() { ranks_[1].report.heldPass = ranks_[1].report.pass + 2; }

    /// Makes a rank prepare a higher version in 60 ms, as a late order does. After a hold without a
    /// live leader the group is then in SwitchPhase::Recovering.
    void prepareHigherVersion(std::uint32_t rank, std::uint64_t version)
    {
        schedule(milliseconds(60), [this, rank, version] {
            ranks_[rank].highest = version;
            ranks_[rank].copyingVersion = 0;
            ranks_[rank].report.prepared = version;
        });
    }

    /// Arms one of the ranks during a hold, as if the leader died while arming.
    void armOneRank()
    {
        for (Rank &rank : ranks_) {
            rank.highest = 5;
            rank.report.prepared = 5;
            rank.preparedMap = {{{0, 4}, {1, 5}, {2, 6}, {3, 7}}};
        }
        addHoldWithoutLeader();
        ranks_[2].report.armed = 5;
        ranks_[2].report.armedPass = *ranks_[1].report.heldPass;
    }

private:
    struct Leader
    {
        GroupSwitch group;
        TimePoint until;
        /// Rank beside the leader.
        std::uint32_t rank = 0;
        /// Number of the leader's life, counted over all leaders.
        std::uint32_t life = 0;
        TimePoint frozenFrom = TimePoint::max();
        TimePoint frozenUntil = TimePoint::max();

        bool frozen(TimePoint now) const { return now >= frozenFrom && now < frozenUntil; }
    };

    struct Event
    {
        TimePoint at;
        std::function<void()> run;
    };

    bool occurs(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }

    milliseconds randomDelay(int low, int high)
    {
        return milliseconds(std::uniform_int_distribution<int>(low, high)(random_));
    }

    void schedule(milliseconds delay, std::function<void()> run)
    {
        events_.push_back({now_ + delay, std::move(run)});
    }

    void runDueEvents()
    {
        std::vector<Event> due;
        std::erase_if(events_, [&](Event &event) {
            if (event.at > now_)
                return false;
            due.push_back(std::move(event));
            return true;
        });
        for (Event &event : due)
            event.run();
    }

    void startLeader(std::uint32_t rank)
    {
        leaders_.push_back({GroupSwitch{}, TimePoint::max(), rank, ++lastLife_});
    }

    /// Kills the leaders, or the one beside a rank. It starts again after a while; meanwhile the
    /// one beside the next rank leads.
    void killLeaders(std::uint32_t rank)
    {
        ++kills_;
        constexpr int minDownTime = 400;
        constexpr int maxDownTime = 1500;
        for (Leader &leader : leaders_) {
            if (faults_.killsAll || leader.rank == rank)
                leader.until = now_;
        }
        const milliseconds down = randomDelay(minDownTime, maxDownTime);
        const std::uint32_t next = holderOf(rank, rankCount);
        schedule(down / 2, [this, next] { startLeader(next); });
        schedule(down, [this, rank, next] {
            for (Leader &leader : leaders_)
                leader.until = leader.rank == next ? now_ : leader.until;
            startLeader(rank);
        });
    }

    /// Whether leaders are killed when one sends this order.
    bool killsAt(const RankOrder &order)
    {
        const bool wanted =
            order.kind == RankOrderKind::Arm || order.kind == RankOrderKind::Release;
        return wanted && faults_.killsAtOrders > 0 && now_ >= nextKillAt_
            && occurs(faults_.killsAtOrders);
    }

    void replaceLeader()
    {
        std::erase_if(leaders_, [this](const Leader &leader) { return leader.until <= now_; });
        if (now_ - leaderStartedAt_ < faults_.leaderLifetime)
            return;
        leaderStartedAt_ = now_;
        for (Leader &leader : leaders_)
            leader.until = std::min(leader.until, now_ + faults_.overlap);
        startLeader(++lastLeader_ % rankCount);
    }

    /// Whether the rank can't be reached because it is beside a leader whose VM is frozen.
    bool frozen(std::uint32_t rank) const
    {
        return std::any_of(leaders_.begin(), leaders_.end(), [&](const Leader &leader) {
            return leader.rank == rank && leader.frozen(now_);
        });
    }

    bool allArmedExcept(std::uint32_t rank) const
    {
        return std::all_of(ranks_.begin(), ranks_.end(), [rank](const Rank &other) {
            return other.report.rank == rank || other.report.armed != 0;
        });
    }

    /// Freezes the VM of the first leader once it has sent an order of the chosen kind, and starts
    /// the next leader after the election timeout.
    void freezeLeaderAfter(Leader &leader, RankOrderKind kind)
    {
        const auto wanted = faults_.freezeWhileArming ? RankOrderKind::Arm : RankOrderKind::Hold;
        const bool pastStart = now_ - leaderStartedAt_ > seconds(3);
        if (faults_.freeze == milliseconds(0) || leaderFroze_ || !pastStart || kind != wanted)
            return;
        leaderFroze_ = true;
        leader.frozenFrom = now_ + randomDelay(0, 25);
        leader.frozenUntil = leader.frozenFrom + faults_.freeze;
        leader.until = leader.frozenUntil + milliseconds(300);
        schedule(remaining(now_, leader.frozenUntil) - milliseconds(5),
                 [this, own = leader.rank] { allOthersArmed_ = allArmedExcept(own); });
        schedule(remaining(now_, leader.frozenFrom) + leaderTimeoutWhileHeld + milliseconds(25),
                 [this] { startLeader(holderOf(0, rankCount)); });
    }

    void finishCopies()
    {
        for (Rank &rank : ranks_)
            wisteria::finishCopies(rank, now_);
    }

    void beginPass()
    {
        const std::uint64_t pass = ranks_.front().report.pass + 1;
        for (const Rank &rank : ranks_) {
            if (rank.report.heldPass == pass)
                return;
        }
        nextPassAt_ = now_ + randomDelay(30, 60) + idleTime();
        lastPassAt_ = now_;
        for (Rank &rank : ranks_) {
            const bool switched = wisteria::beginPass(rank, pass, faults_.passesPerShift);
            switches_ += switched && rank.report.rank == 0 ? 1 : 0;
        }
        for (const Rank &rank : ranks_)
            beganMixedPass_ = beganMixedPass_ || rank.report.map != ranks_.front().report.map
                || rank.mapInForce != ranks_.front().mapInForce;
    }

    /// Time without work before the next pass, mostly none.
    milliseconds idleTime()
    {
        constexpr double passesPerBurst = 2;
        if (faults_.maxIdleTime == 0 || !occurs(1 / passesPerBurst))
            return milliseconds(0);
        return randomDelay(0, faults_.maxIdleTime);
    }

    /// Only experts that are new to the rank are copied.
    milliseconds copyTime(const Rank &rank, const std::vector<std::uint32_t> &wanted)
    {
        const bool same = std::is_permutation(wanted.begin(), wanted.end(), rank.experts.begin(),
                                              rank.experts.end());
        return same ? milliseconds(0) : randomDelay(50, 300);
    }

    void execute(Rank &rank, const RankOrder &order)
    {
        executeOrder(rank, order, now_, [this, &rank](const std::vector<std::uint32_t> &wanted) {
            return copyTime(rank, wanted);
        });
    }

    RankStatus statusOf(const Rank &rank) const
    {
        RankStatus status{.engine = {rank.report.rank + 1, 1}, .report = rank.report};
        status.readAtMilliseconds = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count());
        status.mapKnown = true;
        status.experts = {rank.experts};
        return status;
    }

    /// Returns the status that is sent, which may be an old state with a new time.
    RankStatus reportedStatus(const Rank &rank)
    {
        RankStatus status = statusOf(rank);
        std::deque<RankStatus> &past = sentStatuses_[rank.report.rank];
        past.push_back(status);
        constexpr std::size_t kept = 5;
        if (past.size() > kept)
            past.pop_front();
        if (!occurs(faults_.staleStatuses))
            return status;
        RankStatus stale = past.front();
        stale.readAtMilliseconds = status.readAtMilliseconds;
        return stale;
    }

    void sendStatuses()
    {
        if (now_ < nextStatusAt_)
            return;
        nextStatusAt_ = now_ + milliseconds(40);
        for (const Rank &rank : ranks_) {
            if (frozen(rank.report.rank))
                continue;
            const RankStatus status = reportedStatus(rank);
            for (std::size_t leader = 0; leader < leaders_.size(); ++leader) {
                if (!occurs(faults_.lostMessages))
                    sendStatus(leaders_[leader], rank, status, queueDelay(leader));
            }
        }
    }

    /// Sends a status to the leader's VM. A leader that has started there since gets it too, but
    /// not of its own rank, whose engine each process reads itself.
    void sendStatus(const Leader &to, const Rank &rank, const RankStatus &status,
                    milliseconds queued)
    {
        const CountsReply counts{
            .group = "g", .epoch = 1, .ranks = 1, .passes = 1, .counts = rank.counts};
        const bool own = to.rank == rank.report.rank;
        const auto deliver = [this, life = to.life, at = to.rank, own, status, counts,
                              sent = withoutKnownExperts(to.group, status)] {
            for (Leader &leader : leaders_) {
                if (leader.rank != at || (own && leader.life != life) || leader.frozen(now_))
                    continue;
                applyStatus(leader.group, sent, now_);
                checkView(leader.group, status);
                addDemand(leader.group, profile, SwitchTiming{}, counts, now_);
            }
        };
        schedule(randomDelay(1, 30) + queued, deliver);
    }

    /// Compares the leader's view of a rank with that rank's whole status. A view without experts
    /// is incomplete, not wrong.
    void checkView(const GroupSwitch &leader, const RankStatus &whole)
    {
        const RankStatus &view = leader.ranks.at(whole.report.rank).status;
        const bool wrong = view.report.map == whole.report.map && !view.experts.empty()
            && view.experts != whole.experts;
        leaderHadWrongMap_ = leaderHadWrongMap_ || wrong;
    }

    /// Returns the status as a sidecar sends it: without experts if the leader knows the map.
    static RankStatus withoutKnownExperts(const GroupSwitch &leader, RankStatus status)
    {
        const std::vector<std::uint64_t> known = knownMaps(leader);
        if (std::find(known.begin(), known.end(), status.report.map) != known.end())
            status.experts.clear();
        return status;
    }

    /// Returns the current delay of the queue before a leader, which rises and falls in four
    /// seconds.
    milliseconds queueDelay(std::size_t leader) const
    {
        constexpr double periodSeconds = 4;
        const double at = secondsOf(remaining(TimePoint(), now_)) + static_cast<double>(leader);
        const double wave = std::sin(at * 2 * std::acos(-1.0) / periodSeconds);
        return milliseconds(static_cast<int>(std::max(0.0, wave)
                                             * static_cast<double>(faults_.maxQueueDelay.count())));
    }

    /// Whether a leader releases the group, and all ranks have had a later version than its own for
    /// longer than any status takes to arrive.
    bool waitsForOldVersion(const GroupSwitch &group) const
    {
        return group.phase == SwitchPhase::Releasing
            && now_ - group.phaseSince > faults_.maxQueueDelay + seconds(1)
            && std::all_of(ranks_.begin(), ranks_.end(),
                           [&group](const Rank &rank) { return rank.report.map > group.version; });
    }

    void advance(Leader &leader)
    {
        if (leader.frozen(now_))
            return;
        waitedForOldVersion_ = waitedForOldVersion_ || waitsForOldVersion(leader.group);
        const auto tick = static_cast<std::uint64_t>(remaining(TimePoint(), now_).count() / 100);
        const SwitchUpdate update = advanceSwitch(leader.group, profile, bounds_, SwitchTiming{},
                                                  {.rank = leader.rank, .versionTick = tick}, now_);
        const GroupSwitch &group = leader.group;
        leaderAdopted_ = leaderAdopted_
            || (group.phase == SwitchPhase::Releasing
                && group.version % ranksPerVersionTick != leader.rank);
        for (const SwitchAction &action : update.actions) {
            if (occurs(faults_.lostMessages))
                continue;
            if (faults_.armOwnRankWithOthers && action.order.kind == RankOrderKind::Arm)
                executeSoon(leader.rank, action.order);
            freezeLeaderAfter(leader, action.order.kind);
            const bool arms = action.order.kind == RankOrderKind::Arm;
            const bool late =
                occurs(arms && faults_.lateArms > 0 ? faults_.lateArms : faults_.lateOrders);
            RankOrder order = action.order;
            if (order.kind == RankOrderKind::Prepare)
                order.map = leader.group.map;
            executeAfter(late ? randomDelay(faults_.minLateness, faults_.maxLateness)
                              : randomDelay(1, 12),
                         action.rank, order);
            if (killsAt(order)) {
                constexpr milliseconds killInterval{2500};
                nextKillAt_ = now_ + killInterval;
                killLeaders(leader.rank);
                return;
            }
        }
    }

    void executeSoon(std::uint32_t rank, const RankOrder &order)
    {
        executeAfter(randomDelay(1, 12), rank, order);
    }

    /// Has a rank execute an order after a delay, unless it can't be reached then.
    void executeAfter(milliseconds delay, std::uint32_t rank, const RankOrder &order)
    {
        schedule(delay, [this, order, rank] {
            if (frozen(rank))
                return;
            execute(ranks_[rank], order);
            constexpr int longestWait = 60;
            if (faults_.maxIdleTime > 0 && order.kind == RankOrderKind::Release)
                nextPassAt_ = std::min(nextPassAt_, now_ + randomDelay(0, longestWait));
        });
    }

    Faults faults_;
    std::mt19937_64 random_;
    TimePoint now_{seconds(1000)};
    std::vector<Rank> ranks_ = std::vector<Rank>(rankCount);
    std::deque<Leader> leaders_;
    std::vector<Event> events_;
    std::map<std::uint32_t, std::deque<RankStatus>> sentStatuses_;
    PlacementBounds bounds_{
        .minGain = 0.1, .minGainPerCopySecond = 0.01, .copyTime = milliseconds(200)};
    TimePoint leaderStartedAt_;
    TimePoint nextPassAt_;
    TimePoint nextStatusAt_;
    TimePoint lastPassAt_ = now_;
    milliseconds maxPassInterval_{0};
    bool beganMixedPass_ = false;
    bool leaderAdopted_ = false;
    bool leaderHadWrongMap_ = false;
    bool waitedForOldVersion_ = false;
    std::uint32_t lastLeader_ = 0;
    std::uint32_t lastLife_ = 0;
    TimePoint nextKillAt_;
    std::uint32_t kills_ = 0;
    bool leaderFroze_ = false;
    bool allOthersArmed_ = false;
    std::uint32_t switches_ = 0;
};

} // namespace wisteria
