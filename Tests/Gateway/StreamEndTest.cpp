#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Answers with a text that has neither a length nor chunks, then ends the connection.
ScriptedServer::Script plainAnswer(const std::string &text, void (ScriptPeer::*end)())
{
    return [text, end](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(headWithoutLength(request, 200, "text/plain") + text);
        (peer.*end)();
    };
}

/// A gateway with the routes of `configurationOf` and /cut/, which streams and is not resumable.
void startStreaming(GatewayUnderTest &gateway, const ScriptedServer &server)
{
    nlohmann::json configuration = configurationOf(1);
    configuration["routes"].push_back(routeOf("/cut/", "streaming", "model", false));
    gateway.store.put("keyed.op", "config", configuration);
    gateway.addBackend("i-1", "model", server);
    gateway.addBackend("i-2", "plain", server);
    gateway.waitUntilReady();
}

/// Length of the answer that a server sends before it closes the connection: the number behind the
/// last slash of the target.
std::size_t lengthOf(const SeenRequest &request)
{
    const std::string target = request.target();
    return std::stoul(target.substr(target.rfind('/') + 1));
}

} // namespace

// Guards against a stream that ends inside an event and looks whole to its caller, as it has
// neither a length nor chunks.
TEST_CASE("A stream that ends with its connection is whole only if it ends with an event")
{
    const std::string lineEnd = GENERATE("\n", "\r\n");
    std::string events;
    std::vector<std::size_t> eventEnds;
    for (int id = 1; id <= 3; ++id) {
        events += "id: " + std::to_string(id) + lineEnd + "data: piece" + lineEnd + lineEnd;
        eventEnds.push_back(events.size());
    }
    ScriptedServer server([&events](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(headWithoutLength(request, 200, "text/event-stream")
                  + events.substr(0, lengthOf(request)));
        peer.close();
    });
    GatewayUnderTest gateway;
    startStreaming(gateway, server);
    for (std::size_t length = 0; length <= events.size(); ++length) {
        CAPTURE(lineEnd, length);
        const CallResult answer = gateway.call(
            requestFor("/cut/" + std::to_string(length), "c" + std::to_string(length)));
        const bool ends = std::find(eventEnds.begin(), eventEnds.end(), length) != eventEnds.end();
        const bool looksWhole = answer.whole && answer.status == 200;
        CHECK(looksWhole == ends);
        if (ends)
            CHECK(answer.body == events.substr(0, length));
    }
}

// Guards against the same where the route does not announce a stream.
TEST_CASE("An event stream on a plain route that ends inside an event is no complete answer")
{
    const std::string events = eventText(1) + eventText(2);
    ScriptedServer server([&events](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(headWithoutLength(request, 200, "text/event-stream")
                  + events.substr(0, lengthOf(request)));
        peer.close();
    });
    GatewayUnderTest gateway;
    startStreaming(gateway, server);
    const std::string whole = std::to_string(events.size());
    CHECK(gateway.call(requestFor("/again/" + whole, "w1")).body == events);
    const std::string cut = std::to_string(events.size() - 3);
    CHECK(gateway.call(requestFor("/again/" + cut, "c1")).status != 200);
    CHECK(gateway.call(requestFor("/once/" + cut, "c2")).status == 502);
}

// Guards against whole answers that are taken for broken ones, as they have neither a length nor
// chunks.
TEST_CASE("A plain answer that ends with its connection is delivered whole")
{
    ScriptedServer server(plainAnswer("all of it", &ScriptPeer::close));
    GatewayUnderTest gateway;
    startStreaming(gateway, server);
    for (const std::string target : {"/again/x", "/once/x"}) {
        const CallResult answer = gateway.call(requestFor(target, "p" + target.substr(1, 2)));
        CHECK(answer.status == 200);
        CHECK(answer.whole);
        CHECK(answer.body == "all of it");
    }
}

// Guards against part of an answer that looks whole, as its connection was reset on the way.
TEST_CASE("An answer that ends with a reset connection is not delivered as whole")
{
    ScriptedServer server(plainAnswer("half of", &ScriptPeer::reset));
    GatewayUnderTest gateway;
    startStreaming(gateway, server);
    CHECK(gateway.call(requestFor("/once/x", "r1")).status == 502);
}
