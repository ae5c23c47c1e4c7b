#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Version/GroupMembers.h"
#include "Version/RankGroupWorld.h"

namespace wisteria {

/// A VM with an engine and its sidecar.
struct FleetVm
{
    Endpoint engine;
    Rank rank;
    bool sidecarRuns = true;
    GroupCandidate candidate;
    bool leading = false;
    TimePoint leadingSince;
    GroupMembers members;
    GroupSwitch group;
};

/// What a run has seen of one group.
struct FleetGroup
{
    TimePoint lastPassAt;
    milliseconds maxPassInterval{0};
    bool beganMixedPass = false;
    std::uint32_t switches = 0;
    /// Whether a leader assigned experts to a rank that the rank does not have in that version.
    bool leaderHadWrongMap = false;
    /// Whether one version number was used for two maps.
    bool reusedVersion = false;
    std::map<std::uint64_t, RankMap> mapOfVersion{};
};

/// The VMs of one service with several groups of rankCount ranks, in virtual time. Messages and
/// orders take a few milliseconds.
///
/// The election, the members and the switch are the real ones. runSidecar(), runLeader(),
/// receivePoll() and readSilent() are a simplified copy of Sidecar and GroupLeader: reports are
/// current, statuses are sent only as replies to polls, there are no relays, counts arrive at once,
/// direct reads are neither limited nor delayed, and each order is sent once.
class GroupFleetWorld
{
public:
    /// @param seed With a seed, messages are delayed at random, and one in twenty is lost.
    explicit GroupFleetWorld(std::uint32_t groups, std::optional<std::uint32_t> seed = {})
        : vms_(std::size_t{groups} * rankCount), lossy_(seed.has_value()), random_(seed.value_or(0))
    {
        std::vector<Endpoint> engines;
        for (std::uint32_t vm = 0; vm < vms_.size(); ++vm) {
            vms_[vm].engine = {vm + 1, 1};
            vms_[vm].candidate.election.listeningSince = now_;
            engines.push_back(vms_[vm].engine);
        }
        for (FleetVm &vm : vms_)
            setEngines(vm.members, engines);
        for (std::uint32_t group = 0; group < groups; ++group) {
            std::vector<std::uint32_t> members;
            for (std::uint32_t rank = 0; rank < rankCount; ++rank)
                members.push_back(group * rankCount + rank);
            form(nameOf(group), 1, members);
        }
    }

    static std::string nameOf(std::uint32_t group) { return "g" + std::to_string(group); }

    /// Forms a group, or forms it again, of these VMs in the order of their ranks; maps are
    /// cleared.
    void form(const std::string &name, std::uint64_t epoch, const std::vector<std::uint32_t> &vms)
    {
        for (std::uint32_t rank = 0; rank < vms.size(); ++rank) {
            Rank &formed = vms_[vms[rank]].rank;
            formed = {};
            formed.report = {.group = name,
                             .epoch = epoch,
                             .rank = rank,
                             .groupSize = static_cast<std::uint32_t>(vms.size()),
                             .groupOpen = true};
            for (std::uint32_t expert = rank; expert < expertCount; expert += rankCount)
                formed.experts.push_back(expert);
        }
        groups_[name] = {.lastPassAt = now_};
    }

    /// Starts a sidecar again, without what it knew.
    void restartSidecar(FleetVm &vm) const
    {
        vm.sidecarRuns = true;
        vm.leading = false;
        vm.candidate = {};
        vm.candidate.election.listeningSince = now_;
    }

    /// Closes a group, as after the crash of a rank: it begins no pass until it is formed again.
    void breakGroup(const std::string &name)
    {
        for (FleetVm &vm : vms_) {
            if (vm.rank.report.group == name)
                vm.rank.report.groupOpen = false;
        }
    }

    void run(milliseconds length)
    {
        runUntil([] { return false; }, length);
    }

    /// @return Whether the condition held before the time was over.
    bool runUntil(const std::function<bool()> &condition, milliseconds length)
    {
        for (const TimePoint end = now_ + length; now_ < end;) {
            if (condition())
                return true;
            now_ += milliseconds(5);
            runDueEvents();
            for (FleetVm &vm : vms_) {
                finishCopies(vm.rank, now_);
                if (vm.sidecarRuns)
                    runSidecar(vm);
            }
            for (auto &[name, group] : groups_)
                runPasses(name, group);
        }
        return condition();
    }

