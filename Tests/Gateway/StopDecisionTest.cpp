#include <catch2/catch.hpp>

#include "Request/PlannedStop.h"
#include "Request/RecentRuns.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};
const PlannedStop stop{start, milliseconds(8000)};

TimePoint at(int millisecondsAfterStop)
{
    return start + milliseconds(millisecondsAfterStop);
}

} // namespace

// Guards against requests that are sent late in the grace period and cut off at its end.
TEST_CASE("A stopping gateway sends only requests that complete before its last answers")
{
    CHECK(maySend(stop, {at(100), at(7500), std::nullopt}, at(100)));
    CHECK_FALSE(maySend(stop, {at(100), at(7501), std::nullopt}, at(100)));
    const RunTime usual{at(100), at(60000), milliseconds(1500)};
    CHECK(maySend(stop, usual, at(6000)));
    CHECK_FALSE(maySend(stop, usual, at(6001)));
}

// Guards against the usual run's time as an excuse for a request that came too late to be excused.
TEST_CASE(
    "Of what arrives when no more connections are accepted only what surely completes is sent")
{
    CHECK(maySend(stop, {at(2599), at(60000), milliseconds(10)}, at(3000)));
    CHECK_FALSE(maySend(stop, {at(2600), at(60000), milliseconds(10)}, at(3000)));
    CHECK(maySend(stop, {at(3000), at(7500), std::nullopt}, at(7400)));
}

// Guards against a moment of a stop that lies before its beginning.
TEST_CASE("The moments of a stop with a short grace period are not before its beginning")
{
    const PlannedStop brief{start, milliseconds(200)};
    CHECK(answersOpenAt(brief) == start);
    CHECK(exitsAt(brief) == start);
}

// Guards against an estimate that a single run decides.
TEST_CASE("The usual run leaves out the slowest of many and doubts a few")
{
    RecentRuns runs;
    CHECK_FALSE(usualRun(runs).has_value());
    for (int i = 0; i < 7; ++i)
        noteRun(runs, milliseconds(10));
    CHECK(usualRun(runs) == milliseconds(20));
    noteRun(runs, milliseconds(15));
    CHECK(usualRun(runs) == milliseconds(15));
    for (std::size_t i = 0; i < RecentRuns::kept; ++i)
        noteRun(runs, milliseconds(30));
    noteRun(runs, milliseconds(9000));
    CHECK(usualRun(runs) == milliseconds(30));
}
