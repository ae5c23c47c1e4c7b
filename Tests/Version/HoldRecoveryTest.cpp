#include <catch2/catch.hpp>

#include "Version/RankGroupWorld.h"

using namespace wisteria;

// Guards against a group that stays held for as long as its leader's VM is frozen.
TEST_CASE("A group whose leader froze after the hold goes on without the leader's rank")
{
    int goneOn = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        World world(seed, {.lostMessages = 0.05, .freeze = seconds(4)});
        world.run(seconds(12));
        CAPTURE(seed, world.longestHold().count());
        REQUIRE(world.froze());
        REQUIRE_FALSE(world.mixed());
        if (!world.othersArmed())
            REQUIRE(world.longestHold() <= milliseconds(1200));
        goneOn += world.othersArmed() ? 0 : 1;
    }
    // Mostly nothing is armed yet.
    REQUIRE(goneOn >= 190);
}

// Guards against a pass on two maps where a frozen leader had ranks armed, or wakes up beside its
// successor, and orders are carried out seconds late.
TEST_CASE("A leader that freezes with a group held, at any moment, never brings a pass on two maps")
{
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        World world(seed,
                    {.lateOrders = seed % 3 == 0 ? 0.35 : 0.1,
                     .lostMessages = 0.1,
                     .staleStatuses = seed % 5 == 0 ? 0.15 : 0.0,
                     .freeze = milliseconds(300 + 10 * static_cast<int>(seed)),
                     .freezeInArming = seed % 2 == 0});
        world.run(seconds(15));
        CAPTURE(seed, world.longestHold().count());
        REQUIRE_FALSE(world.mixed());
        REQUIRE(world.longestHold() < seconds(8));
    }
}

// Guards against a second of silence in which no stream of a held group moves.
TEST_CASE("The sidecar whose rank holds the group leads soon after its leader fell silent")
{
    constexpr TimePoint start{seconds(100)};
    constexpr std::size_t position = 40;
    LeaderElection election{.higherPriorityHeardAt = start, .since = start};
    noteLeaderPoll(election, start + seconds(5));
    noteHigherPriorityLeader(election, start + seconds(5));
    noteHold(election, true, start + seconds(5));
    REQUIRE_FALSE(isLeader(election, position, start + seconds(5) + milliseconds(350)));
    REQUIRE(isLeader(election, position, start + seconds(5) + leaderTimeoutWhileHeld));
    // A leader that is heard goes on with its switch, however long that takes.
    noteLeaderPoll(election, start + seconds(6));
    REQUIRE_FALSE(isLeader(election, position, start + seconds(6) + milliseconds(350)));
    // Once the group goes on, its place in the list counts again.
    noteHold(election, false, start + milliseconds(6100));
    REQUIRE_FALSE(isLeader(election, position, start + milliseconds(6500)));
}