    /// The VMs whose sidecars lead a group.
    std::vector<FleetVm *> leadersOf(const std::string &name)
    {
        std::vector<FleetVm *> leaders;
        for (FleetVm &vm : vms_) {
            if (vm.sidecarRuns && vm.leading && vm.candidate.group == name)
                leaders.push_back(&vm);
        }
        return leaders;
    }

    FleetGroup &group(const std::string &name) { return groups_.at(name); }
    std::vector<FleetVm> &vms() { return vms_; }

private:
    void schedule(milliseconds delay, std::function<void()> run)
    {
        events_.emplace_back(now_ + delay, std::move(run));
    }

    /// Schedules the receipt of a datagram.
    void deliver(milliseconds delay, std::function<void()> receive)
    {
        if (lossy_ && random_() % 20 == 0)
            return;
        const milliseconds additional{lossy_ ? random_() % 40 : 0};
        schedule(delay + additional, std::move(receive));
    }

    void runDueEvents()
    {
        std::vector<std::function<void()>> due;
        std::erase_if(events_, [&](auto &event) {
            if (event.first > now_)
                return false;
            due.push_back(std::move(event.second));
            return true;
        });
        for (const auto &event : due)
            event();
    }

    FleetVm &vmOf(const Endpoint &engine) { return vms_.at(engine.ip - 1); }

    void runSidecar(FleetVm &vm)
    {
        noteOwnReport(vm.candidate, vm.rank.report, now_, now_);
        const bool leads = leadsGroup(vm.candidate, now_);
        if (leads && (!vm.leading || vm.group.group != vm.candidate.group)) {
            vm.leadingSince = now_;
            vm.group = {.group = vm.candidate.group};
            resetMembers(vm.members, vm.candidate.group);
        }
        vm.leading = leads;
        if (leads)
            runLeader(vm);
    }

    void runLeader(FleetVm &vm)
    {
        const milliseconds period = rankPollPeriod(vms_.size(), isSwitching(vm.group));
        const RankPoll poll{
            .knownMaps = knownMaps(vm.group), .group = vm.group.group, .rank = vm.candidate.rank};
        for (const Endpoint &engine :
             takeEnginesToPoll(vm.members, period, allRanksKnown(vm.group), now_)) {
            deliver(milliseconds(3), [&, engine, poll] { receivePoll(vmOf(engine), vm, poll); });
        }
        if (now_ - vm.leadingSince > silenceTimeout)
            readSilent(vm);
        addCounts(vm);
        decide(vm);
    }

    void receivePoll(FleetVm &vm, FleetVm &leader, const RankPoll &poll)
    {
        if (!vm.sidecarRuns)
            return;
        if (&vm != &leader && isOfOwnGroup(vm.candidate, poll))
            notePoll(vm.candidate, poll, now_);
        const RankStatus whole = statusOf(vm);
        RankStatus sent = whole;
        const auto &known = poll.knownMaps;
        if (std::find(known.begin(), known.end(), sent.report.map) != known.end())
            sent.experts.clear();
        deliver(milliseconds(3), [&, sent, whole] { receiveStatus(leader, sent, whole); });
    }

    void receiveStatus(FleetVm &leader, const RankStatus &sent, const RankStatus &whole)
    {
        if (!leader.sidecarRuns || !leader.leading)
            return;
        recordStatus(leader.members, sent, now_);
        if (sent.report.group != leader.group.group)
            return;
        applyStatus(leader.group, sent, now_);
        checkView(leader.group, whole);
    }

    /// Compares the leader's view of a rank with that rank's whole status. A view without experts
    /// is incomplete, not wrong.
    void checkView(const GroupSwitch &leader, const RankStatus &whole)
    {
        const auto known = leader.ranks.find(whole.report.rank);
        if (known == leader.ranks.end())
            return;
        const RankStatus &view = known->second.status;
        const bool wrong = view.report.epoch == whole.report.epoch
            && view.report.map == whole.report.map && !view.experts.empty()
            && view.experts != whole.experts;
        FleetGroup &group = groups_.at(leader.group);
        group.leaderHadWrongMap = group.leaderHadWrongMap || wrong;
    }

