#include <algorithm>

#include <catch2/catch.hpp>

#include "Gateway/GatewayFleet.h"
#include "Gateway/GatewayUnderTest.h"
#include "platform/RequestCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr milliseconds rest{3000};
/// What may reach a server of one gateway within a rest.
constexpr std::size_t allowedWithinRest = 2;

std::string turnedAway(const SeenRequest &request)
{
    return plainResponse(503,
                         "Wisteriawind-Not-Executed: 1\r\nRetry-After: 3\r\n"
                         "Wisteriawind-Attempt-Id: "
                             + request.header("Wisteriawind-Attempt-Id") + "\r\n",
                         "");
}

/// A backend server that turns everything away and asks for rest.
class RestingServer
{
public:
    RestingServer()
        : server_([this](const SeenRequest &request, ScriptPeer &peer) {
              arrivals_.note(request, true, monotonicNow());
              peer.send(turnedAway(request));
          })
    { }

    const ScriptedServer &server() const { return server_; }
    std::size_t mostWithinRest() const { return arrivals_.mostAfterAnswer(rest); }

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
        return platform::decodeAnswerHead(head).rest;
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
    const RestingServer resting;
    ScriptedServer sound([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayFleet fleet(GENERATE(2, 13));
    fleet.addServer("i-1", resting.server());
    fleet.addServer("i-2", sound);
    fleet.start();
    const auto results = fleet.load("/again/x", 24, rest + seconds(1));
    REQUIRE(resting.mostWithinRest() <= allowedWithinRest);
    REQUIRE(countOf(results, 200) == results.size());
}

// Guards against each caller's request being sent on to servers that all asked for rest, and
// against callers who are told to come back within the rest.
TEST_CASE("Where all backend servers asked for rest, callers are told so at once")
{
    const RestingServer first;
    const RestingServer second;
    GatewayFleet fleet(2);
    fleet.addServer("i-1", first.server());
    fleet.addServer("i-2", second.server());
    fleet.start();
    fleet.load("/again/x", 24, milliseconds(500));
    const TimePoint allTold = monotonicNow();
    const auto results = fleet.load("/again/x", 24, milliseconds(1500));
    REQUIRE(first.mostWithinRest() <= allowedWithinRest);
    REQUIRE(second.mostWithinRest() <= allowedWithinRest);
    REQUIRE(countOf(results, 503) == results.size());
    const milliseconds restLeft = rest - remaining(allTold, monotonicNow()) - milliseconds(500);
    for (const CallResult &result : results)
        REQUIRE(std::stod(result.header("Retry-After")) >= secondsOf(restLeft));
}
