#include <catch2/catch.hpp>

#include "Gateway/DatagramPeer.h"
#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr std::uint32_t sidecarIp = 0x7F000003;
constexpr std::uint32_t strangerIp = 0x7F000004;

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

// After a restart a sidecar knows no other engine: without the list it neither leads its group nor
// passes maps on, and the group keeps a map that no longer fits. The hello only names the list.
TEST_CASE("A gateway names its list of engines in each hello, and tells it to a sidecar that asks")
{
    const ScriptedServer engine([](const SeenRequest &, ScriptPeer &) {}, sidecarIp);
    Running gateway;
    gateway.store.put("keyed.op", "config", configurationWithGroup());
    gateway.addBackend("i-1", "model", engine);
    const DatagramPeer sidecar(sidecarIp, gateway.messages());
    const DatagramPeer stranger(strangerIp, gateway.messages());
    gateway.waitUntilReady();
    std::vector<GatewayHello> hellos;
    REQUIRE(eventually([&] {
        hellos = sidecar.receiveWithin<GatewayHello>(milliseconds(100));
        return !hellos.empty();
    }));
    sidecar.send(EngineListWanted{});
    const auto lists = sidecar.receiveWithin<EngineList>(milliseconds(200));
    REQUIRE(lists.size() == 1);
    REQUIRE(lists.front().engines == std::vector<Endpoint>{engine.endpoint()});
    REQUIRE(lists.front().profile.expertsPerSet == 4);
    REQUIRE(digestOf(lists.front()) == hellos.front().listDigest);
    // No engine runs on that VM.
    stranger.send(EngineListWanted{});
    REQUIRE(stranger.countWithin<EngineList>(milliseconds(100)) == 0);
}
