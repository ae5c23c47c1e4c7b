#include <algorithm>

#include <catch2/catch.hpp>

#include "Version/GroupFleetWorld.h"
#include "Version/RankGroupWorld.h"
#include "Version/SwitchOrders.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};
const RankMap firstMap{{{0, 4}, {1, 5}, {2, 6}, {3, 7}}};
const RankMap secondMap{{{1, 5}, {2, 6}, {3, 7}, {0, 4}}};
constexpr std::uint32_t otherLeader = 2;

std::uint64_t versionOf(std::uint32_t leader, std::uint64_t tick)
{
    return tick * ranksPerVersionTick + leader;
}

/// A group whose ranks are all in the same state, and the leader beside rank 0 that reads it.
struct AdoptingLeader
{
    GroupSwitch group{.group = "g", .epoch = 1};
    RankReport report{
        .group = "g", .epoch = 1, .groupSize = rankCount, .groupOpen = true, .pass = 10};
    RankMap mapInForce = firstMap;
    TimePoint now = start;
    /// Experts that the last statuses contained, over all ranks.
    std::size_t sentExperts = 0;

    /// Sends the statuses of all ranks, without experts if the leader knows the map.
    void sendStatuses()
    {
        const std::vector<std::uint64_t> known = knownMaps(group);
        sentExperts = 0;
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            RankStatus status{.engine = {rank + 1, 1}, .report = report};
            status.report.rank = rank;
            if (rank != holderOf(otherLeader, rankCount))
                status.report.heldPass.reset();
            if (std::find(known.begin(), known.end(), report.map) == known.end())
                status.experts = {mapInForce[0][rank]};
            sentExperts += status.experts.empty() ? 0 : status.experts[0].size();
            applyStatus(group, status, now);
        }
    }

    SwitchUpdate advance()
    {
        now += milliseconds(40);
        return advanceSwitch(group, profile, {}, SwitchTiming{}, {.rank = 0, .versionTick = 1},
                             now);
    }

    /// Holds the group and arms all ranks, as another leader does before its VM freezes. This
    /// leader adopts the version and releases the hold, and the group switches to the map.
    void adopt(std::uint64_t version, const RankMap &map)
    {
        report.armed = version;
        report.armedPass = report.pass + 1;
        report.heldPass = report.armedPass;
        sendStatuses();
        advance();
        advance();
        REQUIRE(group.phase == SwitchPhase::Releasing);
        REQUIRE(group.version == version);
        report.pass = report.armedPass;
        report.map = version;
        report.armed = 0;
        report.heldPass.reset();
        mapInForce = map;
        sendStatuses();
    }

    /// The group forms anew, with the first map.
    void formAnew()
    {
        report = {.group = "g",
                  .epoch = report.epoch + 1,
                  .groupSize = rankCount,
                  .groupOpen = true,
                  .pass = 0};
        mapInForce = firstMap;
        sendStatuses();
    }
};

} // namespace

// Guards against the experts of all ranks in each status, at each poll, until the next switch.
TEST_CASE("A leader knows the map of an adopted version once all ranks have sent their experts")
{
    AdoptingLeader leader;
    leader.adopt(versionOf(otherLeader, 1), secondMap);
    REQUIRE(leader.sentExperts > 0);
    leader.sendStatuses();
    REQUIRE(leader.sentExperts == 0);
    REQUIRE(currentMap(leader.group, profile) == secondMap);
}

// Guards against a log line and gauges that give the skew and the copies of this leader's own last
// map as those of the adopted version.
TEST_CASE("An adopted version has no proposal of the leader that adopts it")
{
    AdoptingLeader leader;
    leader.group.version = versionOf(0, 1);
    leader.group.map = firstMap;
    leader.group.proposal = {.map = firstMap, .skewBefore = 3, .skewAfter = 1.1, .copies = 40};
    leader.adopt(versionOf(otherLeader, 2), secondMap);
    REQUIRE_FALSE(hasProposal(leader.group));
    REQUIRE(leader.advance().event == SwitchEvent::InForce);
    REQUIRE(leader.group.version == versionOf(otherLeader, 2));
    REQUIRE_FALSE(hasProposal(leader.group));
}

