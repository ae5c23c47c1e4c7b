#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"
#include "Gateway/LoggedGateway.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

// Guards against logs that don't show why a gateway used an old version. The log must show each
// failed store call with its duration and connection, to tell slow calls from dead connections, and
// for a refused request the age of the configuration that decided it.
TEST_CASE("Each failed store call is logged, and a refusal states the age of its configuration")
{
    StoreStandIn store;
    store.put("keyed.op", "config", configurationOf(1));
    const LoggedGateway gateway(store.endpoint());
    REQUIRE_FALSE(gateway.waitForLine("config.in_force", "process", "front-1").is_null());
    // Requests also wait until the list of backend servers has been read.
    REQUIRE(eventually(
        [&] { return callServer(gateway.callers(), requestFor("/none/x", "a0")).status == 404; }));
    store.setSilent(true);
    const nlohmann::json lost = gateway.waitForLine("store.lost", "what", "backends");
    REQUIRE(lost.value("after_s", 0.0) >= 0.7);
    const nlohmann::json failed = gateway.waitForLine("store.call_failed", "what", "backends");
    REQUIRE(failed.value("connection", "") == "new");
    REQUIRE(failed.value("failures", 0) == 2);
    REQUIRE(failed.value("after_s", 0.0) >= 0.7);
    REQUIRE(failed.value("next_in_s", 0.0) > 0);
    REQUIRE(callServer(gateway.callers(), requestFor("/none/x", "a1")).status == 404);
    const nlohmann::json end = gateway.waitForLine("request.end", "id", "a1");
    REQUIRE(end.value("config", 0) == 1);
    REQUIRE(end.value("config_age_s", 0.0) > 0.7);
}

// Guards against a version that comes into force late after an outage of the store, so that callers
// with a new key get 401. A read that waits for changes and begins in the outage would time out
// only after its whole wait, and the maximum backoff would follow.
TEST_CASE("A new configuration is in force within 2 s after a silent store answers again")
{
    // A version must be in force this long after its acknowledgement.
    constexpr seconds inForceWithin{2};
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", backend);
    gateway.callUntil(requestFor("/once/x", "a1"), 200);
    const std::size_t readsBefore = gateway.store.readsOf("keyed.op");
    gateway.store.setSilent(true);
    REQUIRE(eventually([&] { return gateway.store.readsOf("keyed.op") >= readsBefore + 3; }));
    gateway.store.setSilent(false);
    nlohmann::json next = configurationOf(2);
    next["tenants"][0]["api_keys"] = {"key1", "key2"};
    gateway.store.put("keyed.op", "config", next);
    const TimePoint acknowledged = monotonicNow();
    std::string request = requestFor("/once/x", "a2");
    request.replace(request.find("key1"), 4, "key2");
    REQUIRE(gateway.callUntil(request, 200).status == 200);
    REQUIRE(monotonicNow() - acknowledged < inForceWithin);
}
