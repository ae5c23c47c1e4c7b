#include <algorithm>
#include <utility>

#include <poll.h>

#include <catch2/catch.hpp>

#include "Gateway/GatewayFleet.h"
#include "Gateway/GatewayUnderTest.h"
#include "platform/RequestCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Time after the first advertised limit from which it must hold, and the span it is counted over.
constexpr milliseconds settleTime{3000};
constexpr milliseconds span{4000};

/// Returns the number of requests that all gateways together may send within `span`: 1.5 times the
/// limit plus five.
std::size_t allowedWithin(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * secondsOf(span)) + 5;
}

std::string answerWithLimit(const SeenRequest &request, const std::string &perSecond)
{
    return plainResponse(200, ownFields(request) + "Server-Limit: " + perSecond + "\r\n", "here");
}

/// Answers so slowly that a gateway prefers another server.
void answerSlowly(const SeenRequest &request, ScriptPeer &peer)
{
    constexpr int workMilliseconds = 200;
    ::poll(nullptr, 0, workMilliseconds);
    peer.send(sealed(request, 200, "here"));
}

std::size_t countServed(const std::vector<CallResult> &results)
{
    return static_cast<std::size_t>(
        std::count_if(results.begin(), results.end(),
                      [](const CallResult &result) { return result.status == 200; }));
}

} // namespace

TEST_CASE("The limit in an answer is parsed, and a malformed value counts as no limit")
{
    const auto parsedLimit = [](const std::string &value) {
        HttpResponseHead head;
        head.fields = {{"Server-Limit", value}};
        return platform::decodeAnswerHead(head).limitPerSecond;
    };
    REQUIRE(parsedLimit("1.5") == 1.5);
    REQUIRE(parsedLimit("4") == 4.0);
    for (const char *wrong : {"", "-1", "nan", "inf", "many", "1 2"})
        REQUIRE_FALSE(parsedLimit(wrong));
    REQUIRE_FALSE(platform::decodeAnswerHead(HttpResponseHead()).limitPerSecond);
}

// Guards against each gateway using the whole limit of an overloaded server, or more.
TEST_CASE("All gateways together stay within the limit that a backend server advertises")
{
    const std::size_t gateways = GENERATE(2, 13);
    ArrivalLog arrivals;
    ScriptedServer limitedServer([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(answerWithLimit(request, "1"));
    });
    ScriptedServer healthyServer(answerSlowly);
    GatewayFleet fleet(gateways);
    fleet.addServer("i-1", limitedServer);
    fleet.addServer("i-2", healthyServer);
    fleet.start();
    const auto results = fleet.sendAtRate("/again/x", 24, settleTime + span + seconds(2));
    REQUIRE(countServed(results) == results.size());
    CAPTURE(gateways);
    REQUIRE(maxWithin(arrivals.fromSignalled(), arrivals.firstSignalAt() + settleTime, span)
            <= allowedWithin(1));
}

// Guards against the only server of a service getting nothing or more than its limit, and against
// refusals without Retry-After.
TEST_CASE("A single backend server serves as many requests as the limit that it advertises")
{
    ArrivalLog arrivals;
    ScriptedServer limitedServer([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(answerWithLimit(request, "4"));
    });
    const auto [gateways, requestsPerSecond] = GENERATE(std::pair(2, 8), std::pair(36, 24));
    GatewayFleet fleet(static_cast<std::size_t>(gateways));
    fleet.addServer("i-1", limitedServer);
    fleet.start();
    constexpr milliseconds time = settleTime + span + seconds(1);
    const auto results = fleet.sendAtRate("/again/x", requestsPerSecond, time);
    CAPTURE(gateways, countServed(results));
    REQUIRE(maxWithin(arrivals.fromSignalled(), arrivals.firstSignalAt() + settleTime, span)
            <= allowedWithin(4));
    constexpr double minUsage = 0.8;
    REQUIRE(static_cast<double>(countServed(results)) >= 4 * secondsOf(time) * minUsage);
    for (const CallResult &result : results) {
        if (result.status != 200)
            REQUIRE_FALSE(result.header("Retry-After").empty());
    }
}

// Guards against gateways that cannot discover each other each using the whole limit.
TEST_CASE("Gateways that don't know each other do not exceed a limit together")
{
    ArrivalLog arrivals;
    ScriptedServer limitedServer([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(answerWithLimit(request, "1"));
    });
    ScriptedServer healthyServer(answerSlowly);
    GatewayFleet fleet(13);
    fleet.store.refuseAppends();
    fleet.addServer("i-1", limitedServer);
    fleet.addServer("i-2", healthyServer);
    fleet.start();
    const auto results = fleet.sendAtRate("/again/x", 48, settleTime + span);
    REQUIRE(countServed(results) == results.size());
    REQUIRE(maxWithin(arrivals.fromSignalled(), arrivals.firstSignalAt() + settleTime - seconds(1),
                      span)
            <= allowedWithin(1));
}

// Guards against limits that work only while the store answers.
TEST_CASE("A limit is used and not exceeded while the store is unavailable")
{
    ArrivalLog arrivals;
    ScriptedServer limitedServer([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(answerWithLimit(request, "2"));
    });
    GatewayFleet fleet(4);
    fleet.addServer("i-1", limitedServer);
    fleet.start();
    fleet.sendAtRate("/again/x", 12, seconds(1));
    fleet.store.setSilent(true);
    const auto results = fleet.sendAtRate("/again/x", 12, settleTime + span);
    REQUIRE(maxWithin(arrivals.fromSignalled(), arrivals.firstSignalAt() + settleTime, span)
            <= allowedWithin(2));
    constexpr double secondsOfLoad = 7;
    REQUIRE(static_cast<double>(countServed(results)) >= 2 * secondsOfLoad * 0.6);
}

// Guards against a limit that is applied to the wrong server: another server has the address by
// now, and its refusal carries its own limit.
TEST_CASE("A limit in a refusal by another server at the address is ignored")
{
    ScriptedServer other([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(plainResponse(421,
                                "Server-Limit: 1\r\nWisteriawind-Attempt-Id: "
                                    + request.header("Wisteriawind-Attempt-Id") + "\r\n",
                                ""));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", other);
    REQUIRE(gateway.call(requestFor("/again/x", "a1", "GET")).status == 503);
    REQUIRE(other.seen().size() == 1);
    REQUIRE(gateway.metrics().find("wisteria_server_limits 0") != std::string::npos);
}