    void readSilent(FleetVm &leader)
    {
        for (const Endpoint &engine : silentEngines(leader.members, now_)) {
            const RankStatus status = statusOf(vmOf(engine));
            recordReport(leader.members, engine, status.report);
            if (status.report.group == leader.group.group)
                applyStatus(leader.group, status, now_);
        }
    }

    RankStatus statusOf(const FleetVm &vm) const
    {
        RankStatus status{.engine = vm.engine, .report = vm.rank.report};
        status.readAtMilliseconds =
            static_cast<std::uint64_t>(remaining(TimePoint(), now_).count());
        status.mapKnown = true;
        status.experts = {vm.rank.experts};
        return status;
    }

    void addCounts(FleetVm &leader)
    {
        for (const Endpoint &engine : membersOf(leader.members)) {
            const RankReport &report = vmOf(engine).rank.report;
            addDemand(leader.group, profile, SwitchTiming{},
                      {.group = report.group,
                       .epoch = report.epoch,
                       .ranks = 1,
                       .passes = 1,
                       .counts = vmOf(engine).rank.counts},
                      now_);
        }
    }

    void decide(FleetVm &leader)
    {
        const auto own = std::find_if(
            leader.group.ranks.begin(), leader.group.ranks.end(),
            [&](const auto &entry) { return entry.second.status.engine == leader.engine; });
        if (own == leader.group.ranks.end())
            return;
        const auto tick = static_cast<std::uint64_t>(remaining(TimePoint(), now_).count() / 100);
        const SwitchUpdate update = advanceSwitch(leader.group, profile, bounds_, SwitchTiming{},
                                                  {.rank = own->first, .versionTick = tick}, now_);
        for (const SwitchAction &action : update.actions)
            send(leader, action);
    }

    void send(const FleetVm &leader, const SwitchAction &action)
    {
        RankOrder order = action.order;
        if (order.kind == RankOrderKind::Prepare) {
            order.map = leader.group.map;
            FleetGroup &group = groups_.at(leader.group.group);
            const auto known = group.mapOfVersion.try_emplace(order.version, order.map).first;
            group.reusedVersion = group.reusedVersion || known->second != order.map;
        }
        const auto execute = [this, order, action, name = leader.group.group] {
            FleetVm &vm = vmOf(action.engine);
            if (!action.direct && (!vm.sidecarRuns || vm.rank.report.group != name))
                return;
            executeOrder(vm.rank, order, now_, [](const auto &) { return milliseconds(100); });
        };
        if (action.direct)
            schedule(milliseconds(4), execute);
        else
            deliver(milliseconds(4), execute);
    }

    /// Begins a pass of a group every 40 ms while it is open and not held.
    void runPasses(const std::string &name, FleetGroup &group)
    {
        std::vector<Rank *> ranks;
        for (FleetVm &vm : vms_) {
            if (vm.rank.report.group == name)
                ranks.push_back(&vm.rank);
        }
        group.maxPassInterval = std::max(group.maxPassInterval, remaining(group.lastPassAt, now_));
        const std::uint64_t pass = ranks.front()->report.pass + 1;
        const bool waits = std::any_of(ranks.begin(), ranks.end(), [pass](const Rank *rank) {
            return !rank->report.groupOpen || rank->report.heldPass == pass;
        });
        if (waits || now_ - group.lastPassAt < milliseconds(40))
            return;
        group.lastPassAt = now_;
        for (Rank *rank : ranks) {
            const bool switched = beginPass(*rank, pass);
            group.switches += switched && rank->report.rank == 0 ? 1 : 0;
        }
        for (const Rank *rank : ranks)
            group.beganMixedPass = group.beganMixedPass
                || rank->mapInForce != ranks.front()->mapInForce
                || rank->report.map != ranks.front()->report.map;
    }

    TimePoint now_{seconds(1000)};
    std::vector<FleetVm> vms_;
    bool lossy_;
    std::mt19937 random_;
    std::map<std::string, FleetGroup> groups_;
    std::vector<std::pair<TimePoint, std::function<void()>>> events_;
    PlacementBounds bounds_{
        .minGain = 0.1, .minGainPerCopySecond = 0.01, .copyTime = milliseconds(200)};
};

} // namespace wisteria
