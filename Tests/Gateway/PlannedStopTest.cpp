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
    for (auto &answer : lateAnswers)
        CHECK(answer.get().status == 503);
    CHECK(scenario.arrivals("/once/late") == 0);
    CHECK(scenario.gateway->waitForExit() == 0);
}

// Guards against a request that waits for a slot, is sent when the grace period is nearly over, and
// is cut off.
TEST_CASE("A request that waits in a planned stop is answered, and not sent too late to complete")
{
    constexpr milliseconds run{4000};
    constexpr int callers = 30;
    constexpr int slots = 2;
    StopScenario scenario(answerAfter(run), answerAfter(run), slots);
    scenario.stop();
    scenario.waitUntil(milliseconds(500));
    std::vector<std::future<CallResult>> answers;
    for (int i = 0; i < callers; ++i) {
        answers.push_back(std::async(std::launch::async, [&, i] {
            CallerSocket socket(scenario.gateway->callers());
            socket.send(patientRequest("/once/" + std::to_string(i) + "/", std::to_string(i)));
            return socket.readAnswer();
        }));
    }
    for (int i = 0; i < callers; ++i) {
        const CallResult answer = answers[static_cast<std::size_t>(i)].get();
        CHECK((answer.status == 200 || answer.status == 502 || answer.status == 503));
        if (answer.status == 503)
            CHECK(scenario.arrivals("/once/" + std::to_string(i) + "/") == 0);
    }
    CHECK(scenario.gateway->waitForExit() == 0);
}

// Guards against refusing requests that a stopping gateway could well complete.
TEST_CASE("A stopping gateway serves requests whose usual runs fit in its grace period")
{
    StopScenario scenario(answerAfter(milliseconds(50)), answerAfter(milliseconds(50)));
    CallerSocket socket(scenario.gateway->callers());
    constexpr int requestsBefore = 20;
    for (int i = 0; i < requestsBefore; ++i) {
        socket.send(patientRequest("/once/x", "before-" + std::to_string(i)));
        REQUIRE(socket.readAnswer().status == 200);
    }
    scenario.stop();
    for (const int moment : {200, 900, 1600, 2300}) {
        scenario.waitUntil(milliseconds(moment));
        CallerSocket caller(scenario.gateway->callers());
        caller.send(patientRequest("/once/x", "during-" + std::to_string(moment)));
        CHECK(caller.readAnswer().status == 200);
    }
    CHECK(scenario.gateway->waitForExit() == 0);
}

// Guards against callers whose requests a stopping gateway has read and never answers.
TEST_CASE("A stopping gateway answers each request that it has read")
{
    const auto run = [](const SeenRequest &request, ScriptPeer &peer) {
        const bool isLong = request.target().find("/long/") != std::string::npos;
        answerAfter(milliseconds(isLong ? 6000 : 2000))(request, peer);
    };
    StopScenario scenario(run, answerAfter(milliseconds(0)));
    scenario.stop();
    constexpr milliseconds lastMoment{7400};
    constexpr milliseconds step{400};
    std::vector<std::future<std::string>> unanswered;
    for (milliseconds moment{200}; moment <= lastMoment; moment += step) {
        for (const std::string target :
             {"/once/short/", "/once/long/", "/again/short/", "/again/long/"}) {
            unanswered.push_back(std::async(std::launch::async, [&, moment, target] {
                scenario.waitUntil(moment);
                CallerSocket socket(scenario.gateway->callers());
                const std::string id = target + std::to_string(moment.count());
                if (!socket.connected() || !socket.send(patientRequest(target, id)))
                    return std::string();
                const CallResult answer = socket.readAnswer();
                return answer.whole ? std::string() : id;
            }));
        }
    }
    std::vector<std::string> ids;
    for (auto &id : unanswered) {
        if (const std::string missing = id.get(); !missing.empty())
            ids.push_back(missing);
    }
    CAPTURE(ids);
    CHECK(ids.empty());
    CHECK(scenario.gateway->waitForExit() == 0);
}

// Guards against a request that was read behind another one on its connection and is dropped with
// the answer to that one, which closes the connection.
TEST_CASE("A request behind another one on its connection is answered in a planned stop")
{
    StopScenario scenario(answerAfter(milliseconds(1000)), answerAfter(milliseconds(0)));
    CallerSocket socket(scenario.gateway->callers());
    socket.send(patientRequest("/once/first", "first") + patientRequest("/once/second", "second"));
    REQUIRE(eventually([&] { return scenario.arrivals("/once/first") == 1; }));
    scenario.stop();
    CHECK(socket.readAnswer().status == 200);
    const CallResult second = socket.readAnswer();
    CHECK((second.status == 200 || second.status == 503));
    CHECK(second.header("Wisteriawind-Attempt-Id") == "second");
    CHECK(scenario.gateway->waitForExit() == 0);
}

