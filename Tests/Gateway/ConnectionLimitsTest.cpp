#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Gateway/CallerSocket.h"
#include "Gateway/ServedGateway.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr std::size_t shortBytes = 1000;
constexpr std::size_t longBytes = 150000;
constexpr milliseconds shortIdleTime{2000};
constexpr milliseconds longIdleTime{15000};

nlohmann::json configurationWith(int version, std::size_t bodyBytes, milliseconds idleTime)
{
    nlohmann::json configuration = configurationOf(version);
    configuration["limits"] = {{"max_header_bytes", 2 * longBytes},
                               {"max_body_bytes", bodyBytes},
                               {"header_timeout_ms", 3000},
                               {"idle_timeout_ms", idleTime.count()}};
    return configuration;
}

std::string requestOfSize(std::size_t headerBytes, std::size_t bodyBytes)
{
    return "POST /again/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key1\r\n"
           "Wisteriawind-Attempt-Id: a1\r\nWisteriawind-Deadline-Ms: 3000\r\nX-Long: "
        + std::string(headerBytes, 'h') + "\r\nContent-Length: " + std::to_string(bodyBytes)
        + "\r\n\r\n" + std::string(bodyBytes, 'b');
}

int statusOf(CallerSocket &caller, const std::string &request)
{
    return caller.send(request) ? caller.readAnswer().status : 0;
}

void answerAll(const SeenRequest &request, ScriptPeer &peer)
{
    peer.send(sealed(request, 200, "x"));
}

} // namespace

// Guards against a kept connection whose requests are refused by the limits of an old version.
TEST_CASE("A kept connection has the limits of the configuration in force")
{
    ServedGateway served(answerAll, configurationWith(1, shortBytes, longIdleTime));
    CallerSocket kept(served.callers());
    CallerSocket unused(served.callers());
    const std::string longRequest = requestOfSize(0, longBytes);
    REQUIRE(statusOf(kept, requestOfSize(0, shortBytes)) == 200);
    REQUIRE(callServer(served.callers(), longRequest).status == 413);
    served.store.put("keyed.op", "config", configurationWith(2, longBytes, longIdleTime));
    REQUIRE(eventually([&] { return callServer(served.callers(), longRequest).status == 200; }));
    CHECK(statusOf(kept, longRequest) == 200);
    CHECK(statusOf(kept, longRequest) == 200);
    CHECK(statusOf(unused, longRequest) == 200);
    served.store.put("keyed.op", "config", configurationWith(3, shortBytes, longIdleTime));
    REQUIRE(eventually([&] { return callServer(served.callers(), longRequest).status == 413; }));
    CHECK(statusOf(kept, longRequest) == 413);
}

// Guards against a kept connection that is closed after the idle time of an old version, or of a
// new one that its caller does not know yet.
TEST_CASE("A kept connection stays open for the idle time of the configuration in force")
{
    const bool grows = GENERATE(true, false);
    ServedGateway served(answerAll,
                         configurationWith(1, shortBytes, grows ? shortIdleTime : longIdleTime));
    CallerSocket kept(served.callers());
    REQUIRE(statusOf(kept, requestOfSize(0, shortBytes)) == 200);
    served.store.put("keyed.op", "config",
                     configurationWith(2, longBytes, grows ? longIdleTime : shortIdleTime));
    REQUIRE(eventually(
        [&] { return callServer(served.callers(), requestOfSize(0, longBytes)).status == 200; }));
    CHECK_FALSE(kept.waitForEnd(shortIdleTime + milliseconds(1000)));
    CHECK(statusOf(kept, requestOfSize(0, shortBytes)) == 200);
}

// Guards against built-in limits for connections that were opened while a gateway started.
TEST_CASE("A connection that is older than the first configuration has that one's limits")
{
    GatewayUnderTest gateway;
    gateway.store.setUnavailable(true);
    ScriptedServer server(answerAll);
    gateway.store.put("keyed.op", "config", configurationWith(1, shortBytes, longIdleTime));
    gateway.addBackend("i-1", "plain", server);
    gateway.start();
    std::optional<CallerSocket> caller;
    REQUIRE(eventually([&] { return caller.emplace(gateway.callers()).connected(); }));
    gateway.store.setUnavailable(false);
    gateway.waitUntilReady();
    CHECK(statusOf(*caller, requestOfSize(longBytes, shortBytes)) == 200);
    CHECK(statusOf(*caller, requestOfSize(0, longBytes)) == 413);
}
