#include <algorithm>

#include <catch2/catch.hpp>

#include "Version/GroupFleetWorld.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};

/// Requires that each group has one leader, beside its first rank, that knows all ranks.
void requireOneLeaderEach(GroupFleetWorld &world, std::uint32_t groups)
{
    for (std::uint32_t group = 0; group < groups; ++group) {
        CAPTURE(group);
        const auto leaders = world.leadersOf(GroupFleetWorld::nameOf(group));
        REQUIRE(leaders.size() == 1);
        REQUIRE(leaders.front()->candidate.rank == 0);
        REQUIRE(allRanksKnown(leaders.front()->group));
    }
}

void requireConsistent(const FleetGroup &group)
{
    REQUIRE_FALSE(group.beganMixedPass);
    REQUIRE_FALSE(group.reusedVersion);
    REQUIRE_FALSE(group.leaderHadWrongMap);
}

/// The sidecar that leads a group; requires that there is one.
FleetVm &leaderOf(GroupFleetWorld &world, const std::string &name)
{
    const auto leaders = world.leadersOf(name);
    REQUIRE(leaders.size() == 1);
    return *leaders.front();
}

/// Interval between two passes of a group whose leader stays: shorter than a hold after which a
/// sidecar takes over.
constexpr milliseconds maxUndisturbedInterval = leaderTimeoutWhileHeld / 2;
/// The same when the leader beside rank 0 is lost and the sidecar of rank 1 takes over. A pass and
/// the messages for the release take the additional time.
constexpr milliseconds maxPassIntervalAfterLoss = leaderTimeout + leaderStagger + milliseconds(50);

RankStatus statusOf(std::uint32_t engine, const std::string &group, std::uint64_t readAt = 0)
{
    RankStatus status{.engine = {engine, 1}, .readAtMilliseconds = readAt};
    status.report.group = group;
    return status;
}

/// Time over which polls are counted: a multiple of the intervals at which the leaders of two,
/// three and nine groups poll the engines of other groups.
constexpr seconds countedTime{48};

/// Polls that the leader of one group sends to each engine within countedTime, after the first ones
/// by which it learns the groups. All engines answer.
std::map<Endpoint, std::uint32_t> pollsOfLeader(std::uint32_t group, std::uint32_t engines,
                                                std::uint32_t groups, bool switching)
{
    const auto groupOf = [groups](const Endpoint &engine) {
        return GroupFleetWorld::nameOf(engine.ip % groups);
    };
    std::vector<Endpoint> listed;
    for (std::uint32_t engine = 1; engine <= engines; ++engine)
        listed.push_back({engine, 1});
    GroupMembers members;
    setEngines(members, listed);
    resetMembers(members, GroupFleetWorld::nameOf(group));
    std::map<Endpoint, std::uint32_t> polls;
    const milliseconds period = rankPollPeriod(engines, switching);
    for (const Endpoint &engine : takeEnginesToPoll(members, period, false, start))
        recordStatus(members, statusOf(engine.ip, groupOf(engine)), start);
    const milliseconds step{25};
    for (TimePoint now = start + step; now <= start + countedTime; now += step) {
        for (const Endpoint &engine : takeEnginesToPoll(members, period, true, now)) {
            ++polls[engine];
            recordStatus(members, statusOf(engine.ip, groupOf(engine)), now);
        }
    }
    return polls;
}

std::uint32_t sumOf(const std::map<Endpoint, std::uint32_t> &polls)
{
    std::uint32_t sum = 0;
    for (const auto &[engine, count] : polls)
        sum += count;
    return sum;
}

} // namespace

// Guards against groups that keep their first map: only the group of the service's one leader would
// get a better one.
TEST_CASE("Two and five groups each get one leader and new maps")
{
    for (const std::uint32_t groups : {2U, 5U}) {
        GroupFleetWorld world(groups);
        world.run(seconds(12));
        requireOneLeaderEach(world, groups);
        for (std::uint32_t group = 0; group < groups; ++group) {
            const FleetGroup &seen = world.group(GroupFleetWorld::nameOf(group));
            requireConsistent(seen);
            REQUIRE(seen.switches >= 2);
            REQUIRE(seen.maxPassInterval < maxUndisturbedInterval);
        }
    }
}

// Guards against a group that stays held, and against a pause of another group, after the sidecar
// that leads is gone in the middle of a switch.
TEST_CASE(
    "A leader lost while idle, preparing, holding, arming or releasing delays only its own group")
{
    for (const SwitchPhase phase : {SwitchPhase::Idle, SwitchPhase::Preparing, SwitchPhase::Holding,
                                    SwitchPhase::Arming, SwitchPhase::Releasing}) {
        CAPTURE(phaseName(phase));
        GroupFleetWorld world(2);
        world.run(seconds(3));
        REQUIRE(world.runUntil([&] { return leaderOf(world, "g0").group.phase == phase; },
                               seconds(10)));
        FleetVm &lost = leaderOf(world, "g0");
        lost.sidecarRuns = false;
        const std::uint32_t otherBefore = world.group("g1").switches;
        world.run(seconds(4));
        REQUIRE(leaderOf(world, "g0").candidate.rank == 1);
        REQUIRE(world.group("g1").switches > otherBefore);
        world.restartSidecar(lost);
        const std::uint32_t before = world.group("g0").switches;
        world.run(seconds(8));
        requireOneLeaderEach(world, 2);
        REQUIRE(world.group("g0").switches > before);
        for (const char *name : {"g0", "g1"})
            requireConsistent(world.group(name));
        REQUIRE(world.group("g0").maxPassInterval < maxPassIntervalAfterLoss);
        REQUIRE(world.group("g1").maxPassInterval < maxUndisturbedInterval);
    }
}

