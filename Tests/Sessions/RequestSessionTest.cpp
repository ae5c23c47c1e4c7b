#include <catch2/catch.hpp>

#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

TEST_CASE("A caller gets the backend server's whole answer through entry and agent")
{
    const TestSystem system({.entries = 2});
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const HttpAnswer plain = system.ask(entry, {.body = "bolts M8"});
        CHECK(plain.status == 200);
        CHECK(plain.whole);
        CHECK(plain.json().value("echo", "") == "bolts M8");
    }
    const HttpAnswer stream = system.ask(0, {.body = R"({"stream":5,"tag":"notice"})"});
    CHECK(stream.status == 200);
    CHECK(stream.whole);
    CHECK(std::count(stream.body.begin(), stream.body.end(), '\n') == 5);
    CHECK(system.runs("tags", "notice") == 1);
}

// A customer's parcel is handed out twice: the caller sends a door release, sends it again through
// another entry because it is impatient, and both runs open a door.
TEST_CASE("A repeat of a key through another entry gets the held answer and runs nothing")
{
    const TestSystem system({.entries = 2, .backendServers = 3});
    system.waitForKeys();
    const std::string key = freshKey();
    const HttpAnswer first = system.ask(0, {.body = "open 7", .key = key});
    const HttpAnswer second = system.ask(1, {.body = "open 7", .key = key, .attempt = 2});
    CHECK(first.status == 200);
    CHECK(second.status == 200);
    CHECK(second.body == first.body);
    CHECK(system.runs("keys", key) == 1);
}
