#include <catch2/catch.hpp>

#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

TEST_CASE("A caller gets the backend server's complete answer through entry and agent")
{
    const TestSystem system({.entries = 2});
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const HttpAnswer plain = system.send(entry, {.body = "bolts M8"});
        CHECK(plain.status == 200);
        CHECK(plain.complete);
        CHECK(plain.json().value("echo", "") == "bolts M8");
    }
    const HttpAnswer stream = system.send(0, {.body = R"({"stream":5,"tag":"notice"})"});
    CHECK(stream.status == 200);
    CHECK(stream.complete);
    CHECK(std::count(stream.body.begin(), stream.body.end(), '\n') == 5);
    CHECK(system.runs("tags", "notice") == 1);
}

// Guards against a request that runs twice: the caller sends a keyed request and repeats it through
// another entry, and both reach a backend server.
TEST_CASE("A repeat of a key through another entry gets the stored answer without a second run")
{
    const TestSystem system({.entries = 2, .backendServers = 3});
    system.waitUntilKeysAccepted();
    const std::string key = freshKey();
    const HttpAnswer first = system.send(0, {.body = "open 7", .key = key});
    const HttpAnswer second = system.send(1, {.body = "open 7", .key = key, .attempt = 2});
    CHECK(first.status == 200);
    CHECK(second.status == 200);
    CHECK(second.body == first.body);
    CHECK(system.runs("keys", key) == 1);
}
