#include <future>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/CrashingFleet.h"
#include "Gateway/PoisonScenario.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr milliseconds runTime{12000};
constexpr double minServed = 0.99;

/// A poison request at a small service. One attempt of its caller is sent to up to four servers.
PoisonScenario smallService(std::size_t servers)
{
    return {.target = "/often/x",
            .servers = servers,
            .runTime = runTime,
            .maxCrashes = 6,
            .servedPart = 0.25};
}

/// The same where the proper requests are no two alike.
PoisonScenario distinctSmallService(std::size_t servers)
{
    PoisonScenario scenario = smallService(servers);
    scenario.distinctOthers = true;
    return scenario;
}

/// Sends one popular request while the servers crash as planned.
std::vector<CallResult> sendPopular(CrashingFleet &fleet)
{
    return fleet.gateways().sendAtRate("/again/popular", 40, runTime);
}

} // namespace

// Guards against a poison request that takes all servers of a service down within one moment, so
// that its crashes look like one loss of power.
TEST_CASE("A poison request at a service of few servers reaches them hardly more than three times")
{
    const std::size_t servers = GENERATE(1, 2, 3, 4, 6);
    CAPTURE(servers);
    SECTION("others are one popular request")
    checkPoisonBound(smallService(servers));
    SECTION("others are no two alike")
    checkPoisonBound(distinctSmallService(servers));
}

// Guards against crashes that are not counted as the run before them is shorter or longer, or as
// the server returns as another one.
TEST_CASE(
    "A poison request is found at few servers however soon they crash and however they return")
{
    PoisonScenario scenario = smallService(3);
    SECTION("a crash 5 ms after the request begins")
    scenario.plan.crashAfter = milliseconds(5);
    SECTION("a crash half a second after the request begins")
    scenario.plan.crashAfter = milliseconds(500);
    SECTION("servers return under another id")
    scenario.plan.returnsUnderNewId = true;
    SECTION("servers return within half a second")
    scenario.plan.downTime = milliseconds(500);
    SECTION("the request comes each 1.1 s")
    scenario.interval = milliseconds(1100);
    SECTION("several callers repeat it at the same time")
    scenario.callers = 6;
    SECTION("the route is not idempotent")
    scenario.target = "/once/x";
    SECTION("a stream at a group")
    {
        scenario.target = "/stream/x";
        scenario.plan.service = "model";
        scenario.plan.streams = true;
        scenario.plan.group = std::make_shared<CrashingGroup>();
    }
    checkPoisonBound(scenario);
}

// Guards against counts that a fault or a change resets.
TEST_CASE("A poison request is found at few servers under faults and changes")
{
    PoisonScenario scenario = smallService(3);
    SECTION("gateways are killed and started in turn")
    scenario.restartsGateways = true;
    SECTION("the store is silent")
    scenario.storeSilent = true;
    SECTION("thirty gateways")
    scenario.gateways = 30;
    SECTION("one gateway")
    scenario.gateways = 1;
    SECTION("the configuration changes all the time")
    scenario.disturb = [](CrashingFleet &fleet) { fleet.gateways().changeConfiguration(); };
    checkPoisonBound(scenario);
}

// Guards against poison requests that keep each other from a verdict, since the crashes of each
// one look like another cause beside those of the other.
TEST_CASE("Two poison requests at a service of few servers are both found")
{
    PoisonScenario scenario = smallService(GENERATE(2, 3, 4));
    scenario.distinctOthers = GENERATE(false, true);
    CAPTURE(scenario.servers, scenario.distinctOthers);
    scenario.poisonRequests = 2;
    scenario.runTime = milliseconds(16000);
    checkPoisonBound(scenario);
}

// Guards against a request that is held to be sound for ever because it has completed before.
TEST_CASE("A request that has become poison is found although it completed before")
{
    PoisonScenario scenario = smallService(GENERATE(1, 3, 12));
    CAPTURE(scenario.servers);
    scenario.plan.soundTime = milliseconds(2000);
    scenario.runTime = milliseconds(20000);
    checkPoisonBound(scenario);
}

// Guards against a popular request that is refused because it was in flight at all servers of a
// small service when these lost power.
TEST_CASE("A popular request is served after all of few servers crashed at once three times")
{
    const std::size_t servers = GENERATE(1, 2, 3);
    CAPTURE(servers);
    CrashingFleet fleet(4, {.workTime = milliseconds(150)}, servers);
    auto popular = std::async(std::launch::async, [&] { return sendPopular(fleet); });
    for (int i = 0; i < 3; ++i) {
        sleepUntil(monotonicNow() + milliseconds(500));
        fleet.crashAtOnce(servers);
        sleepUntil(monotonicNow() + milliseconds(2300));
    }
    const std::vector<CallResult> results = popular.get();
    CHECK(countRejected(results) == 0);
    CHECK(servedShare(results, 0.2) >= minServed);
}

// Guards against a popular request that is refused because one server of few keeps crashing.
TEST_CASE("A popular request is served while one of few servers crashes again and again")
{
    const std::size_t servers = GENERATE(1, 2, 3);
    CAPTURE(servers);
    CrashingFleet fleet(4, {.workTime = milliseconds(150), .downTime = milliseconds(500)}, servers);
    auto popular = std::async(std::launch::async, [&] { return sendPopular(fleet); });
    for (int i = 0; i < 3; ++i) {
        sleepUntil(monotonicNow() + milliseconds(3000));
        fleet.server(0).crash();
    }
    const std::vector<CallResult> results = popular.get();
    CHECK(countRejected(results) == 0);
    CHECK(servedShare(results, 0.1) >= minServed);
}
