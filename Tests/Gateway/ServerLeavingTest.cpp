#include <atomic>

#include <catch2/catch.hpp>

#include "Gateway/GatewayFleet.h"
#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// How long after a backend server has said that it leaves it may still get requests.
constexpr milliseconds drainTime{2000};

std::string leavingAnswer(const SeenRequest &request)
{
    return plainResponse(200,
                         std::string(seal) + "Server-Leaving: 1\r\nWisteriawind-Attempt-Id: "
                             + request.header("Wisteriawind-Attempt-Id") + "\r\n",
                         "here");
}

} // namespace

// Guards against requests to a server that ends soon, where only its own answers tell so.
TEST_CASE("A backend server that says in its answers that it leaves gets no new work")
{
    ArrivalLog arrivals;
    ScriptedServer leaving([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(leavingAnswer(request));
    });
    ScriptedServer sound([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayFleet fleet(GENERATE(2, 13));
    fleet.addServer("i-1", leaving);
    fleet.addServer("i-2", sound);
    fleet.start();
    fleet.store.mute(true);
    const auto results = fleet.load("/again/x", 24, drainTime + seconds(3));
    REQUIRE(arrivals.laterThan(drainTime) == 0);
    for (const CallResult &result : results)
        REQUIRE(result.status == 200);
}
