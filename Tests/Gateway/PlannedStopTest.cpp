#include <array>
#include <atomic>
#include <future>
#include <string>
#include <vector>

#include <poll.h>

#include <catch2/catch.hpp>

#include "Gateway/CallerSocket.h"
#include "Gateway/LoggedGateway.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Time that callers have, and that routes allow: longer than the grace period.
constexpr int callerMilliseconds = 12000;
/// A run that goes on beyond the end of the grace period.
constexpr milliseconds endlessRun{20000};

/// Routes whose time limit is longer than the grace period, with slots that are worth a wait.
nlohmann::json patientConfiguration()
{
    nlohmann::json configuration = configurationOf(1);
    for (nlohmann::json &route : configuration["routes"]) {
        route["timeout_ms"] = callerMilliseconds;
        route["target_latency_ms"] = callerMilliseconds;
    }
    configuration["limits"] = {{"max_header_bytes", 16384},
                               {"max_body_bytes", 1000000},
                               {"header_timeout_ms", callerMilliseconds},
                               {"idle_timeout_ms", callerMilliseconds}};
    return configuration;
}

/// A caller's request with a body.
std::string patientRequest(const std::string &target, const std::string &id,
                           const std::string &body = {})
{
    return "POST " + target
        + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key1\r\nWisteriawind-Attempt-Id: "
        + id + "\r\nWisteriawind-Deadline-Ms: " + std::to_string(callerMilliseconds)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void waitFor(milliseconds time)
{
    ::poll(nullptr, 0, static_cast<int>(time.count()));
}

/// A gateway process before one plain server and one of streams.
struct StopScenario
{
    StopScenario(ScriptedServer::Script plain, ScriptedServer::Script streams, int slots = 64)
        : plainServer(std::move(plain)), streamServer(std::move(streams))
    {
        store.put("keyed.op", "config", patientConfiguration());
        store.put("keyed.servers", "i-1", listEntryOf("plain", plainServer.endpoint(), slots));
        store.put("keyed.servers", "i-2", listEntryOf("model", streamServer.endpoint(), slots));
        gateway = std::make_unique<LoggedGateway>(store.endpoint());
        REQUIRE(gateway->waitUntilRouting());
    }

    /// Sends SIGTERM.
    void stop()
    {
        gateway->terminate();
        stoppedAt = monotonicNow();
    }

    /// Waits until so much time has passed since SIGTERM.
    void waitUntil(milliseconds afterStop) const
    {
        waitFor(remaining(monotonicNow(), stoppedAt + afterStop));
    }

    std::size_t arrivals(const std::string &target) const
    {
        return plainServer.count(target) + streamServer.count(target);
    }

    ScriptedServer plainServer;
    ScriptedServer streamServer;
    StoreStandIn store;
    std::unique_ptr<LoggedGateway> gateway;
    TimePoint stoppedAt;
};

/// Answers after a time, unless the caller leaves before.
ScriptedServer::Script answerAfter(milliseconds time)
{
    return [time](const SeenRequest &request, ScriptPeer &peer) {
        if (!peer.waitForEnd(time))
            peer.trySend(sealed(request, 200, "done"));
    };
}

/// Sends one event at once and the end of the stream when `end` is set.
ScriptedServer::Script streamUntil(const std::atomic<bool> &end)
{
    return [&end](const SeenRequest &request, ScriptPeer &peer) {
        peer.trySend(streamHead(request) + chunk(eventText(1)));
        eventually([&] { return end.load(); }, endlessRun);
        peer.trySend(chunk(eventText(2)) + "0\r\n\r\n");
    };
}

} // namespace

// Guards against a request that is sent after a stream on its connection, late in the grace period,
// and is passed on and cut off without an answer.
TEST_CASE("A connection whose stream ends in a planned stop takes no request that would be cut off")
{
    std::atomic<bool> endStreams = false;
    StopScenario scenario(answerAfter(endlessRun), streamUntil(endStreams));
    constexpr int callers = 8;
    std::vector<std::unique_ptr<CallerSocket>> sockets;
    for (int i = 0; i < callers; ++i) {
        sockets.push_back(std::make_unique<CallerSocket>(scenario.gateway->callers()));
        sockets.back()->send(patientRequest("/stream/x", "stream-" + std::to_string(i)));
    }
    REQUIRE(eventually([&] { return scenario.arrivals("/stream/") == callers; }));
    scenario.stop();
    scenario.waitUntil(milliseconds(3500));
    std::vector<std::future<CallResult>> lateAnswers;
    for (int i = 0; i < callers; ++i) {
        lateAnswers.push_back(std::async(std::launch::async, [&, i] {
            CallerSocket &socket = *sockets[static_cast<std::size_t>(i)];
            CHECK(socket.readAnswer().whole);
            socket.send(patientRequest("/once/late", "late-" + std::to_string(i)));
            return socket.readAnswer();
        }));
    }
    endStreams = true;
    for (auto &answer : lateAnswers) {
        const CallResult late = answer.get();
        CHECK((late.status == 0 || late.status == 503));
    }
    CHECK(scenario.arrivals("/once/late") == 0);
    CHECK(scenario.gateway->waitForExit() == 0);
}
