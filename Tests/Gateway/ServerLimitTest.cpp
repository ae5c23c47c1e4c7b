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

/// From when on a limit that was named binds, and over which span it is counted.
constexpr milliseconds settled{3000};
constexpr milliseconds span{4000};

/// Requests that all gateways may send within the span.
std::size_t allowedWithin(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * secondsOf(span)) + 5;
}

std::string limited(const SeenRequest &request, const std::string &perSecond)
{
    return plainResponse(200,
                         std::string(seal) + "Server-Limit: " + perSecond
                             + "\r\nWisteriawind-Attempt-Id: "
                             + request.header("Wisteriawind-Attempt-Id") + "\r\n",
                         "here");
}

/// Takes so long that a gateway would rather send to another server.
void busyServer(const SeenRequest &request, ScriptPeer &peer)
{
    constexpr int workMilliseconds = 200;
    ::poll(nullptr, 0, workMilliseconds);
    peer.send(sealed(request, 200, "here"));
}

std::size_t served(const std::vector<CallResult> &results)
{
    return static_cast<std::size_t>(
        std::count_if(results.begin(), results.end(),
                      [](const CallResult &result) { return result.status == 200; }));
}

} // namespace

TEST_CASE("A limit that an answer names is read, and what is no number names none")
{
    const auto limitIn = [](const std::string &value) {
        HttpResponseHead head;
        head.fields = {{"Server-Limit", value}};
        return platform::decodeAnswerHead(head).limitPerSecond;
    };
    REQUIRE(limitIn("1.5") == 1.5);
    REQUIRE(limitIn("4") == 4.0);
    for (const char *wrong : {"", "-1", "nan", "inf", "many", "1 2"})
        REQUIRE_FALSE(limitIn(wrong));
    REQUIRE_FALSE(platform::decodeAnswerHead(HttpResponseHead()).limitPerSecond);
}

// Guards against a server in need getting the limit that it names from each gateway, or more.
TEST_CASE("Gateways together keep to the limit that a backend server names")
{
    const std::size_t gateways = GENERATE(2, 13);
    ArrivalLog arrivals;
    ScriptedServer inNeed([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(limited(request, "1"));
    });
    ScriptedServer sound(busyServer);
    GatewayFleet fleet(gateways);
    fleet.addServer("i-1", inNeed);
    fleet.addServer("i-2", sound);
    fleet.start();
    const auto results = fleet.sendAtRate("/again/x", 24, settled + span + seconds(2));
    REQUIRE(served(results) == results.size());
    CAPTURE(gateways);
    REQUIRE(maxWithin(arrivals.fromSignalled(), arrivals.firstSignalAt() + settled, span)
            <= allowedWithin(1));
}

// Guards against a server that names a limit getting nothing, or more than that, when no other is
// there, and against callers that wait for long to be told so.
TEST_CASE("A backend server alone serves as much as the limit that it names")
{
    ArrivalLog arrivals;
    ScriptedServer inNeed([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(limited(request, "4"));
    });
    const auto [gateways, asked] = GENERATE(std::pair(2, 8), std::pair(36, 24));
    GatewayFleet fleet(static_cast<std::size_t>(gateways));
    fleet.addServer("i-1", inNeed);
    fleet.start();
    constexpr milliseconds time = settled + span + seconds(1);
    const auto results = fleet.sendAtRate("/again/x", asked, time);
    CAPTURE(gateways, served(results));
    REQUIRE(maxWithin(arrivals.fromSignalled(), arrivals.firstSignalAt() + settled, span)
            <= allowedWithin(4));
    constexpr double usedAtLeast = 0.8;
    REQUIRE(static_cast<double>(served(results)) >= 4 * secondsOf(time) * usedAtLeast);
    for (const CallResult &result : results) {
        if (result.status != 200)
            REQUIRE_FALSE(result.header("Retry-After").empty());
    }
}

// Guards against gateways that can't find out about each other each using the whole limit.
TEST_CASE("Gateways that don't know each other stay within a limit together")
{
    ArrivalLog arrivals;
    ScriptedServer inNeed([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(limited(request, "1"));
    });
    ScriptedServer sound(busyServer);
    GatewayFleet fleet(13);
    fleet.store.refuseAppends();
    fleet.addServer("i-1", inNeed);
    fleet.addServer("i-2", sound);
    fleet.start();
    const auto results = fleet.sendAtRate("/again/x", 48, settled + span);
    REQUIRE(served(results) == results.size());
    REQUIRE(
        maxWithin(arrivals.fromSignalled(), arrivals.firstSignalAt() + settled - seconds(1), span)
        <= allowedWithin(1));
}

// Guards against limits that hold only while the store answers.
TEST_CASE("A limit is used and kept while the store is away")
{
    ArrivalLog arrivals;
    ScriptedServer inNeed([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(limited(request, "2"));
    });
    GatewayFleet fleet(4);
    fleet.addServer("i-1", inNeed);
    fleet.start();
    fleet.sendAtRate("/again/x", 12, seconds(1));
    fleet.store.setSilent(true);
    const auto results = fleet.sendAtRate("/again/x", 12, settled + span);
    REQUIRE(maxWithin(arrivals.fromSignalled(), arrivals.firstSignalAt() + settled, span)
            <= allowedWithin(2));
    constexpr double secondsOfLoad = 7;
    REQUIRE(static_cast<double>(served(results)) >= 2 * secondsOfLoad * 0.6);
}

// Guards against the limit of a server that has another one's address by now being taken for that
// one's.
TEST_CASE("A refusal by another server at the address names no limit of the one that was meant")
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
