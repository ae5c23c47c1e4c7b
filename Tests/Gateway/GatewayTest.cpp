#include <algorithm>
#include <csignal>

#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

TEST_CASE("A request reaches its service with the organisation in place of the key")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "stock: 7"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", backend);
    const CallResult answer = gateway.callUntil(requestFor("/once/x", "a1"), 200);
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == "stock: 7");
    REQUIRE(answer.header("Wisteriawind-Response-Seal") == "s");
    const SeenRequest seen = backend.seen().front();
    REQUIRE(seen.header("Wisteriawind-Tenant") == "acme");
    REQUIRE(seen.header("Wisteriawind-Expect-Instance") == "i-1");
    REQUIRE(seen.header("Authorization").empty());
    REQUIRE(std::stol(seen.header("Wisteriawind-Deadline-Ms")) <= 3000);
}

TEST_CASE("Unknown routes get 404 and unknown keys 401, but 503 before a configuration is known")
{
    GatewayUnderTest gateway;
    gateway.start();
    REQUIRE_FALSE(gateway.ready());
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a0"), 503).status == 503);
    gateway.configure();
    gateway.waitUntilReady();
    REQUIRE(gateway.call(requestFor("/none/x", "a1")).status == 404);
    std::string wrongKey = requestFor("/once/x", "a2");
    wrongKey.replace(wrongKey.find("key1"), 4, "key9");
    REQUIRE(gateway.call(wrongKey).status == 401);
}

// Guards against refusing all requests that arrive in the second after a restart of all gateways,
// before the store has been read.
TEST_CASE("A request that arrives before a configuration is known waits for it")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayUnderTest gateway;
    gateway.store.setUnavailable(true);
    gateway.configure();
    gateway.addBackend("i-1", "plain", backend);
    gateway.start();
    REQUIRE(eventually([&] { return gateway.store.readsOf("keyed.op") == 0; }));
    auto early = std::async(std::launch::async,
                            [&] { return gateway.callUntil(requestFor("/once/x", "a1"), 200); });
    // The request must still wait: a refusal comes later than a read of the store takes.
    REQUIRE(early.wait_for(milliseconds(300)) == std::future_status::timeout);
    gateway.store.setUnavailable(false);
    REQUIRE(early.get().status == 200);
    REQUIRE(backend.seen().size() == 1);
}

// Guards against a stream that is cut in the middle of a word because its backend server crashes
// within an event. The gateway resumes it at another server after the last complete event, in the
// same answer.
TEST_CASE("A stream that is cut within an event is resumed at another backend server")
{
    std::atomic<int> runs = 0;
    const auto script = [&runs](const SeenRequest &request, ScriptPeer &peer) {
        const std::string last = request.header("Last-Event-Id");
        peer.send(streamHead(request));
        if (runs++ == 0) {
            peer.send(chunk(eventText(1)) + chunk(eventText(2)) + chunk("id: 3\ndata: pie"));
            peer.reset();
            return;
        }
        for (int id = std::stoi(last) + 1; id <= 4; ++id)
            peer.send(chunk(eventText(id)));
        peer.send("0\r\n\r\n");
    };
    ScriptedServer first(script);
    ScriptedServer second(script);
    GatewayUnderTest gateway;
    gateway.configure();
    gateway.addBackend("i-1", "model", first);
    gateway.addBackend("i-2", "model", second);
    gateway.waitUntilReady();
    const CallResult answer = gateway.callUntil(requestFor("/stream/x", "a1"), 200);
    REQUIRE(answer.whole);
    REQUIRE(answer.body == eventText(1) + eventText(2) + eventText(3) + eventText(4));
    REQUIRE(runs == 2);
}

// Guards against running a non-idempotent request twice. If the backend server ran it and its
// answer was lost, a retry by the gateway, or a status that lets the caller retry, would run it
// again.
TEST_CASE("A non-idempotent request whose answer was lost gets 502 and is not retried")
{
    ScriptedServer backend([](const SeenRequest &, ScriptPeer &peer) { peer.reset(); });
    GatewayUnderTest gateway;
    gateway.configure();
    gateway.addBackend("i-1", "plain", backend);
    gateway.addBackend("i-2", "plain", backend);
    gateway.waitUntilReady();
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a1"), 502).status == 502);
    REQUIRE(backend.count("/once/") == 1);
}

