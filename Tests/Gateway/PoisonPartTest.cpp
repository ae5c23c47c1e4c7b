#include <future>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/CrashingFleet.h"
#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Sends of a part that crashes servers that may follow later than `settleTime` after the fifth
/// crash.
constexpr std::size_t maxLaterSends = 3;
constexpr std::size_t countedCrash = 5;
constexpr milliseconds settleTime{3000};
/// Time in which only sound requests are sent.
constexpr milliseconds warmUpTime{2000};
constexpr double soundPerSecond = 40;
constexpr double minServed = 0.99;
constexpr const char *sharedPart = "aa01:40";

using PromptOf = std::function<std::string(std::size_t number)>;

/// A part of one prompt only.
std::string ownPart(const std::string &name, std::size_t number)
{
    return name + std::to_string(number) + ":90";
}

/// The prompt of a sound request: the parts of the poison prompts, but for the one that crashes
/// servers.
std::string soundPrompt(std::size_t number)
{
    return std::string(sharedPart) + ",cc" + std::to_string(number % 5) + ":300,ee02:200,"
        + ownPart("5", number);
}

std::string badPart(std::size_t number = 0)
{
    return poisonPartMark + std::to_string(number);
}

/// A prompt in which the second of four parts crashes servers.
std::string poisonPrompt(std::size_t number)
{
    return std::string(sharedPart) + "," + badPart() + ":410,ee02:200," + ownPart("6", number);
}

std::string requestWithPrompt(const std::string &target, const std::string &id,
                              const std::string &prompt)
{
    std::string request = requestFor(target, id);
    const std::string fields = "Wisteriawind-Token-Usage: 640,80\r\nWisteriawind-Prompt-Prefix: "
        + prompt + "\r\nContent-Length: " + std::to_string(id.size());
    const std::string none = "Content-Length: 0";
    request.replace(request.find(none), none.size(), fields);
    return request + id;
}

GatewayFleet::RequestMaker makerOf(const std::string &target, const std::string &name,
                                   const PromptOf &promptOf)
{
    return [=](const std::string &id, std::size_t number) {
        return requestWithPrompt(target, id + name, promptOf(number));
    };
}

struct PartScenario
{
    std::string target = "/stream/x";
    CrashingServerPlan plan{.service = "model", .streams = true};
    std::size_t gateways = 4;
    std::vector<PromptOf> poison = {poisonPrompt};
    PromptOf sound = soundPrompt;
    double poisonPerSecond = 3.3;
    milliseconds poisonTime{9000};
    bool restartsGateways = false;
    bool storeSilent = false;
    /// Each crash stops all servers, so that sound requests are served only in the end.
    double servedPart = 0.5;
};

/// Checks that each gateway answers further requests with the parts with a status that callers take
/// as final.
void checkFinalAnswers(const PartScenario &scenario, const GatewayFleet &gateways)
{
    constexpr int final = 400;
    constexpr std::size_t unusedNumber = 9999;
    for (std::size_t gateway = 0; gateway < gateways.size(); ++gateway) {
        for (const PromptOf &promptOf : scenario.poison) {
            const std::string request =
                requestWithPrompt(scenario.target, "final", promptOf(unusedNumber));
            CallResult result;
            CHECK(eventually([&] {
                result = callServer(gateways.callers(gateway), request);
                return result.status == final;
            }));
            CHECK(result.header("Retry-After").empty());
            CHECK(result.body.find("part of") != std::string::npos);
        }
    }
}

