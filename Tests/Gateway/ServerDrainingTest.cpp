#include <catch2/catch.hpp>

#include "Gateway/GatewayFleet.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/RegistryEntries.h"
#include "platform/RequestCodec.h"

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

TEST_CASE("An answer tells that its backend server leaves by one value only")
{
    const auto leavingIn = [](const std::string &value) {
        HttpResponseHead head;
        head.fields = {{"Server-Leaving", value}};
        return platform::decodeAnswerHead(head).draining;
    };
    REQUIRE(leavingIn("1"));
    REQUIRE_FALSE(leavingIn("0"));
    REQUIRE_FALSE(leavingIn(""));
    REQUIRE_FALSE(platform::decodeAnswerHead(HttpResponseHead()).draining);
}

// Guards against a server that leaves getting work again by an entry that was written before, or
// that lapses and comes back after an outage of the store.
TEST_CASE("No entry brings a server back that said that it leaves, but its restart does")
{
    constexpr TimePoint start{seconds(100)};
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1", 1), start);
    REQUIRE(noteDraining(registry, "i-1", start));
    REQUIRE_FALSE(noteDraining(registry, "i-1", start));
    putBackend(registry, entryOf("i-1", 1), start);
    removeBackend(registry, "i-1");
    putBackend(registry, entryOf("i-1", 1), start + seconds(10));
    REQUIRE(chooseBackend(registry, criteriaOf(), start + seconds(10), 0).backend == nullptr);
    putBackend(registry, entryOf("i-1", 2), start + seconds(10));
    REQUIRE(chooseBackend(registry, criteriaOf(), start + seconds(10), 0).backend != nullptr);
}

// Guards against a server that is never used again as it started under its id while its entry was
// gone.
TEST_CASE("A server that left and starts again under its id is a new one")
{
    constexpr TimePoint start{seconds(100)};
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1", 1), start);
    noteDraining(registry, "i-1", start);
    noteBackoff(registry, "i-1", start + seconds(100), start);
    noteAdvertisedLimit(registry.limits, "i-1", {.perSecond = 1, .receivedAt = start});
    removeBackend(registry, "i-1");
    putBackend(registry, entryOf("i-1", 2), start + seconds(5));
    REQUIRE(chooseBackend(registry, criteriaOf(), start + seconds(5), 0).backend != nullptr);
}

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
    fleet.store.setSilent(true);
    const auto results = fleet.sendAtRate("/again/x", 24, drainTime + seconds(3));
    REQUIRE(arrivals.countLaterThan(drainTime) == 0);
    for (const CallResult &result : results)
        REQUIRE(result.status == 200);
}