// Guards against a view of the map in force that is that of the version adopted before, or that of
// the group before it formed anew.
TEST_CASE("A leader that adopts twice, and whose group then forms anew, knows the map in force")
{
    AdoptingLeader leader;
    leader.adopt(versionOf(otherLeader, 1), secondMap);
    REQUIRE(leader.advance().event == SwitchEvent::InForce);
    leader.adopt(versionOf(otherLeader, 2), firstMap);
    REQUIRE(currentMap(leader.group, profile) == firstMap);
    REQUIRE(leader.advance().event == SwitchEvent::InForce);
    leader.formAnew();
    leader.sendStatuses();
    REQUIRE(leader.group.version == 0);
    REQUIRE(currentMap(leader.group, profile) == firstMap);
    leader.adopt(versionOf(otherLeader, 3), secondMap);
    REQUIRE(currentMap(leader.group, profile) == secondMap);
}

// Guards against a leader that takes another map for the one in force in one of two groups, whose
// leaders use the same version numbers, while messages are lost and leaders freeze in any phase.
TEST_CASE("Leaders of two groups that freeze and resume never take another map for the one in "
          "force")
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        GroupFleetWorld world(2, seed);
        world.run(seconds(3));
        for (std::uint32_t freeze = 0; freeze < 4; ++freeze) {
            const auto phase = freeze % 2 == 0 ? SwitchPhase::Arming : SwitchPhase::Releasing;
            const auto leaders = world.leadersOf("g0");
            REQUIRE_FALSE(leaders.empty());
            FleetVm &frozen = *leaders.front();
            world.runUntil([&] { return frozen.group.phase == phase; }, seconds(4));
            frozen.sidecarRuns = false;
            world.run(milliseconds(700 + 37 * static_cast<int>(seed)));
            frozen.sidecarRuns = true;
            if (freeze == 3)
                world.form("g1", 2, {4, 5, 6, 7});
            world.run(seconds(2));
        }
        for (const char *name : {"g0", "g1"}) {
            REQUIRE_FALSE(world.group(name).leaderHadWrongMap);
            REQUIRE_FALSE(world.group(name).beganMixedPass);
        }
    }
}

// Guards against a leader that ends because the group's size, by which it chooses the rank that
// holds, is not the number of its ranks.
TEST_CASE("A leader does not hold a group at a rank that is not known")
{
    AdoptingLeader leader;
    leader.sendStatuses();
    enterPhase(leader.group, SwitchPhase::Preparing, leader.now);
    setVersion(leader.group, versionOf(rankCount - 1, 1), secondMap);
    leader.report.prepared = leader.group.version;
    leader.report.groupSize = 2 * rankCount;
    leader.sendStatuses();
    for (int i = 0; i < 3; ++i) {
        leader.now += milliseconds(40);
        REQUIRE_NOTHROW(advanceSwitch(leader.group, profile, {}, SwitchTiming{},
                                      {.rank = rankCount - 1, .versionTick = 1}, leader.now));
    }
    REQUIRE(leader.group.phase == SwitchPhase::Preparing);
    leader.now += SwitchTiming{}.prepareTimeout;
    advanceSwitch(leader.group, profile, {}, SwitchTiming{},
                  {.rank = rankCount - 1, .versionTick = 1}, leader.now);
    REQUIRE(leader.group.phase == SwitchPhase::Idle);
}

// Guards against a release before a rank is known to be armed, because its engine has reported
// itself as another rank.
TEST_CASE("A rank stays known in a switch when its engine reports itself as another one")
{
    AdoptingLeader leader;
    leader.sendStatuses();
    enterPhase(leader.group, SwitchPhase::Arming, leader.now);
    RankStatus other{.engine = {2, 1}, .report = leader.report};
    other.report.rank = 0;
    applyStatus(leader.group, other, leader.now);
    REQUIRE(leader.group.ranks.size() == rankCount);
}
