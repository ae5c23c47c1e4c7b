#include <catch2/catch.hpp>

#include "Gateway/ReadList.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

const std::vector<std::string> both{"i-1", "i-2"};

/// Runs until an outage from 10 s to `end` in which the gateway's calls fail.
void runIntoOutage(ReadList &list, milliseconds end)
{
    list.runUntil(seconds(10), both);
    for (milliseconds at = seconds(10); at < end; at += milliseconds(250))
        list.fail(at);
    list.fail(end - milliseconds(100));
}

} // namespace

// Guards against a service without backend servers for two seconds after each store outage. Entries
// expire while the servers cannot renew them, and the first read afterwards removes them.
TEST_CASE(
    "Entries that expired in a store outage are kept until their servers can have renewed them")
{
    ReadList list;
    runIntoOutage(list, seconds(15));
    list.removeEntry("i-1");
    list.removeEntry("i-2");
    list.read(seconds(15));
    REQUIRE(list.usable("i-1", milliseconds(15100)));
    REQUIRE(list.usable("i-2", milliseconds(16800)));
    list.write("i-1");
    list.read(milliseconds(16800));
    REQUIRE(list.usable("i-1", milliseconds(17400)));
    REQUIRE_FALSE(list.usable("i-2", milliseconds(16900)));
}

// Guards against a moment without any slot of a service after a store outage: the list is read
// again just before kept servers are removed.
TEST_CASE("A server whose entry returns between two reads is not removed after a store outage")
{
    ReadList list;
    runIntoOutage(list, seconds(15));
    list.removeEntry("i-1");
    list.removeEntry("i-2");
    list.read(seconds(15));
    REQUIRE(list.usable("i-1", milliseconds(16600)));
    REQUIRE(list.rereads() == 0);
    REQUIRE(list.usable("i-1", milliseconds(16750)));
    REQUIRE(list.rereads() == 1);
    list.write("i-1");
    list.read(milliseconds(16760));
    REQUIRE(list.usable("i-1", seconds(19)));
}

// Guards against losing the servers that live where the drain time leaves room for a whole read.
TEST_CASE("Expired entries are kept for two seconds and one more read if the drain time allows it")
{
    ReadList list({.heartbeatInterval = milliseconds(1200),
                   .drainTime = milliseconds(4000),
                   .readInterval = milliseconds(1800)});
    runIntoOutage(list, seconds(15));
    list.removeEntry("i-1");
    list.read(seconds(15));
    REQUIRE(list.usable("i-1", milliseconds(18800)));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(18950)));
}

// Guards against a failed call of the store, which proves no outage, delaying a removal.
TEST_CASE("A server that leaves around failed calls of the store is gone with its entry")
{
    ReadList list;
    list.runUntil(seconds(10), both);
    const milliseconds lastFailure{GENERATE(10100, 10600, 11200)};
    list.fail(lastFailure);
    list.write("i-1");
    list.removeEntry("i-2");
    list.read(lastFailure + milliseconds(250));
    REQUIRE(list.usable("i-1", lastFailure + milliseconds(250)));
    REQUIRE_FALSE(list.usable("i-2", lastFailure + milliseconds(250)));
}

// Guards against the time of a kept server starting again with each failure, or with its removal
// being read again.
TEST_CASE("Neither a later failure nor the same removal keeps a server for longer")
{
    ReadList list;
    runIntoOutage(list, seconds(15));
    list.removeEntry("i-1");
    list.removeEntry("i-2");
    list.read(seconds(15));
    list.fail(milliseconds(15500));
    list.removeEntry("i-1");
    list.read(milliseconds(16000));
    list.readNewest({"i-2"}, milliseconds(16500));
    list.fail(milliseconds(16600));
    REQUIRE(list.usable("i-1", milliseconds(16800)));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(16900)));
    REQUIRE(list.usable("i-2", milliseconds(16900)));
}

// Guards against a gateway that knows of a leaving and sends on because the store is away.
TEST_CASE("A server that left is gone although the store is away from then on")
{
    ReadList list;
    list.runUntil(seconds(10), both);
    list.removeEntry("i-1");
    list.read(milliseconds(10100));
    list.fail(milliseconds(10500));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(10600)));
    REQUIRE_FALSE(list.usable("i-1", seconds(14)));
}

// Guards against a server that leaves while only this gateway could not read the list: others went
// on writing, so no entry expired.
TEST_CASE("After a gateway was cut off from the store a removed server is gone at once")
{
    ReadList list;
    list.runUntil(seconds(10), both);
    list.fail(milliseconds(10000));
    list.write("i-1");
    list.write("i-2");
    list.write("i-1");
    list.write("i-2");
    list.write("i-1");
    list.removeEntry("i-2");
    list.write("i-1");
    list.fail(milliseconds(14300));
    list.read(milliseconds(14400));
    REQUIRE_FALSE(list.usable("i-2", milliseconds(14400)));
    REQUIRE(list.usable("i-1", milliseconds(14400)));
}

// Guards against keeping a server that wrote after the outage and then left.
TEST_CASE("A server that returned after an outage and leaves is gone with its entry")
{
    const milliseconds heartbeat{GENERATE(400, 1200)};
    ReadList list({.heartbeatInterval = heartbeat});
    runIntoOutage(list, seconds(15));
    list.removeEntry("i-1");
    list.removeEntry("i-2");
    list.read(seconds(15));
    list.write("i-1");
    list.read(milliseconds(15300));
    list.read(milliseconds(15900));
    list.removeEntry("i-1");
    list.read(milliseconds(16600));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(16600)));
    REQUIRE(list.usable("i-2", milliseconds(16600)));
}

// Guards against each promise failing in the second of two outages.
TEST_CASE("Expired entries are kept after each of two outages, and servers that left after none")
{
    ReadList list;
    runIntoOutage(list, seconds(15));
    list.removeEntry("i-1");
    list.removeEntry("i-2");
    list.read(seconds(15));
    list.write("i-1");
    list.read(milliseconds(15500));
    REQUIRE_FALSE(list.usable("i-2", milliseconds(16900)));
    for (milliseconds at{16000}; at < seconds(21); at += milliseconds(250))
        list.fail(at);
    list.removeEntry("i-1");
    list.read(seconds(21));
    REQUIRE(list.usable("i-1", milliseconds(22600)));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(22900)));
}

// Guards against a kept server that outlives what ends its time: another entry, or an unreadable
// one.
TEST_CASE("A draining or unreadable entry ends the time of a kept server")
{
    ReadList list;
    runIntoOutage(list, seconds(15));
    list.removeEntry("i-1");
    list.read(seconds(15));
    REQUIRE(list.usable("i-1", milliseconds(15100)));
    if (GENERATE(true, false))
        list.write("i-1", "draining");
    else
        list.append("i-1", "{\"service\":7}");
    list.read(milliseconds(15200));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(15200)));
}
