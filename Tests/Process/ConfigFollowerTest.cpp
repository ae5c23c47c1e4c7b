#include "Process/ConfigFollower.h"

#include <catch2/catch.hpp>

#include "Process/MemoryLogClient.h"
#include "Version/ConfigRecords.h"
#include "Version/Snapshot.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

void append(MemoryLogClient &log, const LogRecord &record)
{
    REQUIRE(log.append(configStream, record.data, seconds(1)).has_value());
}

} // namespace

TEST_CASE("A follower with a reachable log is usable only once it has caught up")
{
    MemoryLogClient log;
    append(log, serviceRecord(1, "lookup"));
    ConfigFollower follower(log);
    CHECK_FALSE(follower.caughtUp());
    CHECK_FALSE(follower.usable());
    CHECK(follower.poll(milliseconds(0)).value());
    CHECK(follower.caughtUp());
    CHECK(follower.usable());
    CHECK(follower.state()->version == 1);
    CHECK_FALSE(follower.poll(milliseconds(0)).value());
}

// The log is unavailable for hours. Running processes continue with their state. A process that
// starts adopts a peer's state and replays from there once the log is available again.
TEST_CASE("During a log outage a running process keeps its state and a new one adopts a peer's")
{
    MemoryLogClient log;
    append(log, serviceRecord(1, "lookup"));
    ConfigFollower running(log);
    REQUIRE(running.poll(milliseconds(0)).has_value());
    log.setDown(true);
    CHECK(running.poll(milliseconds(0)).has_error());
    CHECK(running.usable());
    CHECK_FALSE(running.status().logReachable);
    CHECK(running.state()->version == 1);

    ConfigFollower starting(log);
    CHECK(starting.poll(milliseconds(0)).has_error());
    CHECK_FALSE(starting.usable());
    CHECK(starting.adopt(snapshotOf(*running.state())));
    CHECK(starting.usable());
    CHECK_FALSE(starting.caughtUp());
    CHECK_FALSE(starting.adopt(snapshotOf(*running.state())));

    log.setDown(false);
    append(log, serviceRecord(2, "chat"));
    log.dropBefore(2);
    CHECK(starting.poll(milliseconds(0)).value());
    CHECK(starting.caughtUp());
    CHECK(starting.state()->version == 2);
    CHECK(starting.state()->objects.size() == 2);
}

// Needed records have expired and the log holds no snapshot. An empty configuration would refuse
// every caller as unknown; a partial one would lack objects unnoticed.
TEST_CASE("A follower whose first records have expired without a snapshot is blocked")
{
    MemoryLogClient log;
    append(log, serviceRecord(1, "lookup"));
    append(log, serviceRecord(2, "chat"));
    log.dropBefore(2);
    ConfigFollower follower(log);
    const auto polled = follower.poll(milliseconds(0));
    REQUIRE(polled.has_error());
    CHECK(polled.error().kind == ErrorKind::Conflict);
    CHECK(follower.status().logReachable);
    CHECK_FALSE(follower.usable());
    CHECK(follower.status().blocked.find("take the state from a peer") != std::string::npos);
}

// A running process of an older release reads the first record of a release with new rules, or
// records that it needs have expired. It must not drop its callers, so it keeps its state and
// reports that it is blocked.
TEST_CASE("A running process keeps its state when it can't follow the log any more")
{
    MemoryLogClient log;
    append(log, serviceRecord(1, "lookup"));
    ConfigFollower follower(log);
    REQUIRE(follower.poll(milliseconds(0)).has_value());
    v1::ChangeRecord change = emptyChange("change-future", 1);
    change.set_rules_version(newestRules + 1);
    addSet(change, serviceObject("chat"));
    append(log, recordOf(2, change));
    REQUIRE(follower.poll(milliseconds(0)).has_error());
    CHECK(follower.usable());
    CHECK(follower.state()->version == 1);
    CHECK(follower.status().blocked.find("upgrade this process") != std::string::npos);

    ConfigFollower starting(log); // a process that starts now has no earlier state
    REQUIRE(starting.poll(milliseconds(0)).has_error());
    CHECK_FALSE(starting.usable());

    MemoryLogClient gap;
    for (Offset at = 1; at <= 4; ++at)
        append(gap, serviceRecord(at, "s" + std::to_string(at)));
    ConfigFollower cutOff(gap);
    REQUIRE(cutOff.poll(milliseconds(0)).has_value());
    for (Offset at = 5; at <= 8; ++at)
        append(gap, serviceRecord(at, "s" + std::to_string(at)));
    gap.dropBefore(7);
    CHECK(cutOff.poll(milliseconds(0)).has_error());
    CHECK(cutOff.usable());
    CHECK_FALSE(cutOff.caughtUp());
    CHECK(cutOff.state()->version == 4);
}