void checkPartBound(const PartScenario &scenario)
{
    CrashingFleet fleet(scenario.gateways, scenario.plan);
    GatewayFleet &gateways = fleet.gateways();
    const TimePoint poisonFrom = monotonicNow() + warmUpTime;
    const TimePoint end = poisonFrom + scenario.poisonTime;
    auto sound = std::async(std::launch::async, [&] {
        return gateways.sendAtRate(makerOf(scenario.target, "s", scenario.sound), soundPerSecond,
                                   warmUpTime + scenario.poisonTime);
    });
    sleepUntil(poisonFrom);
    gateways.store.setSilent(scenario.storeSilent);
    std::vector<std::future<std::vector<CallResult>>> poison;
    for (std::size_t i = 0; i < scenario.poison.size(); ++i) {
        poison.push_back(std::async(std::launch::async, [&, i] {
            return gateways.sendAtRate(
                makerOf(scenario.target, "p" + std::to_string(i), scenario.poison[i]),
                scenario.poisonPerSecond, scenario.poisonTime);
        }));
    }
    if (scenario.restartsGateways)
        fleet.restartGatewaysInTurn(end);
    for (auto &caller : poison)
        caller.get();
    const std::vector<CallResult> results = sound.get();
    const CrashHistory history = fleet.history();
    const std::size_t parts = scenario.poison.size();
    CAPTURE(history.crashes.size(), history.poisonArrivals.size());
    CHECK(history.arrivalsAfterCrash(countedCrash * parts, settleTime) <= maxLaterSends * parts);
    CHECK(countRejected(results) == 0);
    // A gateway that is killed loses the requests that it holds.
    if (!scenario.restartsGateways)
        CHECK(servedShare(results, scenario.servedPart) >= minServed);
    checkFinalAnswers(scenario, gateways);
}

} // namespace

// Guards against a part of prompts that crashes one backend server after the other, as each request
// with it is another one.
TEST_CASE("A prompt part that crashes servers is sent hardly more often after five crashes")
{
    SECTION("second of four parts, in a stream")
    checkPartBound({});
    SECTION("the first part")
    checkPartBound({.poison = {[](std::size_t number) {
                        return badPart() + ":40,cc1:300," + ownPart("6", number);
                    }}});
    SECTION("changing places, neighbours and token counts")
    checkPartBound({.poison = {[](std::size_t number) {
                        const std::string bad = badPart() + ":" + std::to_string(100 + number % 7);
                        const std::string neighbour = "cc" + std::to_string(number % 5) + ":300";
                        const bool first = number % 2 == 0;
                        return std::string(sharedPart) + "," + (first ? bad : neighbour) + ","
                            + (first ? neighbour : bad) + "," + ownPart("6", number);
                    }}});
}

// Guards against the same where no byte of an answer shows that a run has begun, and against a part
// beside the bad one that is refused although only it is rare.
TEST_CASE("A prompt part that crashes servers is found on idempotent routes and beside rare parts")
{
    SECTION("idempotent, without a byte of an answer")
    checkPartBound({.target = "/again/x", .plan = {}});
    SECTION("a companion part that only one sound request a second has")
    checkPartBound({.poison = {[](std::size_t number) {
                        return std::string(sharedPart) + "," + badPart() + ":410,bb07:200,"
                            + ownPart("6", number);
                    }},
                    .sound = [](std::size_t number) {
                        constexpr std::size_t rare = 40;
                        return std::string(sharedPart)
                            + (number % rare == 0 ? ",bb07:200," : ",ee02:200,")
                            + ownPart("5", number);
                    }});
}

// Guards against crashes that are forgotten or not shared, and parts that hide each other.
TEST_CASE("A prompt part that crashes servers is found under faults and at many gateways")
{
    SECTION("gateways are killed and started in turn")
    checkPartBound({.restartsGateways = true});
    SECTION("the store is silent")
    checkPartBound({.storeSilent = true});
    SECTION("thirty gateways")
    checkPartBound({.gateways = 30});
    SECTION("two parts at once")
    checkPartBound({.poison = {poisonPrompt, [](std::size_t number) {
                                   return std::string(sharedPart) + ",cc1:300," + badPart(1)
                                       + ":77," + ownPart("7", number);
                               }}});
}

// Guards against a crash that hides which part caused it, as it stops the servers of a whole group
// before anything completes.
TEST_CASE("A prompt part that crashes servers of a group is found although each crash stops all")
{
    checkPartBound(
        {.plan = {.service = "model", .streams = true, .group = std::make_shared<CrashingGroup>()},
         .poisonTime = milliseconds(16000),
         .servedPart = 0.2});
}

// Guards against records that are forgotten between the crashes of a part that comes seldom.
TEST_CASE("A prompt part that crashes servers and comes seldom is found")
{
    checkPartBound({.poisonPerSecond = 0.4, .poisonTime = milliseconds(26000), .servedPart = 0.3});
}
