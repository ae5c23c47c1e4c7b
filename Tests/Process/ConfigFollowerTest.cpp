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

TEST_CASE("A follower is usable only once it has caught up with the log")
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

// The log goes away for hours. Running processes go on with what they have; one that starts takes
// the state from a peer, and once the log is back it goes forward from there.
TEST_CASE("During an outage a running process keeps its state and a new one takes a peer's")
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

// Needed records have expired and no snapshot is left. To serve with nothing would refuse every
// caller as unknown; to serve with a part would be worse.
TEST_CASE("A follower that finds neither records nor a snapshot says so and is not usable")
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
