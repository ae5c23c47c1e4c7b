#include <csignal>

#include <catch2/catch.hpp>

#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

const std::string heldBody = R"({"stream":3,"hold":"gate"})";
constexpr int streamLines = 3;

int lineCount(const HttpAnswer &answer)
{
    return static_cast<int>(std::count(answer.body.begin(), answer.body.end(), '\n'));
}

/// Index of the backend server that answered; an index of no server when none did.
std::size_t answeringBackend(const HttpAnswer &answer)
{
    const std::string name = answer.json().value("backend_server", "quoter-0");
    return std::stoul(name.substr(name.rfind('-') + 1)) - 1;
}

} // namespace

// A planned restart of an entry: a stream in progress must be completed before the entry exits.
TEST_CASE("SIGTERM to an entry cuts off no request in flight")
{
    TestSystem system({.entries = 2});
    auto open = system.sendAsync(0, {.body = heldBody});
    system.waitForHeldRequest();
    system.entry(0).signal(SIGTERM);
    CHECK(eventually([&] { return system.send(0, {}).status != 200; }));
    CHECK(system.send(1, {}).status == 200);
    system.release("gate");
    const HttpAnswer answer = open.get();
    CHECK(answer.status == 200);
    CHECK(answer.complete);
    CHECK(lineCount(answer) == streamLines);
    CHECK(system.entry(0).waitForExit() == 0);
}

// A planned replacement of a backend server's VM. The platform's list of VMs, which lags by 30 s,
// never shows that the VM leaves, so entries must learn from the agent that it drains.
TEST_CASE("SIGTERM to an agent cuts off no request, and its backend server gets no new ones")
{
    TestSystem system({.entries = 2, .backendServers = 3, .vmLag = milliseconds(30000)});
    auto open = system.sendAsync(0, {.body = heldBody});
    const std::size_t holder = system.waitForHeldRequest();
    system.agent(holder).signal(SIGTERM);
    const TimePoint terminatedAt = monotonicNow();
    while (monotonicNow() - terminatedAt < seconds(4)) {
        const HttpAnswer answer = system.send(0, {});
        REQUIRE(answer.status == 200);
        if (monotonicNow() - terminatedAt > seconds(3))
            REQUIRE(answeringBackend(answer) != holder);
    }
    system.release("gate");
    const HttpAnswer answer = open.get();
    CHECK(answer.status == 200);
    CHECK(answer.complete);
    CHECK(lineCount(answer) == streamLines);
    CHECK(system.agent(holder).waitForExit() == 0);
    system.restartAgent(holder);
    CHECK(eventually([&] { return answeringBackend(system.send(0, {})) == holder; }));
}

TEST_CASE("A drained backend server gets no requests until it is put back into service")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    v1::Object drained;
    *drained.mutable_backend_server() = system.backendObject(0);
    drained.mutable_backend_server()->set_draining(true);
    system.waitUntilInForce(system.apply({drained}));
    for (std::size_t i = 0; i < 20; ++i)
        CHECK(answeringBackend(system.send(i % 2, {})) == 1);
    drained.mutable_backend_server()->set_draining(false);
    system.waitUntilInForce(system.apply({drained}));
    CHECK(eventually([&] { return answeringBackend(system.send(0, {})) == 0; }));
}
