#include <algorithm>
#include <future>

#include <catch2/catch.hpp>

#include "Gateway/CrashingFleet.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/PoisonScenario.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// An outage of the store in which servers crash under a poison request and all gateways are
/// killed.
struct OutageScenario
{
    std::size_t gateways = 2;
    std::size_t servers = 6;
    /// From the first crashes to the kill.
    milliseconds killAfter{1000};
    /// From the kill to the end of the outage.
    milliseconds upAfter{2000};
    milliseconds interval{600};
    /// Run time of the proper requests, all of which are the same or different ones.
    milliseconds workTime{30};
    bool distinctOthers = false;
};

/// From the start of the gateways to the outage; they note meanwhile that they know all crashes.
constexpr milliseconds calmTime{3000};
constexpr milliseconds timeAfterOutage{14000};
constexpr milliseconds settleTime{3000};

/// Sends the poison request from one caller for each gateway at the same moment, and waits for the
/// answers.
void sendFromAll(const GatewayFleet &gateways, std::size_t round)
{
    std::vector<std::future<CallResult>> calls;
    for (std::size_t i = 0; i < std::max<std::size_t>(3, gateways.size()); ++i) {
        const std::string id = "p" + std::to_string(round) + "-" + std::to_string(i);
        calls.push_back(std::async(std::launch::async, [&gateways, i, id] {
            return callServer(gateways.callers(i % gateways.size()),
                              requestWithBody("/often/x", id, poisonMark));
        }));
    }
}

/// Repeats this until the end.
void repeatFromAll(const OutageScenario &scenario, const GatewayFleet &gateways, TimePoint end)
{
    std::size_t round = 1;
    for (TimePoint due = monotonicNow(); due < end; due += scenario.interval, ++round) {
        sleepUntil(due);
        sendFromAll(gateways, round);
    }
}

void checkOutage(const OutageScenario &scenario)
{
    CAPTURE(scenario.gateways, scenario.servers, scenario.killAfter.count());
    CrashingFleet fleet(scenario.gateways,
                        {.workTime = scenario.workTime, .downTime = milliseconds(3000)},
                        scenario.servers);
    GatewayFleet &gateways = fleet.gateways();
    sleepUntil(monotonicNow() + calmTime);
    gateways.store.setUnavailable(true);
    const TimePoint crashesBegin = monotonicNow() + milliseconds(300);
    sleepUntil(crashesBegin);
    sendFromAll(gateways, 0);
    sleepUntil(crashesBegin + scenario.killAfter);
    REQUIRE(fleet.history().crashes.size() >= 2);
    gateways.restartAll();
    sleepUntil(monotonicNow() + scenario.upAfter);
    gateways.store.setUnavailable(false);
    const TimePoint upAt = monotonicNow();
    const TimePoint end = upAt + timeAfterOutage;
    auto proper = std::async(std::launch::async, [&] {
        const auto maker = [&scenario](const std::string &id, std::size_t) {
            return scenario.distinctOthers ? requestWithBody("/often/x", id, id)
                                           : requestFor("/often/x", id);
        };
        constexpr double perSecond = 40;
        return gateways.sendAtRate(maker, perSecond, timeAfterOutage);
    });
    // Later, each arrival counts.
    sleepUntil(upAt + settleTime + milliseconds(500));
    repeatFromAll(scenario, gateways, end);
    const std::vector<CallResult> results = proper.get();
    const std::vector<TimePoint> arrivals = fleet.history().poisonArrivals;
    const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                    [&](TimePoint at) { return at > upAt + settleTime; });
    const auto after =
        std::count_if(arrivals.begin(), arrivals.end(), [&](TimePoint at) { return at > upAt; });
    constexpr int maxLater = 3;
    constexpr double minServed = 0.9;
    CAPTURE(after, servedShare(results, 1));
    CHECK(late <= maxLater);
    CHECK(countRejected(results) == 0);
    CHECK(servedShare(results, 0.5) >= minServed);
}

} // namespace

// Guards against a poison request that begins anew, since the gateways that knew of its crashes
// were all killed while they could not write them to the store.
TEST_CASE("A poison request does not begin anew after all gateways were killed in an outage")
{
    const auto [gateways, servers] = GENERATE(table<std::size_t, std::size_t>({{2, 6}, {4, 3}}));
    OutageScenario scenario{.gateways = gateways, .servers = servers};
    SECTION("different proper requests")
    scenario.distinctOthers = true;
    SECTION("a popular proper request") { }
    checkOutage(scenario);
}

// The same where many gateways each get a copy at the same moment, and the crashed servers have not
// started again when the gateways do.
TEST_CASE("A poison request does not begin anew at any of ten gateways")
{
    const auto killAfter = GENERATE(milliseconds(300), milliseconds(3500));
    checkOutage(
        {.gateways = 10, .servers = 12, .killAfter = killAfter, .upAfter = milliseconds(500)});
}

// Guards against a poison request that begins anew, since the gateway that saw its crashes ended
// before it could write them, and the one that was told of them wrote nothing.
TEST_CASE("A poison request does not begin anew after those that were told of it are killed too")
{
    CrashingFleet fleet(2, {.downTime = milliseconds(1000)}, 6);
    GatewayFleet &gateways = fleet.gateways();
    sleepUntil(monotonicNow() + calmTime);
    gateways.store.setUnavailable(true);
    sleepUntil(monotonicNow() + milliseconds(300));
    callServer(gateways.callers(0), requestWithBody("/again/x", "first", poisonMark));
    REQUIRE(fleet.history().crashes.size() == 2);
    gateways.restart(0);
    gateways.store.setUnavailable(false);
    // Each gateway has its turn to write what it knows.
    sleepUntil(monotonicNow() + milliseconds(4000));
    gateways.restart(1);
    gateways.restartAll();
    constexpr milliseconds interval{300};
    repeatUntil(monotonicNow() + milliseconds(8000), interval, gateways, "/again/x", poisonMark);
    constexpr std::size_t maxCrashes = 4;
    CHECK(fleet.history().crashes.size() <= maxCrashes);
}

// Guards against popular requests that wait for each other for as long as crashes may be unknown.
TEST_CASE(
    "A popular request of half a second is served after all gateways were killed in an outage")
{
    checkOutage({.gateways = 4, .servers = 6, .workTime = milliseconds(400)});
}
