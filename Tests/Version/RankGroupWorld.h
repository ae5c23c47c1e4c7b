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

/// What goes wrong in one run.
struct Trouble
{
    /// Share of orders without an answer, carried out up to three seconds later.
    double lateOrders = 0;
    double lostMessages = 0;
    /// Share of statuses that show a rank as it was a fifth of a second before.
    double staleStatuses = 0;
    /// Statuses reach a leader through a queue that is up to so long at times.
    milliseconds longestQueue{0};
    /// The leader is replaced by one that knows nothing, each so often.
    milliseconds leaderLife{1'000'000};
    /// The former leader goes on for this long beside the new one.
    milliseconds overlap{0};
    /// The first leader's VM freezes for so long, right after it has had the group held.
    milliseconds freeze{0};
    /// The same, right after it has begun to have ranks armed.
    bool freezeInArming = false;
};

struct Rank
{
    RankReport report;
    std::vector<std::uint32_t> experts;
    std::uint64_t highest = 0;
    RankMap preparedMap;
    /// What the map in force says of all ranks; empty for the first map.
    RankMap mapInForce;
    std::uint64_t copying = 0;
    TimePoint copiedAt;
    std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(expertCount, 0);
};

/// A rank group in virtual time that carries out orders as engines do and checks each pass.
class World
{
public:
    World(std::uint64_t seed, const Trouble &trouble) : trouble_(trouble), random_(seed)
    {
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            ranks_[rank].report = {
                .group = "g", .epoch = 1, .rank = rank, .groupSize = rankCount, .groupOpen = true};
            for (std::uint32_t expert = rank; expert < expertCount; expert += rankCount)
                ranks_[rank].experts.push_back(expert);
        }
        leaders_.push_back({GroupSwitch{}, TimePoint::max()});
        leaderBornAt_ = now_;
    }

    void run(milliseconds length)
    {
        const TimePoint end = now_ + length;
        while (now_ < end) {
            now_ += milliseconds(5);
            replaceLeader();
            deliver();
            finishCopies();
            if (now_ >= nextPassAt_)
                beginPass();
            tellStatuses();
            for (Leader &leader : leaders_)
                advance(leader);
            longestHold_ = std::max(longestHold_, remaining(lastPassAt_, now_));
        }
    }

    bool mixed() const { return mixed_; }
    milliseconds longestHold() const { return longestHold_; }
    bool froze() const { return froze_; }
    /// All ranks but the frozen leader's were armed: nobody can tell whether that one was.
    bool othersArmed() const { return othersArmed_; }
    std::uint32_t switches() const { return switches_; }

    /// Tells the rank's holder to hold, as a leader that is gone did.
    void holdByNobody() { ranks_[1].report.heldPass = ranks_[1].report.pass + 2; }

    /// Has a rank take a version of its own, as late orders do, while the group is being let go.
    void overtake(std::uint32_t rank, std::uint64_t version)
    {
        later(milliseconds(60), [this, rank, version] {
            ranks_[rank].highest = version;
            ranks_[rank].copying = 0;
            ranks_[rank].report.prepared = version;
        });
    }

    /// Has one rank armed alone behind a hold, as a leader that died half-way left it.
    void armHalf()
    {
        for (Rank &rank : ranks_) {
            rank.highest = 5;
            rank.report.prepared = 5;
            rank.preparedMap = {{{0, 4}, {1, 5}, {2, 6}, {3, 7}}};
        }
        holdByNobody();
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
        TimePoint frozenFrom = TimePoint::max();
        TimePoint frozenUntil = TimePoint::max();

        bool frozen(TimePoint now) const { return now >= frozenFrom && now < frozenUntil; }
    };

    struct Event
    {
        TimePoint at;
        std::function<void()> run;
    };

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    milliseconds between(int low, int high)
    {
        return milliseconds(std::uniform_int_distribution<int>(low, high)(random_));
    }

    void later(milliseconds delay, std::function<void()> run)
    {
        events_.push_back({now_ + delay, std::move(run)});
    }

    void deliver()
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

    void replaceLeader()
    {
        std::erase_if(leaders_, [this](const Leader &leader) { return leader.until <= now_; });
        if (now_ - leaderBornAt_ < trouble_.leaderLife)
            return;
        leaderBornAt_ = now_;
        for (Leader &leader : leaders_)
            leader.until = std::min(leader.until, now_ + trouble_.overlap);
        leaders_.push_back({GroupSwitch{}, TimePoint::max(), ++lastLeader_ % rankCount});
    }

    /// The engine beside a leader whose VM stands still can't be reached.
    bool frozen(std::uint32_t rank) const
    {
        return std::any_of(leaders_.begin(), leaders_.end(), [&](const Leader &leader) {
            return leader.rank == rank && leader.frozen(now_);
        });
    }

    bool armedBut(std::uint32_t rank) const
    {
        return std::all_of(ranks_.begin(), ranks_.end(), [rank](const Rank &other) {
            return other.report.rank == rank || other.report.armed != 0;
        });
    }

    /// Freezes the VM of the first leader once it has given such an order, and lets the next one
    /// lead after the time in which its silence is noticed.
    void freezeAfter(Leader &leader, RankOrderKind kind)
    {
        const auto wanted = trouble_.freezeInArming ? RankOrderKind::Arm : RankOrderKind::Hold;
        const bool settled = now_ - leaderBornAt_ > seconds(3);
        if (trouble_.freeze == milliseconds(0) || froze_ || !settled || kind != wanted)
            return;
        froze_ = true;
        leader.frozenFrom = now_ + between(0, 25);
        leader.frozenUntil = leader.frozenFrom + trouble_.freeze;
        leader.until = leader.frozenUntil + milliseconds(300);
        later(remaining(now_, leader.frozenUntil) - milliseconds(5),
              [this, own = leader.rank] { othersArmed_ = armedBut(own); });
        later(remaining(now_, leader.frozenFrom) + leaderTimeoutWhileHeld + milliseconds(25),
              [this] {
                  leaders_.push_back({GroupSwitch{}, TimePoint::max(), holderOf(0, rankCount)});
              });
    }

    void finishCopies()
    {
        for (Rank &rank : ranks_) {
            if (rank.copying == 0 || now_ < rank.copiedAt)
                continue;
            rank.report.prepared = rank.copying;
            rank.copying = 0;
        }
    }

    void beginPass()
    {
        const std::uint64_t pass = ranks_.front().report.pass + 1;
        for (const Rank &rank : ranks_) {
            if (rank.report.heldPass == pass)
                return;
        }
        nextPassAt_ = now_ + between(30, 60);
        lastPassAt_ = now_;
        for (Rank &rank : ranks_)
            beginPass(rank, pass);
        for (const Rank &rank : ranks_)
            mixed_ = mixed_ || rank.report.map != ranks_.front().report.map
                || rank.mapInForce != ranks_.front().mapInForce;
    }

    void beginPass(Rank &rank, std::uint64_t pass)
    {
        rank.report.pass = pass;
        const std::uint32_t hot = static_cast<std::uint32_t>(pass / 30) % expertCount;
        for (std::uint32_t expert = 0; expert < expertCount; ++expert)
            rank.counts[expert] = expert == hot ? 2000 : 300;
        if (rank.report.armedPass != pass || rank.report.armed == 0)
            return;
        rank.report.map = rank.report.armed;
        rank.report.armed = 0;
        rank.report.prepared = 0;
        rank.mapInForce = rank.preparedMap;
        rank.experts = rank.preparedMap[0][rank.report.rank];
        if (rank.report.rank == 0)
            ++switches_;
    }

    /// Only experts that are new to the rank are copied.
    milliseconds copyTime(const Rank &rank, const std::vector<std::uint32_t> &wanted)
    {
        const bool same = std::is_permutation(wanted.begin(), wanted.end(), rank.experts.begin(),
                                              rank.experts.end());
        return same ? milliseconds(0) : between(50, 300);
    }

    /// Carries an order out as an engine does.
    void carryOut(Rank &rank, const RankOrder &order)
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
            rank.copying = order.version;
            rank.copiedAt = now_ + copyTime(rank, order.map[0][report.rank]);
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

    RankStatus statusOf(const Rank &rank) const
    {
        RankStatus status{.engine = {rank.report.rank + 1, 1}, .report = rank.report};
        status.readAtMilliseconds = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count());
        status.mapKnown = true;
        status.experts = {rank.experts};
        return status;
    }

    /// The status as a leader hears it, which may be an old state told as a new one.
    RankStatus toldStatus(const Rank &rank)
    {
        RankStatus status = statusOf(rank);
        std::deque<RankStatus> &past = told_[rank.report.rank];
        past.push_back(status);
        constexpr std::size_t kept = 5;
        if (past.size() > kept)
            past.pop_front();
        if (!chance(trouble_.staleStatuses))
            return status;
        RankStatus stale = past.front();
        stale.readAtMilliseconds = status.readAtMilliseconds;
        return stale;
    }

    void tellStatuses()
    {
        if (now_ < nextTellAt_)
            return;
        nextTellAt_ = now_ + milliseconds(40);
        for (const Rank &rank : ranks_) {
            if (frozen(rank.report.rank))
                continue;
            const RankStatus status = toldStatus(rank);
            for (std::size_t leader = 0; leader < leaders_.size(); ++leader) {
                if (chance(trouble_.lostMessages))
                    continue;
                const CountsReply counts{
                    .group = "g", .epoch = 1, .ranks = 1, .passes = 1, .counts = rank.counts};
                const RankStatus told = withoutKnown(leaders_[leader].group, status);
                later(between(1, 30) + queue(leader), [this, leader, told, counts] {
                    if (leader >= leaders_.size() || leaders_[leader].frozen(now_))
                        return;
                    applyStatus(leaders_[leader].group, told, now_);
                    addDemand(leaders_[leader].group, profile, SwitchTiming{}, counts, now_);
                });
            }
        }
    }

    /// The status as a sidecar tells it whose leader knows the map.
    static RankStatus withoutKnown(const GroupSwitch &leader, RankStatus status)
    {
        const std::vector<std::uint64_t> known = knownMaps(leader);
        if (std::find(known.begin(), known.end(), status.report.map) != known.end())
            status.experts.clear();
        return status;
    }

    /// Present length of the queue before a leader: it grows and shrinks within some seconds.
    milliseconds queue(std::size_t leader) const
    {
        constexpr double periodSeconds = 4;
        const double at = secondsOf(remaining(TimePoint(), now_)) + static_cast<double>(leader);
        const double wave = std::sin(at * 2 * std::acos(-1.0) / periodSeconds);
        return milliseconds(static_cast<int>(std::max(0.0, wave)
                                             * static_cast<double>(trouble_.longestQueue.count())));
    }

    void advance(Leader &leader)
    {
        if (leader.frozen(now_))
            return;
        const auto tick = static_cast<std::uint64_t>(remaining(TimePoint(), now_).count() / 100);
        const SwitchUpdate update = advanceSwitch(leader.group, profile, bounds_, SwitchTiming{},
                                                  {.rank = leader.rank, .versionTick = tick}, now_);
        for (const SwitchAction &action : update.actions) {
            if (chance(trouble_.lostMessages))
                continue;
            freezeAfter(leader, action.order.kind);
            const bool late = chance(trouble_.lateOrders);
            RankOrder order = action.order;
            if (order.kind == RankOrderKind::Prepare)
                order.map = leader.group.map;
            later(late ? between(300, 3000) : between(1, 12), [this, order, rank = action.rank] {
                if (!frozen(rank))
                    carryOut(ranks_[rank], order);
            });
        }
    }

    Trouble trouble_;
    std::mt19937_64 random_;
    TimePoint now_{seconds(1000)};
    std::vector<Rank> ranks_ = std::vector<Rank>(rankCount);
    std::deque<Leader> leaders_;
    std::vector<Event> events_;
    std::map<std::uint32_t, std::deque<RankStatus>> told_;
    PlacementBounds bounds_{
        .minGain = 0.1, .minGainPerCopySecond = 0.01, .copyTime = milliseconds(200)};
    TimePoint leaderBornAt_;
    TimePoint nextPassAt_;
    TimePoint nextTellAt_;
    TimePoint lastPassAt_ = now_;
    milliseconds longestHold_{0};
    bool mixed_ = false;
    std::uint32_t lastLeader_ = 0;
    bool froze_ = false;
    bool othersArmed_ = false;
    std::uint32_t switches_ = 0;
};

} // namespace wisteria