// Guards against passes on two maps, and against groups that stay held, when messages arrive late,
// out of order or not at all and a leader is lost.
TEST_CASE("Groups switch without mixed passes while messages are delayed and lost")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        GroupFleetWorld world(2, seed);
        world.run(seconds(3) + milliseconds(37) * static_cast<int>(seed));
        const auto leaders = world.leadersOf("g0");
        REQUIRE_FALSE(leaders.empty());
        leaders.front()->sidecarRuns = false;
        world.run(seconds(4));
        world.restartSidecar(*leaders.front());
        const std::uint32_t before = world.group("g0").switches;
        world.run(seconds(8));
        REQUIRE(world.group("g0").switches > before);
        for (const char *name : {"g0", "g1"}) {
            requireConsistent(world.group(name));
            REQUIRE(world.group(name).switches >= 2);
        }
    }
}

// Guards against a broken group that keeps another one from new maps.
TEST_CASE("A group switches while another one is broken")
{
    GroupFleetWorld world(2);
    world.run(seconds(3));
    world.breakGroup("g0");
    const std::uint32_t before = world.group("g0").switches;
    const std::uint32_t otherBefore = world.group("g1").switches;
    world.run(seconds(6));
    REQUIRE(world.group("g0").switches == before);
    REQUIRE(world.group("g1").switches > otherBefore);
    REQUIRE(world.group("g1").maxPassInterval < maxUndisturbedInterval);
    requireConsistent(world.group("g0"));
    world.form("g0", 2, {0, 1, 2, 3});
    world.run(seconds(6));
    REQUIRE(world.group("g0").switches >= 2);
    requireConsistent(world.group("g0"));
}

// Guards against leaders that continue to use the engines' former groups: a leader whose own engine
// has changed its group would lead a group that it is no rank of, and the others would miss a rank.
TEST_CASE("Groups that form again with exchanged members get one leader each and new maps")
{
    // The epochs are equal in one case, so that only the name tells the groups apart.
    for (const std::uint64_t otherEpoch : {std::uint64_t{2}, std::uint64_t{7}}) {
        GroupFleetWorld world(2);
        world.run(seconds(4));
        for (const char *name : {"g0", "g1"})
            requireConsistent(world.group(name));
        world.form("g0", 2, {4, 1, 2, 7});
        world.form("g1", otherEpoch, {0, 5, 6, 3});
        world.run(milliseconds(25));
        // Both leaders' engines have changed their group.
        REQUIRE(world.leadersOf("g0").empty());
        REQUIRE(world.leadersOf("g1").empty());
        world.run(seconds(8));
        requireOneLeaderEach(world, 2);
        for (const char *name : {"g0", "g1"}) {
            requireConsistent(world.group(name));
            REQUIRE(world.group(name).switches >= 2);
        }
    }
}

// Guards against a rank that stays unknown because its engine is last known in another group.
TEST_CASE("An engine that comes back in another group is found within a second")
{
    GroupFleetWorld world(2);
    world.run(seconds(4));
    // Rank 3 of both groups is lost, and g0 forms again with the engine that was in g1.
    world.vms()[3].sidecarRuns = false;
    world.breakGroup("g1");
    requireConsistent(world.group("g0"));
    world.form("g0", 2, {0, 1, 2, 7});
    world.vms()[3].rank.report = {};
    REQUIRE(world.runUntil(
        [&] {
            const auto leaders = world.leadersOf("g0");
            return leaders.size() == 1 && leaders.front()->group.epoch == 2
                && allRanksKnown(leaders.front()->group);
        },
        seconds(1)));
    world.run(seconds(5));
    REQUIRE(world.group("g0").switches >= 1);
    requireConsistent(world.group("g0"));
}

// Guards against a rank that is never found, and against direct reads of the engines of all other
// groups, for which the platform charges.
TEST_CASE("Engines of unknown groups are polled and read as members, those of other groups seldom")
{
    GroupMembers members;
    setEngines(members, {{1, 1}, {2, 1}, {3, 1}});
    resetMembers(members, "g");
    recordStatus(members, statusOf(1, "g"), start);
    recordStatus(members, statusOf(2, "other"), start);
    REQUIRE(takeEnginesToPoll(members, pollPeriod, true, start).size() == 3);
    const std::vector<Endpoint> polled{{1, 1}, {3, 1}};
    for (TimePoint now = start + pollPeriod; now < start + otherGroupsPollPeriod; now += pollPeriod)
        REQUIRE(takeEnginesToPoll(members, pollPeriod, true, now) == polled);
    const TimePoint later = start + otherGroupsPollPeriod;
    REQUIRE(takeEnginesToPoll(members, pollPeriod, true, later).size() == 3);
    REQUIRE(takeEnginesToPoll(members, pollPeriod, false, later + pollPeriod).size() == 3);
    REQUIRE(silentEngines(members, later) == polled);
    REQUIRE(membersOf(members) == std::vector<Endpoint>{{1, 1}});
    recordReport(members, {3, 1}, statusOf(3, "other").report);
    REQUIRE(silentEngines(members, later) == std::vector<Endpoint>{{1, 1}});
    REQUIRE(possibleMembers(members) == 1);
}

