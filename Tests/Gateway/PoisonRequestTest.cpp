#include <algorithm>
#include <future>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/CrashingFleet.h"
#include "Gateway/PoisonScenario.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr std::size_t serverCount = CrashingFleet::serverCount;
constexpr milliseconds runTime{9000};
constexpr double minServed = 0.99;

} // namespace

// Guards against a request that crashes one backend server after the other, as its repeats come
// under new ids and at other gateways.
TEST_CASE("A poison request crashes hardly more than three backend servers")
{
    SECTION("idempotent")
    checkPoisonBound({});
    SECTION("not idempotent, one body among many on its path")
    checkPoisonBound({.target = "/once/x"});
    SECTION("within a stream")
    checkPoisonBound({.target = "/stream/x", .plan = {.service = "model", .streams = true}});
}

// Guards against counts of crashes that a fault or another poison request resets or hides.
TEST_CASE("A poison request crashes hardly more servers under faults and at many gateways")
{
    SECTION("gateways are killed and started in turn")
    checkPoisonBound({.restartsGateways = true});
    SECTION("the store is silent")
    checkPoisonBound({.storeSilent = true});
    SECTION("two poison requests at once")
    checkPoisonBound({.poisonRequests = 2});
    SECTION("thirty gateways")
    checkPoisonBound({.gateways = 30});
}

// Guards against a request that is taken for poison because it was in flight at each crash.
TEST_CASE("A popular request is served while servers crash in turn under it")
{
    CrashingFleet fleet(4, {});
    auto popular = std::async(std::launch::async, [&] {
        return fleet.gateways().sendAtRate("/again/popular", 100, runTime);
    });
    constexpr milliseconds crashInterval{700};
    for (std::size_t i = 0; i < 8; ++i) {
        sleepUntil(monotonicNow() + crashInterval);
        fleet.server(i).crash();
    }
    const std::vector<CallResult> results = popular.get();
    CHECK(countRejected(results) == 0);
    CHECK(servedShare(results, 0.2) >= minServed);
}

// Guards against the same when one loss of power ends all servers.
TEST_CASE("A popular request is served after all servers crashed at once three times")
{
    CrashingFleet fleet(4, {});
    auto popular = std::async(std::launch::async, [&] {
        return fleet.gateways().sendAtRate("/again/popular", 100, runTime);
    });
    constexpr milliseconds crashInterval{2200};
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.crashAtOnce(serverCount);
        sleepUntil(monotonicNow() + crashInterval);
    }
    const std::vector<CallResult> results = popular.get();
    CHECK(countRejected(results) == 0);
    CHECK(servedShare(results, 0.15) >= minServed);
}

// Guards against reset connections that are taken for crashes.
TEST_CASE("A popular request is served while servers reset connections without crashing")
{
    CrashingFleet fleet(4, {.resetsOfHundred = 20});
    const std::vector<CallResult> results =
        fleet.gateways().sendAtRate("/again/popular", 60, seconds(6));
    CHECK(countRejected(results) == 0);
    CHECK(servedShare(results, 0.5) >= 0.9);
}

// Guards against long requests that are taken for poison after several coincidences.
TEST_CASE("Long requests are not turned away when servers crash in turn")
{
    CrashingFleet fleet(4, {.workTime = milliseconds(900)});
    std::vector<std::future<std::vector<CallResult>>> callers;
    const TimePoint end = monotonicNow() + runTime;
    for (int i = 0; i < 8; ++i) {
        callers.push_back(std::async(std::launch::async, [&, i] {
            return repeatUntil(end, milliseconds(300), fleet.gateways(), "/again/x",
                               "long" + std::to_string(i));
        }));
    }
    for (std::size_t i = 0; i < 12; ++i) {
        sleepUntil(monotonicNow() + milliseconds(500));
        fleet.server(i).crash();
    }
    for (auto &caller : callers)
        CHECK(countRejected(caller.get()) == 0);
}

// Guards against many crashes of one moment that count as many signs against a request that was in
// flight at all of these servers, as it is popular.
TEST_CASE("A popular long request is served after a loss of many servers at once")
{
    const std::size_t lost = GENERATE(CrashingFleet::serverCount / 3,
                                      CrashingFleet::serverCount / 2, CrashingFleet::serverCount);
    CAPTURE(lost);
    CrashingFleet fleet(4, {.workTime = milliseconds(150), .resetsOfHundred = 5});
    auto popular = std::async(std::launch::async, [&] {
        return fleet.gateways().sendAtRate("/again/popular", 100, runTime);
    });
    constexpr milliseconds lossInterval{3000};
    for (int i = 0; i < 2; ++i) {
        sleepUntil(monotonicNow() + lossInterval / 2);
        fleet.crashAtOnce(lost);
        sleepUntil(monotonicNow() + lossInterval / 2);
    }
    const std::vector<CallResult> results = popular.get();
    CHECK(countRejected(results) == 0);
    CHECK(servedShare(results, 0.25) >= minServed);
}
