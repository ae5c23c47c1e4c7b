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
    const RunTime unknown{.deadline = at(7500), .usual = std::nullopt};
    CHECK(maySend(stop, unknown, at(100)));
    CHECK_FALSE(maySend(stop, {.deadline = at(7501), .usual = std::nullopt}, at(100)));
    const RunTime usual{.deadline = at(60000), .usual = milliseconds(5000)};
    CHECK(maySend(stop, usual, at(2500)));
    CHECK_FALSE(maySend(stop, usual, at(2501)));
}

// Guards against the usual run's time as an excuse once callers are no longer excused.
TEST_CASE("A gateway that accepts no more connections sends only what surely completes in time")
{
    const RunTime run{.deadline = at(60000), .usual = milliseconds(10)};
    CHECK(maySend(stop, run, at(2599)));
    CHECK_FALSE(maySend(stop, run, at(2600)));
    CHECK(maySend(stop, {.deadline = at(7500), .usual = std::nullopt}, at(7400)));
}

// Guards against a moment of a stop that lies before its beginning.
TEST_CASE("The moments of a stop with a short grace period are not before its beginning")
{
    const PlannedStop brief{start, milliseconds(200)};
    CHECK(answersOpenAt(brief) == start);
    CHECK(exitsAt(brief) == start);
}

// Guards against an estimate from a few runs, and against one that the slowest run decides.
TEST_CASE("The usual run is known from eight runs on and leaves out the slowest")
{
    RecentRuns runs;
    for (int i = 0; i < 7; ++i)
        noteRun(runs, milliseconds(10));
    CHECK_FALSE(usualRun(runs).has_value());
    noteRun(runs, milliseconds(20));
    CHECK(usualRun(runs) == milliseconds(20));
    for (std::size_t i = 0; i < RecentRuns::kept; ++i)
        noteRun(runs, milliseconds(30));
    noteRun(runs, milliseconds(9000));
    CHECK(usualRun(runs) == milliseconds(30));
}