// Guards against an engine that counts as one of its former group after a delayed datagram.
TEST_CASE("A delayed status does not bring an engine back into its former group")
{
    GroupMembers members;
    setEngines(members, {{1, 1}});
    resetMembers(members, "g");
    recordStatus(members, statusOf(1, "g", 500), start);
    recordStatus(members, statusOf(1, "other", 400), start + milliseconds(20));
    REQUIRE(membersOf(members).size() == 1);
    // After a restart of the VM its clock begins again.
    recordStatus(members, statusOf(1, "other", 10), start + maxReorderingDelay);
    REQUIRE(membersOf(members).empty());
}

// Guards against control traffic that grows with the number of groups, at any one leader and, from
// the leaders of all groups together, at any one engine.
TEST_CASE("The leaders of several groups poll an engine hardly more often than one leader of all")
{
    // With 24 and 9 engines, the interval is shorter during a switch.
    for (const auto &[engines, groups] :
         {std::pair{64U, 2U}, std::pair{288U, 9U}, std::pair{24U, 2U}, std::pair{9U, 3U}}) {
        for (const bool switching : {false, true}) {
            CAPTURE(engines, groups, switching);
            const auto ofOne = pollsOfLeader(0, engines, 1, switching);
            REQUIRE(ofOne.size() == engines);
            std::map<Endpoint, std::uint32_t> ofAll;
            for (std::uint32_t group = 0; group < groups; ++group) {
                const auto ofGroup = pollsOfLeader(group, engines, groups, switching);
                for (const auto &[engine, count] : ofGroup) {
                    REQUIRE(count <= ofOne.at(engine));
                    ofAll[engine] += count;
                }
                REQUIRE(sumOf(ofGroup) < sumOf(ofOne) * 3 / 4);
            }
            const auto additional = static_cast<std::uint32_t>(countedTime / otherGroupsPollPeriod);
            for (const auto &[engine, count] : ofAll)
                REQUIRE(count <= ofOne.at(engine) + additional);
        }
    }
}

// Guards against a sidecar that leads on old knowledge of its own rank.
TEST_CASE("A sidecar leads only by a recent report, and waits after its engine changed the group")
{
    GroupCandidate candidate{.election = {.higherPriorityHeardAt = {}, .listeningSince = start}};
    const RankReport report{.group = "g", .epoch = 1, .rank = 0, .groupSize = 4};
    REQUIRE_FALSE(leadsGroup(candidate, start + seconds(5)));
    noteOwnReport(candidate, report, start, start);
    REQUIRE_FALSE(leadsGroup(candidate, start + leaderTimeout - milliseconds(1)));
    REQUIRE(leadsGroup(candidate, start + leaderTimeout));
    REQUIRE_FALSE(leadsGroup(candidate, start + maxOwnReportAge + milliseconds(1)));
    const TimePoint later = start + seconds(10);
    RankReport other = report;
    other.group = "other";
    noteOwnReport(candidate, other, later, later);
    REQUIRE_FALSE(leadsGroup(candidate, later + leaderTimeout - milliseconds(1)));
    REQUIRE(leadsGroup(candidate, later + leaderTimeout));
    other.group.clear();
    noteOwnReport(candidate, other, later + seconds(1), later + seconds(1));
    REQUIRE_FALSE(leadsGroup(candidate, later + seconds(3)));
}

// Guards against a group without a leader because that of another group is heard, and against two
// leaders of one group: the one beside the higher rank must yield.
TEST_CASE("Only polls of the own group and of earlier versions count in the election")
{
    GroupCandidate candidate;
    const RankReport report{.group = "g", .epoch = 1, .rank = 2, .groupSize = 4};
    const auto leadsAfter = [&](const RankPoll &poll) {
        candidate = {};
        noteOwnReport(candidate, report, start, start);
        const TimePoint heardAt = start + leaderTimeout + 2 * leaderStagger;
        REQUIRE(leadsGroup(candidate, heardAt));
        if (isOfOwnGroup(candidate, poll))
            notePoll(candidate, poll, heardAt);
        return leadsGroup(candidate, heardAt + milliseconds(25));
    };
    REQUIRE(leadsAfter({.group = "other", .rank = 0}));
    REQUIRE(leadsAfter({.group = "g", .rank = 3}));
    REQUIRE_FALSE(leadsAfter({.group = "g", .rank = 1}));
    REQUIRE_FALSE(leadsAfter(RankPoll{}));
}
