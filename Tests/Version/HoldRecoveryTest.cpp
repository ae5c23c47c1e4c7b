#include <catch2/catch.hpp>

#include "Version/RankGroupWorld.h"

using namespace wisteria;

// Guards against a group that stays held for as long as its leader's VM is frozen.
TEST_CASE(
    "A group whose leader froze after the hold is released without the status of the leader's rank")
{
    int released = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RankGroupWorld world(seed, {.lostMessages = 0.05, .freeze = seconds(4)});
        world.run(seconds(12));
        CAPTURE(seed, world.maxPassInterval().count());
        REQUIRE(world.leaderFroze());
        REQUIRE_FALSE(world.beganMixedPass());
        if (!world.allOthersArmed())
            REQUIRE(world.maxPassInterval() <= milliseconds(1200));
        released += world.allOthersArmed() ? 0 : 1;
    }
    // In most runs not all other ranks are armed yet, so the group must be released.
    REQUIRE(released >= 190);
}

// Guards against a pass with two maps in force. A leader freezes with ranks armed, or resumes
// beside its successor, and orders are executed seconds late.
TEST_CASE("A leader that freezes at any moment of a hold never causes a pass with two maps")
{
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        RankGroupWorld world(seed,
                             {.lateOrders = seed % 3 == 0 ? 0.35 : 0.1,
                              .lostMessages = 0.1,
                              .staleStatuses = seed % 5 == 0 ? 0.15 : 0.0,
                              .freeze = milliseconds(300 + 10 * static_cast<int>(seed)),
                              .freezeWhileArming = seed % 2 == 0});
        world.run(seconds(15));
        CAPTURE(seed, world.maxPassInterval().count());
        REQUIRE_FALSE(world.beganMixedPass());
        REQUIRE(world.maxPassInterval() < seconds(8));
    }
}

// Guards against streams of a held group that stall for the election timeout of the holder's
// position: a second at the first position, 4.5 seconds at position 40.
TEST_CASE("The sidecar whose rank holds the group leads soon after the leader falls silent")
{
    constexpr TimePoint start{seconds(100)};
    constexpr std::size_t position = 40;
    LeaderElection election{.higherPriorityHeardAt = start, .listeningSince = start};
    noteLeaderPoll(election, start + seconds(5));
    noteHigherPriorityLeader(election, start + seconds(5));
    noteHold(election, true, start + seconds(5));
    REQUIRE_FALSE(isLeader(election, position, start + seconds(5) + milliseconds(350)));
    REQUIRE(isLeader(election, position, start + seconds(5) + leaderTimeoutWhileHeld));
    // A leader whose polls arrive continues its switch, however long that takes.
    noteLeaderPoll(election, start + seconds(6));
    REQUIRE_FALSE(isLeader(election, position, start + seconds(6) + milliseconds(350)));
    // After the release, the position in the list counts again.
    noteHold(election, false, start + milliseconds(6100));
    REQUIRE_FALSE(isLeader(election, position, start + milliseconds(6500)));
}
