#include <catch2/catch.hpp>

#include "Gateway/CrashingFleet.h"
#include "Gateway/PoisonScenario.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// A poison request at a service of few servers, some of whose callers are near their deadline when
/// it is their turn.
PoisonScenario nearDeadline(std::size_t servers)
{
    return {.target = "/often/x",
            .plan = {.crashAfter = milliseconds(150), .downTime = milliseconds(2500)},
            .servers = servers,
            .interval = milliseconds(100),
            .shortDeadline = milliseconds(120),
            .runTime = milliseconds(16000),
            .maxCrashes = 6,
            .servedPart = 0.2};
}

} // namespace

// Guards against a server's 504 at the time limit that is taken for a sign that the request is
// sound, so that all gateways forget its crashes.
TEST_CASE("A poison request that servers answer with 504 at its time limit is not cleared")
{
    const std::size_t servers = GENERATE(1, 3, 6);
    CAPTURE(servers);
    checkPoisonBound(nearDeadline(servers));
}

// Guards against a run that is given up and goes on, beside which the next copy is sent.
TEST_CASE("A poison request that outlives its callers is sent hardly more than three times")
{
    PoisonScenario scenario = nearDeadline(3);
    scenario.plan.outlivesCallers = true;
    scenario.poisonRequests = GENERATE(1, 2);
    CAPTURE(scenario.poisonRequests);
    checkPoisonBound(scenario);
}

// Guards against a verdict on each of two poison requests that waits for the one on the other.
TEST_CASE("Two poison requests near their callers' deadlines are each sent hardly more than three "
          "times")
{
    PoisonScenario scenario = nearDeadline(3);
    scenario.poisonRequests = 2;
    SECTION("servers return under their ids") { }
    SECTION("servers return under new ids at the same addresses")
    scenario.plan.returnsUnderNewId = true;
    SECTION("several callers repeat each of them at the same time")
    scenario.callers = 4;
    checkPoisonBound(scenario);
}

// Guards against crashes that are forgotten when no gateway lives on that knows of them.
TEST_CASE("A poison request is found although all gateways are killed again and again")
{
    const std::size_t servers = GENERATE(3, 12);
    PoisonScenario scenario{.target = "/often/x",
                            .servers = servers,
                            .interval = milliseconds(1100),
                            .runTime = milliseconds(16000),
                            .restartsGateways = true,
                            .restartsAllAtOnce = true,
                            .maxCrashes = 6};
    CAPTURE(scenario.servers);
    checkPoisonBound(scenario);
}
