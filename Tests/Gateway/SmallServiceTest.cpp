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

// Guards against a request that is held to be sound for ever because it has completed before.
TEST_CASE("A request that has become poison is found although it completed before")
{
    PoisonScenario scenario = smallService(GENERATE(1, 3, 12));
    CAPTURE(scenario.servers);
    scenario.plan.soundTime = milliseconds(2000);
    scenario.runTime = milliseconds(17000);
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
