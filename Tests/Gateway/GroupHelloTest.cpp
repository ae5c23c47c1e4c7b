#include <catch2/catch.hpp>

#include "Gateway/DatagramPeer.h"
#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr std::uint32_t sidecarIp = 0x7F000003;
constexpr std::uint32_t unlistedIp = 0x7F000004;

nlohmann::json configurationWithGroup()
{
    nlohmann::json configuration = configurationOf(1);
    configuration["services"] = {
        {{"name", "model"},
         {"engine",
          {{"slot_count", 4}, {"sets", 1}, {"experts", 4}, {"places", 2}, {"spare", 1}}}}};
    return configuration;
}

} // namespace

// Guards against requests to ranks that are still closed after a power loss: their sidecars start
// just after the gateway's first hello, and the next one at the usual interval is 0.6 s later.
TEST_CASE("A gateway sends hellos at a short interval until a new sidecar has answered")
{
    const ScriptedServer engine([](const SeenRequest &, ScriptPeer &) {}, sidecarIp);
    GatewayUnderTest gateway;
    gateway.store.put("keyed.op", "config", configurationWithGroup());
    gateway.addBackend("i-1", "model", engine);
    const DatagramPeer sidecar(sidecarIp, gateway.messageEndpoint());
    gateway.waitUntilReady();
    REQUIRE(sidecar.countWithin<GatewayHello>(milliseconds(550)) >= 4);
    sidecar.send(EngineLoad{.engine = engine.endpoint(), .open = false});
    sidecar.countWithin<GatewayHello>(milliseconds(100));
    REQUIRE(sidecar.countWithin<GatewayHello>(milliseconds(550)) <= 1);
}

// Guards against a group that keeps an unsuitable expert map: a restarted sidecar has no engine
// list, without which it can't lead or apply changes to the first map. A hello contains only the
// list's digest.
TEST_CASE("A gateway sends the digest of its engine list in each hello, and the list on request")
{
    const ScriptedServer engine([](const SeenRequest &, ScriptPeer &) {}, sidecarIp);
    GatewayUnderTest gateway;
    gateway.store.put("keyed.op", "config", configurationWithGroup());
    gateway.addBackend("i-1", "model", engine);
    const DatagramPeer sidecar(sidecarIp, gateway.messageEndpoint());
    const DatagramPeer unlisted(unlistedIp, gateway.messageEndpoint());
    gateway.waitUntilReady();
    std::vector<GatewayHello> hellos;
    REQUIRE(eventually([&] {
        hellos = sidecar.receiveWithin<GatewayHello>(milliseconds(100));
        return !hellos.empty();
    }));
    sidecar.send(EngineListRequest{});
    const auto lists = sidecar.receiveWithin<EngineList>(milliseconds(200));
    REQUIRE(lists.size() == 1);
    REQUIRE(lists.front().engines == std::vector<Endpoint>{engine.endpoint()});
    REQUIRE(lists.front().profile.expertsPerSet == 4);
    REQUIRE(digestOf(lists.front()) == hellos.front().listDigest);
    // No engine runs on that VM.
    unlisted.send(EngineListRequest{});
    REQUIRE(unlisted.countWithin<EngineList>(milliseconds(100)) == 0);
}