TEST_CASE("An idempotent request whose answer was lost is retried")
{
    std::atomic<int> runs = 0;
    ScriptedServer backend([&runs](const SeenRequest &request, ScriptPeer &peer) {
        if (runs++ == 0)
            peer.reset();
        else
            peer.send(sealed(request, 200, "price: 3"));
    });
    GatewayUnderTest gateway;
    gateway.configure();
    gateway.addBackend("i-1", "plain", backend);
    gateway.addBackend("i-2", "plain", backend);
    gateway.waitUntilReady();
    REQUIRE(gateway.callUntil(requestFor("/again/x", "a1", "GET"), 200).body == "price: 3");
    REQUIRE(runs == 2);
}

// Guards against a server that fails each request at once, and therefore always has the least load,
// attracting most of a service's requests.
TEST_CASE("A backend server that answers every request with an error is avoided")
{
    ScriptedServer failing([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 500, "no"));
    });
    ScriptedServer healthy([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayUnderTest gateway;
    gateway.configure();
    gateway.addBackend("i-failing", "plain", failing);
    gateway.addBackend("i-sound", "plain", healthy);
    gateway.waitUntilReady();
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i)
        gateway.call(requestFor("/once/x", "a" + std::to_string(i)));
    // Three failures in a row, and a few sends after each time in which the server was avoided.
    REQUIRE(failing.seen().size() <= requests / 4);
}

// Guards against a caller reading another caller's answer. A backend server may send an answer
// late, on a connection that already serves the next request; only the attempt id shows whose it
// is.
TEST_CASE("An answer to another attempt never reaches the caller")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(plainResponse(
            200, std::string(seal) + "Wisteriawind-Attempt-Id: someone-else\r\n", "not yours"));
        peer.send(sealed(request, 200, "yours"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", backend);
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a1"), 200).body == "yours");
}

TEST_CASE("A success without the backend server's seal is not forwarded as a success")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(plainResponse(
            200, "Wisteriawind-Attempt-Id: " + request.header("Wisteriawind-Attempt-Id") + "\r\n",
            "spoilt"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", backend);
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a1"), 502).status == 502);
}

// Guards against refusing half of the requests after a power failure. A backend server comes back
// under another id at its old address, and the entry of the old id stays until it expires.
TEST_CASE("An outdated entry for the address of another backend server costs at most one send")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        if (request.header("Wisteriawind-Expect-Instance") == "i-old")
            peer.send(sealed(request, 421, ""));
        else
            peer.send(sealed(request, 200, "here"));
    });
    GatewayUnderTest gateway;
    gateway.configure();
    gateway.addBackend("i-old", "plain", backend);
    gateway.addBackend("i-new", "plain", backend);
    gateway.waitUntilReady();
    for (int i = 0; i < 20; ++i)
        gateway.callUntil(requestFor("/again/x", "a" + std::to_string(i), "GET"), 200);
    const auto seen = backend.seen();
    const auto toOld = std::count_if(seen.begin(), seen.end(), [](const SeenRequest &request) {
        return request.header("Wisteriawind-Expect-Instance") == "i-old";
    });
    REQUIRE(toOld <= 1);
}

// Guards against failed sends of every gateway to engines that a restart has replaced, until the
// next regular read of the list.
TEST_CASE("A 421 from a backend server makes the gateway read the list at once")
{
    ScriptedServer backend(
        [](const SeenRequest &request, ScriptPeer &peer) { peer.send(sealed(request, 421, "")); });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-old", "plain", backend);
    // Waits for a regular read, so that the next one is not due within the 400 ms below.
    const std::size_t before = gateway.store.readsOf("keyed.servers");
    REQUIRE(eventually([&] { return gateway.store.readsOf("keyed.servers") > before; }));
    const std::size_t regular = gateway.store.readsOf("keyed.servers");
    REQUIRE(gateway.call(requestFor("/again/x", "a1", "GET")).status == 503);
    REQUIRE(eventually([&] { return gateway.store.readsOf("keyed.servers") > regular; },
                       milliseconds(400)));
}

TEST_CASE("A request that the backend server did not execute gets 503 with Retry-After")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(plainResponse(503,
                                "Wisteriawind-Not-Executed: 1\r\nWisteriawind-Attempt-Id: "
                                    + request.header("Wisteriawind-Attempt-Id") + "\r\n",
                                ""));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", backend);
    const CallResult answer = gateway.callUntil(requestFor("/once/x", "a1"), 503);
    REQUIRE(answer.status == 503);
    REQUIRE_FALSE(answer.header("Retry-After").empty());
}

