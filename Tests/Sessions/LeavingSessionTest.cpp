#include <csignal>

#include <catch2/catch.hpp>

#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

const std::string heldBody = R"({"stream":3,"hold":"gate"})";
constexpr int streamLines = 3;

int lines(const HttpAnswer &answer)
{
    return static_cast<int>(std::count(answer.body.begin(), answer.body.end(), '\n'));
}

/// Index of the backend server that answered.
std::size_t answerer(const HttpAnswer &answer)
{
    const std::string name = answer.json().value("backend_server", "quoter-0");
    return std::stoul(name.substr(name.rfind('-') + 1)) - 1;
}

} // namespace

// A planned restart of an entry: the stream that is open must come to its end.
TEST_CASE("SIGTERM to an entry cuts off no request in flight")
{
    TestSystem system({.entries = 2});
    auto open = system.askLater(0, {.body = heldBody});
    system.waitForHolder();
    system.entry(0).signal(SIGTERM);
    CHECK(eventually([&] { return system.ask(0, {}).status != 200; }));
    CHECK(system.ask(1, {}).status == 200);
    system.release("gate");
    const HttpAnswer answer = open.get();
    CHECK(answer.status == 200);
    CHECK(answer.whole);
    CHECK(lines(answer) == streamLines);
    CHECK(system.entry(0).waitForExit() == 0);
}

// A planned replacement of a backend server's VM, while the platform's list of VMs lags by 30 s.
TEST_CASE("SIGTERM to an agent cuts off nothing, and its backend server gets no new work")
{
    TestSystem system({.entries = 2, .backendServers = 3, .vmLag = milliseconds(30000)});
    auto open = system.askLater(0, {.body = heldBody});
    const std::size_t holder = system.waitForHolder();
    system.agent(holder).signal(SIGTERM);
    const TimePoint leavingSince = monotonicNow();
    while (monotonicNow() - leavingSince < seconds(4)) {
        const HttpAnswer answer = system.ask(0, {});
        REQUIRE(answer.status == 200);
        if (monotonicNow() - leavingSince > seconds(3))
            REQUIRE(answerer(answer) != holder);
    }
    system.release("gate");
    const HttpAnswer answer = open.get();
    CHECK(answer.status == 200);
    CHECK(answer.whole);
    CHECK(lines(answer) == streamLines);
    CHECK(system.agent(holder).waitForExit() == 0);
    system.restartAgent(holder);
    CHECK(eventually([&] { return answerer(system.ask(0, {})) == holder; }));
}

TEST_CASE("A drained backend server gets no new work and comes back when it is put into service")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    v1::Object drained;
    *drained.mutable_backend_server() = system.declaredBackend(0);
    drained.mutable_backend_server()->set_draining(true);
    system.waitInForce(system.apply({drained}));
    for (std::size_t i = 0; i < 20; ++i)
        CHECK(answerer(system.ask(i % 2, {})) == 1);
    drained.mutable_backend_server()->set_draining(false);
    system.waitInForce(system.apply({drained}));
    CHECK(eventually([&] { return answerer(system.ask(0, {})) == 0; }));
}
