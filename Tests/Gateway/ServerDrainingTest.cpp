#include <catch2/catch.hpp>

#include "Gateway/GatewayFleet.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/RegistryEntries.h"
#include "platform/RequestCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// How long a backend server may still get requests after it announced that it is draining.
constexpr milliseconds drainTime{2000};

std::string drainingAnswer(const SeenRequest &request)
{
    return plainResponse(200,
                         std::string(seal) + "Server-Leaving: 1\r\nWisteriawind-Attempt-Id: "
                             + request.header("Wisteriawind-Attempt-Id") + "\r\n",
                         "here");
}

} // namespace

TEST_CASE("Only the value 1 of Server-Leaving marks a backend server as draining")
{
    const auto parsedDraining = [](const std::string &value) {
        HttpResponseHead head;
        head.fields = {{"Server-Leaving", value}};
        return platform::decodeAnswerHead(head).draining;
    };
    REQUIRE(parsedDraining("1"));
    REQUIRE_FALSE(parsedDraining("0"));
    REQUIRE_FALSE(parsedDraining(""));
    REQUIRE_FALSE(platform::decodeAnswerHead(HttpResponseHead()).draining);
}

// Guards against a draining server getting work again because of an entry that was written earlier,
// or that expires and returns after a store outage.
TEST_CASE("A draining server gets no work when its entry changes, but does after its restart")
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

// Guards against a server that is never used again because it restarted under its id while its
// entry was gone.
TEST_CASE("A draining server that restarts while its entry is gone begins with fresh state")
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

// Guards against requests to a server that shuts down soon and announces it only in its answers.
TEST_CASE("A backend server that announces draining in its answers gets no new work")
{
    ArrivalLog arrivals;
    ScriptedServer drainingServer([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(drainingAnswer(request));
    });
    ScriptedServer healthyServer([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayFleet fleet(GENERATE(2, 13));
    fleet.addServer("i-1", drainingServer);
    fleet.addServer("i-2", healthyServer);
    fleet.start();
    fleet.store.setSilent(true);
    const auto results = fleet.sendAtRate("/again/x", 24, drainTime + seconds(3));
    REQUIRE(arrivals.countLaterThan(drainTime) == 0);
    for (const CallResult &result : results)
        REQUIRE(result.status == 200);
}
