#include <algorithm>

#include <catch2/catch.hpp>

#include "Version/RankGroupWorld.h"

using namespace wisteria;

TEST_CASE("A group without faults switches with demand and begins passes at most 250 ms apart")
{
    RankGroupWorld world(1, {});
    world.run(seconds(30));
    REQUIRE_FALSE(world.beganMixedPass());
    REQUIRE(world.switches() >= 5);
    REQUIRE(world.maxPassInterval() < milliseconds(250));
}

// Guards against a pass with two maps in force, and against streams that stop for seconds. Orders
// get no answer and are executed seconds later, after newer ones. The first fault occurs if the
// leader takes such an order for lost, or releases the group before it has seen each rank armed.
TEST_CASE("Orders that are executed seconds late never cause a pass with two maps")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RankGroupWorld world(seed, {.lateOrders = 0.35, .lostMessages = 0.1});
        world.run(seconds(20));
        CAPTURE(seed, world.maxPassInterval().count());
        REQUIRE_FALSE(world.beganMixedPass());
        REQUIRE(world.switches() >= 1);
        REQUIRE(world.maxPassInterval() < seconds(2));
    }
}

// Guards against a pass with two maps in force: a leader that is killed and starts again without
// memory holds a group without work before the same pass again, and a release of the earlier hold,
// executed seconds late, ends the new one.
TEST_CASE("Leaders that start again without memory never cause a pass with two maps")
{
    const bool killsAll = GENERATE(false, true);
    std::uint32_t kills = 0;
    std::uint32_t switches = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RankGroupWorld world(seed,
                             {.lateOrders = 0.5,
                              .minLateness = 1000,
                              .lateArms = 0.9,
                              .killsAtOrders = 0.3,
                              .killsAll = killsAll,
                              .maxIdleTime = 4000,
                              .passesPerShift = 3});
        world.run(seconds(60));
        CAPTURE(seed, killsAll);
        REQUIRE_FALSE(world.beganMixedPass());
        kills += world.kills();
        switches += world.switches();
    }
    REQUIRE(kills >= 200);
    REQUIRE(switches >= 200);
}

// Guards against a group that is held forever, with all its streams stopped. The leader's VM dies
// between hold and release, or continues beside its successor as after a freeze. A hold has no
// timeout, so the next leader must find and recover it.
TEST_CASE(
    "A leader that is replaced during a switch, or overlaps with the next, leaves no group held")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RankGroupWorld world(seed,
                             {.lateOrders = 0.2,
                              .lostMessages = 0.1,
                              .leaderLifetime = milliseconds(730),
                              .overlap = milliseconds(seed % 2 == 0 ? 0 : 400)});
        world.run(seconds(20));
        CAPTURE(seed, world.maxPassInterval().count());
        REQUIRE_FALSE(world.beganMixedPass());
        REQUIRE(world.maxPassInterval() < seconds(3));
    }
}

// Guards against a group whose streams all stop until a restart. A status with a new time contains
// a rank's state before its copies were complete. The leader takes the version for superseded and
// prepares another one, which the ranks armed meanwhile refuse.
TEST_CASE("Old states that are sent with a new time leave no group held")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RankGroupWorld world(seed,
                             {.lateOrders = 0.05, .lostMessages = 0.05, .staleStatuses = 0.15});
        world.run(seconds(20));
        CAPTURE(seed, world.maxPassInterval().count());
        REQUIRE_FALSE(world.beganMixedPass());
        REQUIRE(world.switches() >= 1);
        REQUIRE(world.maxPassInterval() < seconds(3));
    }
}

// Guards against a pass with two maps in force, which corrupts the output of streams. The links of
// two leaders are seconds behind. One sees ranks before their copies are complete, takes the
// version for superseded and disarms them, while the other has seen all of them armed and releases
// the group.
TEST_CASE("Leaders whose links are seconds behind never cause a pass with two maps")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RankGroupWorld world(seed,
                             {.lateOrders = 0.1,
                              .lostMessages = 0.1,
                              .maxQueueDelay = milliseconds(seed % 2 == 0 ? 800 : 3000),
                              .leaderLifetime = milliseconds(2500),
                              .overlap = milliseconds(2400)});
        world.run(seconds(20));
        CAPTURE(seed, world.maxPassInterval().count());
        REQUIRE_FALSE(world.beganMixedPass());
        REQUIRE(world.maxPassInterval() < seconds(8));
    }
}

// Guards against a leader that changes no map any more. Another leader brought a later version into
// force before it saw its own one in force, and it waits for that one for ever.
TEST_CASE("A leader that finds a later version in force while it releases ends its switch")
{
    constexpr std::uint64_t version = ranksPerVersionTick;
    GroupSwitch group{.group = "g", .epoch = 1, .phase = SwitchPhase::Releasing};
    group.version = version;
    group.pass = 9;
    const TimePoint now{seconds(100)};
    const auto applyStatuses = [&](std::uint64_t map, std::optional<std::uint64_t> heldPass) {
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            RankStatus status{.engine = {rank + 1, 1}, .experts = {{rank}}};
            status.report = {
                .group = "g", .epoch = 1, .rank = rank, .groupSize = rankCount, .groupOpen = true};
            status.report.map = map;
            status.report.heldPass = rank == 1 ? heldPass : std::nullopt;
            applyStatus(group, status, now);
        }
        return advanceSwitch(group, profile, {}, SwitchTiming{}, {}, now);
    };
    // A hold is released first, whatever is in force.
    const SwitchUpdate held = applyStatuses(version + 1, 9);
    REQUIRE(held.actions.size() == 1);
    REQUIRE(group.phase == SwitchPhase::Releasing);
    REQUIRE(applyStatuses(version + 1, std::nullopt).event == SwitchEvent::Superseded);
    REQUIRE(group.phase == SwitchPhase::Idle);
}

