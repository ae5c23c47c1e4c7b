#include <catch2/catch.hpp>

#include "Gateway/ReadList.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

const std::vector<std::string> both{"i-1", "i-2"};

} // namespace

// Guards against a heartbeat that the store executes late making a draining server usable again.
TEST_CASE("An older heartbeat after a draining entry does not make the server usable")
{
    ReadList list;
    list.runUntil(seconds(10), both);
    list.writeWith("i-1", "draining", 1, 900);
    list.writeWith("i-1", "ready", 1, 899);
    list.read(milliseconds(10100));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(10100)));
    list.append(
        "i-1",
        R"({"service":"s","address":"10.0.0.1:80","slot_count":4,"state":"ready","born":1})");
    list.read(milliseconds(10150));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(10150)));
    list.writeWith("i-1", "ready", 2, 1);
    list.read(milliseconds(10200));
    REQUIRE(list.usable("i-1", milliseconds(10200)));
}

// Guards against a heartbeat that the store executes after the removal making a server usable that
// has left.
TEST_CASE("A late heartbeat after a removal does not make the server usable, but a restart does")
{
    ReadList list;
    list.runUntil(seconds(10), both);
    list.removeEntry("i-1");
    const bool inSameRead = GENERATE(true, false);
    if (!inSameRead)
        list.read(milliseconds(10100));
    list.write("i-1");
    list.read(milliseconds(10200));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(10200)));
    list.write("i-1", "ready", 2);
    list.read(milliseconds(10300));
    REQUIRE(list.usable("i-1", milliseconds(10300)));
}

// Guards against a live server that is never used again because its removal was taken for a
// leaving.
TEST_CASE("A removed server that goes on writing is used again")
{
    ReadList list;
    list.runUntil(seconds(10), both);
    list.removeEntry("i-1");
    list.read(milliseconds(10100));
    list.write("i-1");
    list.read(milliseconds(20200));
    REQUIRE(list.usable("i-1", milliseconds(20200)));
}

// Guards against a server that is never followed again because another writer put a sequence far
// ahead into its entry.
TEST_CASE("A server is followed again after its entry had a sequence far ahead")
{
    const auto odd = GENERATE(~std::uint64_t{0}, std::uint64_t{1} << 40, std::uint64_t{5000});
    ReadList list;
    list.runUntil(seconds(10), both);
    list.writeWith("i-1", "ready", 1, odd);
    list.read(milliseconds(10100));
    list.removeEntry("i-1");
    list.read(milliseconds(10300));
    REQUIRE_FALSE(list.usable("i-1", milliseconds(10300)));
    list.write("i-1");
    list.read(milliseconds(21000));
    REQUIRE(list.usable("i-1", milliseconds(21000)));
}