// Guards against running an abandoned request. The VM of a model engine stalls, and its caller
// disconnects. When the VM resumes, an orderly close behind the request does not stop the engine
// from running it; a reset discards the request.
TEST_CASE("The connection to the backend server is reset when the caller disconnects")
{
    std::atomic<bool> wasReset = false;
    std::atomic<bool> over = false;
    ScriptedServer backend([&](const SeenRequest &, ScriptPeer &peer) {
        wasReset = peer.waitForReset();
        over = true;
        peer.close();
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "model", backend);
    REQUIRE(eventually([&] {
        const OpenCall caller(gateway.callers(), requestFor("/stream/x", "a1"));
        return eventually([&] { return backend.count("/stream/") > 0; });
    }));
    REQUIRE(eventually([&over] { return over.load(); }));
    REQUIRE(wasReset);
}

// Guards against a model that generates an answer after its caller has disconnected in the middle
// of the stream. The gateway must close the connection to the backend server at once.
TEST_CASE("A caller that disconnects during a stream ends the work at the backend server")
{
    std::atomic<bool> ended = false;
    ScriptedServer backend([&ended](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(streamHead(request) + chunk(eventText(1)));
        ended = peer.waitForEnd();
        peer.close();
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "model", backend);
    REQUIRE(eventually([&] {
        OpenCall caller(gateway.callers(), requestFor("/stream/x", "a1"));
        return caller.waitForBytes() && backend.count("/stream/") > 0;
    }));
    REQUIRE(eventually([&ended] { return ended.load(); }));
}

// Guards against cut streams during a rolling restart. The platform may keep sending callers to a
// stopping gateway, and requests that it accepts until its end are cut off then.
TEST_CASE("A stopping gateway accepts no callers in its last seconds and completes open requests")
{
    std::atomic<bool> finish = false;
    ScriptedServer backend([&finish](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(streamHead(request) + chunk(eventText(1)));
        eventually([&finish] { return finish.load(); });
        peer.send(chunk(eventText(2)) + "0\r\n\r\n");
    });
    GatewayUnderTest gateway(milliseconds(8000));
    gateway.startWithBackend("i-1", "model", backend);
    auto answer = std::async(std::launch::async, [&gateway] {
        return gateway.callUntil(requestFor("/stream/x", "a1"), 200);
    });
    REQUIRE(eventually([&] { return backend.count("/stream/") > 0; }));
    ::kill(::getpid(), SIGTERM);
    REQUIRE(eventually([&] { return !gateway.ready(); }));
    REQUIRE(eventually([&] { return gateway.call("GET / HTTP/1.1\r\n\r\n").status == 0; }));
    finish = true;
    REQUIRE(answer.get().body == eventText(1) + eventText(2));
}

// Guards against 404 for a route that operators added seconds ago. All open connections to the
// store fail silently, without a reset; after the timeout of a read, the next one must not use
// another kept connection.
TEST_CASE("A new configuration is in force within 3 s although kept store connections are silent")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", backend);
    gateway.callUntil(requestFor("/once/x", "a1"), 200);
    gateway.store.silenceKeptConnections();
    nlohmann::json next = configurationOf(2);
    next["routes"].push_back(routeOf("/new/", "idempotent", "plain", false));
    gateway.store.put("keyed.op", "config", next);
    const TimePoint begin = monotonicNow();
    REQUIRE(gateway.callUntil(requestFor("/new/x", "a2", "GET"), 200).status == 200);
    REQUIRE(monotonicNow() - begin < seconds(3));
}

// Guards against cutting all requests in flight. Operators send SIGHUP after they have changed the
// settings file, and it ends a process that does not handle it.
TEST_CASE("SIGHUP does not end a gateway")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", backend);
    ::kill(::getpid(), SIGHUP);
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a1"), 200).body == "here");
}

// Guards against cutting every request in flight at each planned stop. If the thread that writes
// log lines starts before the signals are blocked, the kernel delivers SIGTERM to it, and the
// default action ends the process.
TEST_CASE("The programs survive SIGHUP and exit with code 0 on SIGTERM")
{
    for (const char *program : {"wisteria-gateway", "wisteria-sidecar"}) {
        const ScriptedServer engine(
            [](const SeenRequest &, ScriptPeer &peer) { peer.send(plainResponse(200, "", "{}")); });
        const Endpoint callers{INADDR_LOOPBACK, freePort()};
        const std::string path = writeSettings(
            "vm", {.store = engine.endpoint(), .callers = callers, .engine = engine.endpoint()});
        const pid_t child = startProgram(program, path);
        REQUIRE(eventually([&] { return !engine.seen().empty(); }));
        ::kill(child, SIGHUP);
        const std::size_t before = engine.seen().size();
        REQUIRE(eventually([&] { return engine.seen().size() > before + 1; }));
        ::kill(child, SIGTERM);
        int status = 0;
        REQUIRE(::waitpid(child, &status, 0) == child);
        CAPTURE(program);
        REQUIRE(WIFEXITED(status));
        REQUIRE(WEXITSTATUS(status) == 0);
    }
}