// Guards against the same in whole runs, with two leaders whose links are seconds behind.
TEST_CASE("A leader whose link is seconds behind does not wait for a version that is superseded")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RankGroupWorld world(seed,
                             {.lateOrders = 0.1,
                              .lostMessages = 0.1,
                              .maxQueueDelay = seconds(3),
                              .leaderLifetime = seconds(9),
                              .overlap = seconds(8)});
        world.run(seconds(20));
        CAPTURE(seed);
        REQUIRE_FALSE(world.beganMixedPass());
        REQUIRE_FALSE(world.waitedForOldVersion());
    }
}

TEST_CASE("A hold without a live leader is released within a second")
{
    RankGroupWorld world(7, {});
    world.run(seconds(3));
    world.addHoldWithoutLeader();
    world.run(seconds(2));
    REQUIRE_FALSE(world.beganMixedPass());
    REQUIRE(world.maxPassInterval() < seconds(1));
}

// Guards against a group that is held forever. A leader whose clock is ahead orders a rank to
// prepare a high version and dies. Its successor, while it recovers a held group, orders that rank
// to prepare lower versions, which the rank always refuses.
TEST_CASE("A rank that has had a higher version does not keep a group held")
{
    RankGroupWorld world(9, {});
    world.run(seconds(3));
    world.addHoldWithoutLeader();
    world.prepareHigherVersion(3, 90'000 * ranksPerVersionTick);
    world.run(seconds(3));
    REQUIRE_FALSE(world.beganMixedPass());
    REQUIRE(world.maxPassInterval() < seconds(1));
}

TEST_CASE("A group whose leader died with one of the ranks armed is released within a second")
{
    RankGroupWorld world(8, {});
    world.armOneRank();
    world.run(seconds(2));
    REQUIRE_FALSE(world.beganMixedPass());
    REQUIRE(world.maxPassInterval() < seconds(1));
}

// Guards against an overload by direct orders. A leader whose own link is behind takes the sidecars
// of 192 ranks for silent and sends orders directly to each engine: most of these orders get no
// answer in time, while the group is held.
TEST_CASE("A leader that arms its own rank last sends direct orders to a few silent ranks only")
{
    constexpr std::uint32_t ranks = 192;
    // The leader's own rank is one more. It is armed last, so that a leader that finds this VM
    // frozen can conclude from any unarmed rank that the unreachable one is unarmed too.
    constexpr std::uint32_t ownRank = ranks;
    const auto directOrders = [ranks](std::uint32_t silent, bool ownIsSilent) {
        const TimePoint now{seconds(100)};
        GroupSwitch group{.group = "g", .epoch = 1};
        for (std::uint32_t rank = 0; rank <= ownRank; ++rank) {
            RankStatus status{.engine = {rank + 1, 1}};
            status.report = {
                .group = "g", .epoch = 1, .rank = rank, .groupSize = ranks + 1, .groupOpen = true};
            status.report.prepared = 7;
            const bool isSilent = rank == ownRank ? ownIsSilent : rank < silent;
            const milliseconds age(isSilent ? 300 : 20);
            applyStatus(group, status, now - age);
        }
        group.phase = SwitchPhase::Arming;
        group.version = 7;
        group.pass = 9;
        const LeaderIdentity leader{.rank = ownRank, .versionTick = 1};
        const SwitchUpdate update = advanceSwitch(group, profile, {}, SwitchTiming{}, leader, now);
        REQUIRE(update.actions.size() == ranks);
        const auto isOwn = [](const SwitchAction &action) { return action.rank == ownRank; };
        REQUIRE(std::none_of(update.actions.begin(), update.actions.end(), isOwn));

        const TimePoint later = now + milliseconds(20);
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            const RankOrder order{.kind = RankOrderKind::Arm, .epoch = 1, .version = 7, .pass = 9};
            noteOrderDone(group, rank, order, later);
        }
        const SwitchUpdate last = advanceSwitch(group, profile, {}, SwitchTiming{}, leader, later);
        REQUIRE(last.actions.size() == 1);
        REQUIRE(isOwn(last.actions.front()));
        REQUIRE(last.actions.front().direct == ownIsSilent);
        return std::count_if(update.actions.begin(), update.actions.end(),
                             [](const SwitchAction &action) { return action.direct; });
    };
    for (const bool ownIsSilent : {false, true}) {
        REQUIRE(directOrders(0, ownIsSilent) == 0);
        REQUIRE(directOrders(5, ownIsSilent) == 5);
        REQUIRE(directOrders(100, ownIsSilent) == 0);
        REQUIRE(directOrders(ranks, ownIsSilent) == 0);
    }
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
