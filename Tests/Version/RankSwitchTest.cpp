#include <algorithm>

#include <catch2/catch.hpp>

#include "Version/RankGroupWorld.h"

using namespace wisteria;

TEST_CASE("A quiet group follows demand and is hardly held")
{
    World world(1, {});
    world.run(seconds(30));
    REQUIRE_FALSE(world.mixed());
    REQUIRE(world.switches() >= 5);
    REQUIRE(world.longestHold() < milliseconds(250));
}

// Callers would see every stream of a group stop for seconds. Orders to ranks get no answer and are
// carried out seconds later, after newer ones; a leader that believed an order lost, or let the
// group go before each rank was seen armed, would let a pass begin on two maps.
TEST_CASE("Orders that are carried out seconds late never bring a pass on two maps")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        World world(seed, {.lateOrders = 0.35, .lostMessages = 0.1});
        world.run(seconds(20));
        CAPTURE(seed, world.longestHold().count());
        REQUIRE_FALSE(world.mixed());
        REQUIRE(world.switches() >= 1);
        REQUIRE(world.longestHold() < seconds(2));
    }
}

// Every stream of a group stops for good. The leader's VM dies between hold and go, or freezes and
// wakes up beside its successor; the hold has no time limit, so whoever follows must find it.
TEST_CASE("Leaders that die at any moment, or go on beside the next one, leave no group held")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        World world(seed,
                    {.lateOrders = 0.2,
                     .lostMessages = 0.1,
                     .leaderLife = milliseconds(730),
                     .overlap = milliseconds(seed % 2 == 0 ? 0 : 400)});
        world.run(seconds(20));
        CAPTURE(seed, world.longestHold().count());
        REQUIRE_FALSE(world.mixed());
        REQUIRE(world.longestHold() < seconds(3));
    }
}

// Every stream of a group stopped for 34 seconds, until all was restarted. A status showed a rank
// as it was before its copies were complete; the leader took the version for lost there and
// prepared another one, which ranks refuse that were armed in the meantime.
TEST_CASE("Old states that are told as new ones leave no group held")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        World world(seed, {.lateOrders = 0.05, .lostMessages = 0.05, .staleStatuses = 0.15});
        world.run(seconds(20));
        CAPTURE(seed, world.longestHold().count());
        REQUIRE_FALSE(world.mixed());
        REQUIRE(world.switches() >= 1);
        REQUIRE(world.longestHold() < seconds(3));
    }
}

// A quotation's stream turns to nonsense: ranks began a pass on two maps. The links of two leaders
// were seconds behind, so one saw ranks as they were before their copies were complete, took the
// version for lost and disarmed them, while the other had seen all of them armed and let them go.
TEST_CASE("Leaders whose links are seconds behind never bring a pass on two maps")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        World world(seed,
                    {.lateOrders = 0.1,
                     .lostMessages = 0.1,
                     .longestQueue = milliseconds(seed % 2 == 0 ? 800 : 3000),
                     .leaderLife = milliseconds(2500),
                     .overlap = milliseconds(2400)});
        world.run(seconds(20));
        CAPTURE(seed, world.longestHold().count());
        REQUIRE_FALSE(world.mixed());
        REQUIRE(world.longestHold() < seconds(8));
    }
}

TEST_CASE("A hold that nobody owns is let go within a second")
{
    World world(7, {});
    world.run(seconds(3));
    world.holdByNobody();
    world.run(seconds(2));
    REQUIRE_FALSE(world.mixed());
    REQUIRE(world.longestHold() < seconds(1));
}

// Every stream of a group stops for good. A leader whose clock was ahead had a rank prepare a high
// version and died; its successor, in the middle of letting a held group go, asks that rank for
// lower ones, which it refuses for ever.
TEST_CASE("A rank that has had a higher version does not keep a group held")
{
    World world(9, {});
    world.run(seconds(3));
    world.holdByNobody();
    world.overtake(3, 90'000 * ranksPerVersionTick);
    world.run(seconds(3));
    REQUIRE_FALSE(world.mixed());
    REQUIRE(world.longestHold() < seconds(1));
}

TEST_CASE("A switch that its leader left half armed is carried through")
{
    World world(8, {});
    world.armHalf();
    world.run(seconds(2));
    REQUIRE_FALSE(world.mixed());
    REQUIRE(world.longestHold() < seconds(1));
}

// A leader whose own link was behind took the sidecars of 192 ranks for silent and ordered each
// engine itself: 1,000 connections within a second, 1,584 of 1,598 orders without an answer in
// time, while the group stood held.
TEST_CASE(
    "Only a few silent ranks are ordered directly; a leader that hears nobody is itself behind")
{
    constexpr std::uint32_t ranks = 192;
    const auto directOrders = [ranks](std::uint32_t silent) {
        const TimePoint now{seconds(100)};
        GroupSwitch group{.group = "g", .epoch = 1};
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            RankStatus status{.engine = {rank + 1, 1}};
            status.report = {
                .group = "g", .epoch = 1, .rank = rank, .groupSize = ranks, .groupOpen = true};
            status.report.prepared = 7;
            const milliseconds age(rank < silent ? 300 : 20);
            applyStatus(group, status, now - age);
        }
        group.phase = SwitchPhase::Arming;
        group.version = 7;
        group.pass = 9;
        const SwitchUpdate update =
            advanceSwitch(group, profile, {}, SwitchTiming{}, {.rank = 0, .versionTick = 1}, now);
        REQUIRE(update.actions.size() == ranks);
        return std::count_if(update.actions.begin(), update.actions.end(),
                             [](const SwitchAction &action) { return action.direct; });
    };
    REQUIRE(directOrders(0) == 0);
    REQUIRE(directOrders(5) == 5);
    REQUIRE(directOrders(100) == 0);
    REQUIRE(directOrders(ranks) == 0);
}

TEST_CASE("The status of a rank whose map the leader knows stays small")
{
    RankStatus status{.engine = {0x0A010001, 8000}, .readAtMilliseconds = 48'000};
    status.report = {.group = "assist-lm-1",
                     .epoch = 1,
                     .rank = 150,
                     .groupSize = 192,
                     .groupOpen = true,
                     .pass = 300,
                     .map = 6'700'000'000'000};
    status.experts.assign(10, {200, 300, 380});
    const std::size_t whole = encodeMessage(status).size();
    status.experts.clear();
    REQUIRE(encodeMessage(status).size() * 2 < whole);
    REQUIRE(encodeMessage(status).size() <= 100);
}
