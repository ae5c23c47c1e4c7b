#include "Gateway/PoisonScenario.h"

#include <future>

#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"

namespace wisteria::gateway_tests {

namespace {

/// Sends that may follow later than `settleTime` after the third crash.
constexpr std::size_t maxLaterSends = 3;
constexpr milliseconds settleTime{3000};
constexpr double minServed = 0.99;

/// Checks that each gateway answers the poison requests with a status that callers take as final.
void checkFinalAnswers(const PoisonScenario &scenario, const GatewayFleet &gateways)
{
    constexpr int final = 400;
    constexpr milliseconds startTime{1000};
    for (std::size_t i = 0; i < scenario.poisonRequests * gateways.size(); ++i) {
        const std::string body = poisonMark + std::to_string(i % scenario.poisonRequests);
        const Endpoint &callers = gateways.callers(i / scenario.poisonRequests);
        const std::string request = requestWithBody(scenario.target, "final", body);
        // A gateway that has just been started refuses connections at first.
        const TimePoint end = monotonicNow() + startTime;
        int status = callServer(callers, request).status;
        while (status != final && monotonicNow() < end) {
            sleepUntil(monotonicNow() + milliseconds(10));
            status = callServer(callers, request).status;
        }
        CHECK(status == final);
    }
}

std::vector<CallResult> sendProperRequests(const PoisonScenario &scenario,
                                           const GatewayFleet &gateways)
{
    const auto maker = [&scenario](const std::string &id, std::size_t) {
        return scenario.distinctOthers ? requestWithBody(scenario.target, id, id)
                                       : requestFor(scenario.target, id);
    };
    constexpr double perSecond = 40;
    return gateways.sendAtRate(maker, perSecond, scenario.runTime);
}

void setDeadline(std::string &request, milliseconds deadline)
{
    static constexpr std::string_view name = "Wisteriawind-Deadline-Ms: ";
    const std::size_t begin = request.find(name) + name.size();
    request.replace(begin, request.find('\r', begin) - begin, std::to_string(deadline.count()));
}

void disturbUntil(TimePoint end, const PoisonScenario &scenario, CrashingFleet &fleet)
{
    constexpr milliseconds disturbInterval{250};
    while (monotonicNow() < end) {
        sleepUntil(monotonicNow() + disturbInterval);
        scenario.disturb(fleet);
    }
}

} // namespace

std::string requestWithBody(const std::string &target, const std::string &id,
                            const std::string &body)
{
    std::string request = requestFor(target, id);
    const std::string none = "Content-Length: 0";
    request.replace(request.find(none), none.size(),
                    "Content-Length: " + std::to_string(body.size()));
    return request + body;
}

std::vector<CallResult> repeatUntil(TimePoint end, milliseconds interval,
                                    const GatewayFleet &gateways, const std::string &target,
                                    const std::string &body, milliseconds shortDeadline)
{
    std::vector<std::future<CallResult>> calls;
    for (TimePoint due = monotonicNow(); due < end; due += interval) {
        sleepUntil(due);
        const std::size_t gateway = calls.size() % gateways.size();
        std::string request =
            requestWithBody(target, "p" + std::to_string(calls.size()) + body, body);
        if (shortDeadline > milliseconds(0) && calls.size() % 2 == 1)
            setDeadline(request, shortDeadline);
        calls.push_back(std::async(std::launch::async, [&gateways, gateway, request] {
            return callServer(gateways.callers(gateway), request);
        }));
    }
    std::vector<CallResult> results;
    results.reserve(calls.size());
    for (auto &call : calls)
        results.push_back(call.get());
    return results;
}

void checkPoisonBound(const PoisonScenario &scenario)
{
    CrashingFleet fleet(scenario.gateways, scenario.plan, scenario.servers);
    GatewayFleet &gateways = fleet.gateways();
    const TimePoint end = monotonicNow() + scenario.runTime;
    auto proper =
        std::async(std::launch::async, [&] { return sendProperRequests(scenario, gateways); });
    gateways.store.setSilent(scenario.storeSilent);
    std::vector<std::future<std::vector<CallResult>>> poison;
    for (std::size_t i = 0; i < scenario.poisonRequests * scenario.callers; ++i) {
        poison.push_back(std::async(std::launch::async, [&, i] {
            const std::string body = poisonMark + std::to_string(i % scenario.poisonRequests);
            return repeatUntil(end, scenario.interval, gateways, scenario.target, body,
                               scenario.shortDeadline);
        }));
    }
    if (scenario.restartsGateways && scenario.restartsAllAtOnce)
        fleet.restartAllGateways(end);
    else if (scenario.restartsGateways)
        fleet.restartGatewaysInTurn(end);
    if (scenario.disturb)
        disturbUntil(end, scenario, fleet);
    for (auto &caller : poison)
        caller.get();
    const std::vector<CallResult> results = proper.get();
    const CrashHistory history = fleet.history();
    CAPTURE(history.crashes.size(), history.poisonArrivals.size());
    CHECK(history.crashes.size() <= scenario.maxCrashes * scenario.poisonRequests);
    CHECK(history.arrivalsAfterCrash(3, settleTime) <= maxLaterSends * scenario.poisonRequests);
    for (const auto &[body, one] : history.byRequest) {
        CAPTURE(body, one.crashes.size());
        CHECK(one.arrivalsAfterCrash(3, settleTime) <= maxLaterSends);
        CHECK(one.arrivalsAfterCopy(3, settleTime) <= maxLaterSends);
    }
    CHECK(countRejected(results) == 0);
    // A gateway that is killed loses the requests that it holds.
    if (!scenario.restartsGateways)
        CHECK(servedShare(results, scenario.servedPart) >= minServed);
    checkFinalAnswers(scenario, gateways);
}

} // namespace wisteria::gateway_tests
