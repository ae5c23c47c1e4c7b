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
/// Requests of one gateway that may still reach a server within its backoff.
constexpr std::size_t allowedWithinBackoff = 2;

constexpr TimePoint start{seconds(100)};

std::string refusalWithBackoff(const SeenRequest &request)
{
    return plainResponse(503,
                         "Wisteriawind-Not-Executed: 1\r\nRetry-After: 3\r\n"
                         "Wisteriawind-Attempt-Id: "
                             + request.header("Wisteriawind-Attempt-Id") + "\r\n",
                         "");
}

/// A backend server that refuses every request and asks for backoff.
class BackingOffServer
{
public:
    BackingOffServer()
        : server_([this](const SeenRequest &request, ScriptPeer &peer) {
              arrivals_.note(request, true, monotonicNow());
              peer.send(refusalWithBackoff(request));
          })
    { }

    const ScriptedServer &server() const { return server_; }
    std::size_t maxWithinBackoff() const { return arrivals_.maxAfterAnswer(backoff); }

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

TEST_CASE("Retry-After is read from a refusal only, and malformed values are ignored")
{
    const auto parsedRetryAfter = [](int status, const std::string &value) {
        HttpResponseHead head;
        head.status = status;
        head.fields = {{"Retry-After", value}};
        return platform::decodeAnswerHead(head).retryAfter;
    };
    REQUIRE(parsedRetryAfter(503, "3") == seconds(3));
    REQUIRE(parsedRetryAfter(503, "0.25") == milliseconds(250));
    REQUIRE(parsedRetryAfter(503, "1e9") == seconds(3600));
    for (const char *wrong : {"", "-1", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"})
        REQUIRE(parsedRetryAfter(503, wrong) == milliseconds(0));
    REQUIRE(parsedRetryAfter(200, "3") == milliseconds(0));
}

// Guards against sending to a server that asked for backoff because it has the lowest load.
TEST_CASE("A backend server that asked for backoff gets no request while another is healthy")
{
    const BackingOffServer backingOff;
    ScriptedServer healthyServer([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayFleet fleet(GENERATE(2, 13));
    fleet.addServer("i-1", backingOff.server());
    fleet.addServer("i-2", healthyServer);
    fleet.start();
    const auto results = fleet.sendAtRate("/again/x", 24, backoff);
    REQUIRE(backingOff.maxWithinBackoff() <= allowedWithinBackoff);
    // The request by which a gateway learns of the backoff may find no retry token.
    REQUIRE(countOf(results, 200) >= results.size() - fleet.size());
}

// Guards against requests being sent to servers that all asked for backoff, and against a
// Retry-After that ends within the backoff.
TEST_CASE("Callers are refused at once when all backend servers asked for backoff")
{
    const BackingOffServer first;
    const BackingOffServer second;
    GatewayFleet fleet(2);
    fleet.addServer("i-1", first.server());
    fleet.addServer("i-2", second.server());
    fleet.start();
    const TimePoint begunAt = monotonicNow();
    fleet.sendAtRate("/again/x", 24, milliseconds(500));
    const auto results = fleet.sendAtRate("/again/x", 24, milliseconds(1500));
    REQUIRE(first.maxWithinBackoff() <= allowedWithinBackoff);
    REQUIRE(second.maxWithinBackoff() <= allowedWithinBackoff);
    REQUIRE(countOf(results, 503) == results.size());
    // No gateway learned of the backoff before the first request was sent.
    const milliseconds backoffLeft = backoff - remaining(begunAt, monotonicNow());
    for (const CallResult &result : results)
        REQUIRE(std::stod(result.header("Retry-After")) >= secondsOf(backoffLeft));
}

// Guards against a backoff that ends early: when the entry is rewritten or expires while the store
// is unavailable, after a load report, or after an answer to an earlier request.
TEST_CASE("A backoff outlasts changes of the server's entry, load reports and earlier answers")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1", 1), start);
    noteBackoff(registry, "i-1", start + backoff, start);
    const auto chosen = [&registry](TimePoint now) {
        return chooseBackend(registry, criteriaOf(), now, 0);
    };
    putBackend(registry, entryOf("i-1", 1), start);
    noteLoad(registry.backends["i-1"], {.receivedAt = start}, 0);
    noteSuccess(registry.backends["i-1"]);
    noteBackoff(registry, "i-1", start + seconds(1), start);
    removeBackend(registry, "i-1");
    putBackend(registry, entryOf("i-1", 1), start);
    const BackendChoice none = chosen(start + backoff - milliseconds(1));
    REQUIRE(none.backend == nullptr);
    REQUIRE(none.reason == NoBackendReason::BackingOff);
    REQUIRE(none.retryAt == start + backoff);
    REQUIRE(chosen(start + backoff).backend != nullptr);
}

// Guards against a backoff that is applied to a restarted server, which knows nothing of it.
TEST_CASE("A restart of the server ends its backoff")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1", 1), start);
    noteBackoff(registry, "i-1", start + backoff, start);
    putBackend(registry, entryOf("i-1", 2), start);
    REQUIRE(chooseBackend(registry, criteriaOf(), start, 0).backend != nullptr);
}

// Guards against retried and resumed requests that bypass the backoff, which first sends respect.
TEST_CASE("A server that asked for backoff is not chosen when all others were tried or are full")
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

// Guards against requests that wait for a group to open although its ranks only asked for backoff.
TEST_CASE("A rank that asks for backoff does not make its group count as closed")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    BackendState &rank = registry.backends["i-1"];
    noteLoad(rank, {.receivedAt = start}, 0);
    noteAnswer(rank, {.notExecuted = true, .asksForBackoff = true}, true, start, 0);
    noteBackoff(registry, "i-1", start + backoff, start);
    BackendCriteria criteria = criteriaOf();
    criteria.inGroup = true;
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::BackingOff);
}

// Guards against waits that cannot succeed in time, and against a Retry-After within the backoff.
TEST_CASE("A request can wait for a short backoff, and a long one lengthens Retry-After")
{
    const BackendChoice shortBackoff{.reason = NoBackendReason::BackingOff,
                                     .retryAt = start + milliseconds(100)};
    const RetryAfterPolicy policy;
    REQUIRE(
        queueTimeoutAt(
            AdmissionTimeouts(), shortBackoff.reason,
            {.arrived = start, .deadline = start + seconds(3), .targetLatency = milliseconds(400)})
        > shortBackoff.retryAt);
    const BackendChoice longBackoff{.reason = NoBackendReason::BackingOff,
                                    .retryAt = start + backoff};
    REQUIRE(retryAfterFor(policy, longBackoff, milliseconds(0), start, 0) >= backoff);
    REQUIRE(retryAfterFor(policy, longBackoff, milliseconds(0), start, 0.99) > backoff);
}
