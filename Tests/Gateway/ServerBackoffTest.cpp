#include <algorithm>

#include <catch2/catch.hpp>

#include "Gateway/GatewayFleet.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/RegistryEntries.h"
#include "Request/AdmissionTimeouts.h"
#include "Request/BackendRegistry.h"
#include "Request/RetryAfterPolicy.h"
#include "platform/RequestCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr milliseconds backoff{3000};
/// What may reach a server of one gateway within a rest.
constexpr std::size_t allowedWithinBackoff = 2;

constexpr TimePoint start{seconds(100)};

std::string turnedAway(const SeenRequest &request)
{
    return plainResponse(503,
                         "Wisteriawind-Not-Executed: 1\r\nRetry-After: 3\r\n"
                         "Wisteriawind-Attempt-Id: "
                             + request.header("Wisteriawind-Attempt-Id") + "\r\n",
                         "");
}

/// A backend server that turns everything away and asks for rest.
class BackingOffServer
{
public:
    BackingOffServer()
        : server_([this](const SeenRequest &request, ScriptPeer &peer) {
              arrivals_.note(request, true, monotonicNow());
              peer.send(turnedAway(request));
          })
    { }

    const ScriptedServer &server() const { return server_; }
    std::size_t mostWithinBackoff() const { return arrivals_.maxAfterAnswer(backoff); }

private:
    ArrivalLog arrivals_;
    ScriptedServer server_;
};

std::size_t countOf(const std::vector<CallResult> &results, int status)
{
    return static_cast<std::size_t>(
        std::count_if(results.begin(), results.end(),
                      [status](const CallResult &result) { return result.status == status; }));
}

} // namespace

TEST_CASE("The rest that a refusal asks for is read, and no other answer asks for any")
{
    const auto restIn = [](int status, const std::string &value) {
        HttpResponseHead head;
        head.status = status;
        head.fields = {{"Retry-After", value}};
        return platform::decodeAnswerHead(head).retryAfter;
    };
    REQUIRE(restIn(503, "3") == seconds(3));
    REQUIRE(restIn(503, "0.25") == milliseconds(250));
    REQUIRE(restIn(503, "1e9") == seconds(3600));
    for (const char *wrong : {"", "-1", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"})
        REQUIRE(restIn(503, wrong) == milliseconds(0));
    REQUIRE(restIn(200, "3") == milliseconds(0));
}

// Guards against a server that asked for rest being sent to, as it has the least load.
TEST_CASE("A backend server that asked for rest gets nothing while another is well")
{
    const BackingOffServer backingOff;
    ScriptedServer sound([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayFleet fleet(GENERATE(2, 13));
    fleet.addServer("i-1", backingOff.server());
    fleet.addServer("i-2", sound);
    fleet.start();
    const auto results = fleet.sendAtRate("/again/x", 24, backoff);
    REQUIRE(backingOff.mostWithinBackoff() <= allowedWithinBackoff);
    // The request by which a gateway learns of the rest may find no retry left in its share.
    REQUIRE(countOf(results, 200) >= results.size() - fleet.size());
}

// Guards against each caller's request being sent on to servers that all asked for rest, and
// against callers who are told to come back within the rest.
TEST_CASE("Where all backend servers asked for rest, callers are told so at once")
{
    const BackingOffServer first;
    const BackingOffServer second;
    GatewayFleet fleet(2);
    fleet.addServer("i-1", first.server());
    fleet.addServer("i-2", second.server());
    fleet.start();
    fleet.sendAtRate("/again/x", 24, milliseconds(500));
    const TimePoint allTold = monotonicNow();
    const auto results = fleet.sendAtRate("/again/x", 24, milliseconds(1500));
    REQUIRE(first.mostWithinBackoff() <= allowedWithinBackoff);
    REQUIRE(second.mostWithinBackoff() <= allowedWithinBackoff);
    REQUIRE(countOf(results, 503) == results.size());
    const milliseconds restLeft = backoff - remaining(allTold, monotonicNow()) - milliseconds(500);
    for (const CallResult &result : results)
        REQUIRE(std::stod(result.header("Retry-After")) >= secondsOf(restLeft));
}

// Guards against a rest that ends early: with the entry that is rewritten or lapses while the store
// is away, with a load that is told, or with an answer to an earlier request.
TEST_CASE("A rest outlasts changes of the server's entry and what else is told of it")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1", 1), start);
    noteBackoff(registry, "i-1", start + backoff, start);
    const auto chosen = [&registry](TimePoint now) {
        return chooseBackend(registry, criteriaOf(), now, 0);
    };
    putBackend(registry, entryOf("i-1", 1), start);
    noteLoad(registry.backends["i-1"], {.at = start}, 0);
    noteSuccess(registry.backends["i-1"]);
    noteBackoff(registry, "i-1", start + seconds(1), start);
    removeBackend(registry, "i-1");
    putBackend(registry, entryOf("i-1", 1), start);
    const BackendChoice none = chosen(start + backoff - milliseconds(1));
    REQUIRE(none.backend == nullptr);
    REQUIRE(none.reason == NoBackendReason::BackingOff);
    REQUIRE(none.freeAt == start + backoff);
    REQUIRE(chosen(start + backoff).backend != nullptr);
}

// Guards against a rest that is kept of a server that started anew and knows nothing of it.
TEST_CASE("A rest ends with the server that asked for it")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1", 1), start);
    noteBackoff(registry, "i-1", start + backoff, start);
    putBackend(registry, entryOf("i-1", 2), start);
    REQUIRE(chooseBackend(registry, criteriaOf(), start, 0).backend != nullptr);
}

// Guards against retries and resumptions taking a way that a first send does not have.
TEST_CASE("A server that asked for rest is not chosen where all others were tried or are full")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    putBackend(registry, entryOf("i-2"), start);
    noteBackoff(registry, "i-1", start + backoff, start);
    BackendCriteria criteria = criteriaOf();
    criteria.maxLoad = 2.0;
    registry.backends["i-2"].ownInFlight = 100;
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::AllFull);
    criteria.tried = {"i-2"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::AllTried);
}

// Guards against requests that wait for a group to open although its ranks only asked for rest.
TEST_CASE("A rank that asks for rest does not count as one of a closed group")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    BackendState &rank = registry.backends["i-1"];
    noteLoad(rank, {.at = start}, 0);
    noteAnswer(rank, {.notExecuted = true, .asksForBackoff = true}, true, start, 0);
    noteBackoff(registry, "i-1", start + backoff, start);
    BackendCriteria criteria = criteriaOf();
    criteria.inGroup = true;
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::BackingOff);
}

// Guards against a wait that can't end in time, and against callers sent back into the rest.
TEST_CASE("A request waits for the end of a rest only where that comes in time")
{
    const BackendChoice soon{.reason = NoBackendReason::BackingOff,
                             .freeAt = start + milliseconds(100)};
    const RetryAfterPolicy policy;
    REQUIRE(
        queueTimeoutAt(
            AdmissionTimeouts(), soon.reason,
            {.arrived = start, .deadline = start + seconds(3), .targetLatency = milliseconds(400)})
        > soon.freeAt);
    const BackendChoice late{.reason = NoBackendReason::BackingOff, .freeAt = start + backoff};
    REQUIRE(retryAfterFor(policy, late, milliseconds(0), start, 0) >= backoff);
    REQUIRE(retryAfterFor(policy, late, milliseconds(0), start, 0.99) > backoff);
}