// Guards against a caller that is cut off in the middle of its upload and can't know whether its
// request ran.
TEST_CASE("A request whose body arrives slowly in a planned stop is answered")
{
    StopScenario scenario(answerAfter(milliseconds(100)), answerAfter(milliseconds(0)));
    const std::string body(4000, 'b');
    const std::string completed = patientRequest("/once/completed", "completed", body);
    const std::string never = patientRequest("/once/never", "never", body);
    CallerSocket completing(scenario.gateway->callers());
    CallerSocket stalled(scenario.gateway->callers());
    const std::size_t half = completed.size() - body.size() / 2;
    completing.send(completed.substr(0, half));
    stalled.send(never.substr(0, half));
    scenario.stop();
    scenario.waitUntil(milliseconds(3200));
    CHECK(completing.send(completed.substr(half)));
    const CallResult answer = completing.readAnswer();
    CHECK((answer.status == 200 || answer.status == 503));
    const CallResult toStalled = stalled.readAnswer();
    CHECK(toStalled.status == 503);
    CHECK(scenario.arrivals("/once/never") == 0);
    CHECK(scenario.gateway->waitForExit() == 0);
}

// Guards against closing a connection as idle whose request has arrived but was not read, because
// the gateway got no processor time.
TEST_CASE("A request that waits to be read when idle connections close is answered")
{
    StopScenario scenario(answerAfter(milliseconds(0)), answerAfter(milliseconds(0)));
    constexpr int callers = 20;
    std::vector<std::unique_ptr<CallerSocket>> sockets;
    for (int i = 0; i < callers; ++i) {
        sockets.push_back(std::make_unique<CallerSocket>(scenario.gateway->callers()));
        sockets.back()->send(patientRequest("/once/first", "first-" + std::to_string(i)));
        REQUIRE(sockets.back()->readAnswer().status == 200);
    }
    scenario.stop();
    scenario.waitUntil(milliseconds(2300));
    ::kill(scenario.gateway->process(), SIGSTOP);
    for (int i = 0; i < callers; ++i)
        sockets[static_cast<std::size_t>(i)]->send(
            patientRequest("/once/late", "late-" + std::to_string(i)));
    scenario.waitUntil(milliseconds(3000));
    ::kill(scenario.gateway->process(), SIGCONT);
    for (const auto &socket : sockets) {
        const int status = socket->readAnswer().status;
        CHECK((status == 200 || status == 503));
    }
    CHECK(scenario.gateway->waitForExit() == 0);
}

// Guards against refusing all requests that wait when a stopping gateway ceases to accept
// connections, although their usual runs fit several times in the rest of the grace period.
TEST_CASE("A stopping gateway serves waiting requests whose usual runs fit in its grace period")
{
    constexpr int slots = 2;
    StopScenario scenario(answerAfter(milliseconds(400)), answerAfter(milliseconds(0)), slots);
    CallerSocket before(scenario.gateway->callers());
    constexpr int requestsBefore = 10;
    for (int i = 0; i < requestsBefore; ++i) {
        before.send(patientRequest("/once/x", "before-" + std::to_string(i)));
        REQUIRE(before.readAnswer().status == 200);
    }
    scenario.stop();
    scenario.waitUntil(milliseconds(2000));
    constexpr int callers = 12;
    std::vector<std::future<CallResult>> answers;
    for (int i = 0; i < callers; ++i) {
        answers.push_back(std::async(std::launch::async, [&, i] {
            CallerSocket socket(scenario.gateway->callers());
            socket.send(patientRequest("/once/x", "waiting-" + std::to_string(i)));
            return socket.readAnswer();
        }));
    }
    int served = 0;
    for (auto &answer : answers)
        served += answer.get().status == 200 ? 1 : 0;
    CHECK(served == callers);
    CHECK(scenario.gateway->waitForExit() == 0);
}

// Guards against refusing all requests to a service from SIGTERM on because the gateway has seen
// few runs of it.
TEST_CASE("A stopping gateway serves short requests to a service of which it knows few runs")
{
    StopScenario scenario(answerAfter(milliseconds(50)), answerAfter(milliseconds(50)));
    CallerSocket socket(scenario.gateway->callers());
    constexpr int requestsBefore = 5;
    for (int i = 0; i < requestsBefore; ++i) {
        socket.send(patientRequest("/once/x", "before-" + std::to_string(i)));
        REQUIRE(socket.readAnswer().status == 200);
    }
    scenario.stop();
    scenario.waitUntil(milliseconds(200));
    CallerSocket caller(scenario.gateway->callers());
    caller.send(patientRequest("/once/x", "during"));
    CHECK(caller.readAnswer().status == 200);
    CHECK(scenario.gateway->waitForExit() == 0);
}

// Guards against answers that have come and are replaced by 502, because a gateway that was
// suspended looks at its clock before its connections when it wakes.
TEST_CASE("A gateway that wakes late in its grace period passes on the answers that have come")
{
    StopScenario scenario(answerAfter(milliseconds(1500)), answerAfter(milliseconds(0)));
    constexpr int callers = 4;
    std::vector<std::unique_ptr<CallerSocket>> sockets;
    for (int i = 0; i < callers; ++i) {
        sockets.push_back(std::make_unique<CallerSocket>(scenario.gateway->callers()));
        sockets.back()->send(patientRequest("/once/x", std::to_string(i)));
    }
    REQUIRE(eventually([&] { return scenario.arrivals("/once/x") == callers; }));
    scenario.stop();
    scenario.waitUntil(milliseconds(500));
    ::kill(scenario.gateway->process(), SIGSTOP);
    scenario.waitUntil(milliseconds(7550));
    ::kill(scenario.gateway->process(), SIGCONT);
    for (const auto &socket : sockets)
        CHECK(socket->readAnswer().status == 200);
    CHECK(scenario.gateway->waitForExit() == 0);
}
