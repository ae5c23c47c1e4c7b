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
    Running gateway;
    gateway.startWith("i-1", "plain", backend);
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

TEST_CASE("Unknown routes and keys are told, but not before a configuration is known")
{
    Running gateway;
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

// Guards against refusals of all that comes in the second after a restart of all gateways, before
// the store has been read.
TEST_CASE("A request that comes before a configuration is known waits for it")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    Running gateway;
    gateway.store.away(true);
    gateway.configure();
    gateway.addBackend("i-1", "plain", backend);
    gateway.start();
    REQUIRE(eventually([&] { return gateway.store.readsOf("keyed.op") == 0; }));
    auto early = std::async(std::launch::async,
                            [&] { return gateway.callUntil(requestFor("/once/x", "a1"), 200); });
    // What is refused with a time to come back is refused later than a read of the store takes.
    REQUIRE(early.wait_for(milliseconds(300)) == std::future_status::timeout);
    gateway.store.away(false);
    REQUIRE(early.get().status == 200);
    REQUIRE(backend.seen().size() == 1);
}

// A courier's notice breaks off in the middle of a word. The backend server crashes within an
// event; the gateway goes on at another one after the last whole event, in the same answer.
TEST_CASE("A stream that breaks within an event goes on at another backend server")
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
    Running gateway;
    gateway.configure();
    gateway.addBackend("i-1", "model", first);
    gateway.addBackend("i-2", "model", second);
    gateway.waitUntilReady();
    const CallResult answer = gateway.callUntil(requestFor("/stream/x", "a1"), 200);
    REQUIRE(answer.whole);
    REQUIRE(answer.body == eventText(1) + eventText(2) + eventText(3) + eventText(4));
    REQUIRE(runs == 2);
}

// Somebody's order line ships twice. The backend server ran the request and its answer was lost;
// a repeat by the gateway, or a status that lets the caller repeat, would run it again.
TEST_CASE("A request that may not repeat and got no answer is told as unknown")
{
    ScriptedServer backend([](const SeenRequest &, ScriptPeer &peer) { peer.reset(); });
    Running gateway;
    gateway.configure();
    gateway.addBackend("i-1", "plain", backend);
    gateway.addBackend("i-2", "plain", backend);
    gateway.waitUntilReady();
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a1"), 502).status == 502);
    REQUIRE(backend.count("/once/") == 1);
}

TEST_CASE("An idempotent request whose answer was lost is sent once more")
{
    std::atomic<int> runs = 0;
    ScriptedServer backend([&runs](const SeenRequest &request, ScriptPeer &peer) {
        if (runs++ == 0)
            peer.reset();
        else
            peer.send(sealed(request, 200, "price: 3"));
    });
    Running gateway;
    gateway.configure();
    gateway.addBackend("i-1", "plain", backend);
    gateway.addBackend("i-2", "plain", backend);
    gateway.waitUntilReady();
    REQUIRE(gateway.callUntil(requestFor("/again/x", "a1", "GET"), 200).body == "price: 3");
    REQUIRE(runs == 2);
}

// A clerk reads another clerk's quotation. A backend server sends an answer late, on a connection
// that serves the next request by then; only the attempt's id tells whose it is.
// Guards against a server that fails each request at once, and so always has the least load,
// drawing most of a service's requests.
TEST_CASE("A backend server that answers every request with an error is avoided")
{
    ScriptedServer failing([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 500, "no"));
    });
    ScriptedServer sound([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    Running gateway;
    gateway.configure();
    gateway.addBackend("i-failing", "plain", failing);
    gateway.addBackend("i-sound", "plain", sound);
    gateway.waitUntilReady();
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i)
        gateway.call(requestFor("/once/x", "a" + std::to_string(i)));
    // Three in a row, and a few tries after each time of avoidance.
    REQUIRE(failing.seen().size() <= requests / 4);
}

TEST_CASE("An answer to another attempt never reaches the caller")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(plainResponse(
            200, std::string(seal) + "Wisteriawind-Attempt-Id: someone-else\r\n", "not yours"));
        peer.send(sealed(request, 200, "yours"));
    });
    Running gateway;
    gateway.startWith("i-1", "plain", backend);
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a1"), 200).body == "yours");
}

TEST_CASE("A success without the backend server's seal is not passed on as one")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(plainResponse(
            200, "Wisteriawind-Attempt-Id: " + request.header("Wisteriawind-Attempt-Id") + "\r\n",
            "spoilt"));
    });
    Running gateway;
    gateway.startWith("i-1", "plain", backend);
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a1"), 502).status == 502);
}

// Half of the requests after a loss of power are refused. A backend server came back under another
// id at its old address, and the entry of the old one stands until it lapses.
TEST_CASE("A backend server that has another one's address costs one send at most")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        if (request.header("Wisteriawind-Expect-Instance") == "i-old")
            peer.send(sealed(request, 421, ""));
        else
            peer.send(sealed(request, 200, "here"));
    });
    Running gateway;
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

// Guards against every gateway finding out by sends of its own, until the next read of the list,
// which engines are gone after a restart.
TEST_CASE("A refusal by another server at the address has the list read at once")
{
    ScriptedServer backend(
        [](const SeenRequest &request, ScriptPeer &peer) { peer.send(sealed(request, 421, "")); });
    Running gateway;
    gateway.startWith("i-old", "plain", backend);
    const std::size_t before = gateway.store.readsOf("keyed.servers");
    REQUIRE(eventually([&] { return gateway.store.readsOf("keyed.servers") > before; }));
    const std::size_t regular = gateway.store.readsOf("keyed.servers");
    REQUIRE(gateway.call(requestFor("/again/x", "a1", "GET")).status == 503);
    REQUIRE(eventually([&] { return gateway.store.readsOf("keyed.servers") > regular; },
                       milliseconds(400)));
}

TEST_CASE("What a backend server surely did not run is told so, with a time to come back")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(plainResponse(503,
                                "Wisteriawind-Not-Executed: 1\r\nWisteriawind-Attempt-Id: "
                                    + request.header("Wisteriawind-Attempt-Id") + "\r\n",
                                ""));
    });
    Running gateway;
    gateway.startWith("i-1", "plain", backend);
    const CallResult answer = gateway.callUntil(requestFor("/once/x", "a1"), 503);
    REQUIRE(answer.status == 503);
    REQUIRE_FALSE(answer.header("Retry-After").empty());
}

// Someone has left the shop, and a model still writes the answer. The caller closes its connection
// in the middle of a stream; the gateway closes the one to the backend server at once.
// A clerk gives up on a quotation while the VM of its model engine stands still. The VM goes on a
// second later, finds the request with an orderly close behind it, and runs it for nobody.
TEST_CASE("A request whose caller left is made void by a reset")
{
    std::atomic<bool> wasReset = false;
    std::atomic<bool> over = false;
    ScriptedServer backend([&](const SeenRequest &, ScriptPeer &peer) {
        wasReset = peer.waitForReset();
        over = true;
        peer.close();
    });
    Running gateway;
    gateway.startWith("i-1", "model", backend);
    REQUIRE(eventually([&] {
        const OpenCall caller(gateway.callers(), requestFor("/stream/x", "a1"));
        return eventually([&] { return backend.count("/stream/") > 0; });
    }));
    REQUIRE(eventually([&over] { return over.load(); }));
    REQUIRE(wasReset);
}

TEST_CASE("A caller that leaves ends the work at the backend server")
{
    std::atomic<bool> ended = false;
    ScriptedServer backend([&ended](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(streamHead(request) + chunk(eventText(1)));
        ended = peer.waitForEnd();
        peer.close();
    });
    Running gateway;
    gateway.startWith("i-1", "model", backend);
    REQUIRE(eventually([&] {
        OpenCall caller(gateway.callers(), requestFor("/stream/x", "a1"));
        return caller.waitForBytes() && backend.count("/stream/") > 0;
    }));
    REQUIRE(eventually([&ended] { return ended.load(); }));
}

// A notice breaks off in the middle. During a rolling restart the platform goes on sending callers
// to a stopping gateway; it took requests until its end and cut them then.
TEST_CASE("A stopping gateway takes no new callers in its last seconds, and ends what it has")
{
    std::atomic<bool> finish = false;
    ScriptedServer backend([&finish](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(streamHead(request) + chunk(eventText(1)));
        eventually([&finish] { return finish.load(); });
        peer.send(chunk(eventText(2)) + "0\r\n\r\n");
    });
    Running gateway(milliseconds(8000));
    gateway.startWith("i-1", "model", backend);
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

// Callers get 404 for a route that operators added seconds ago. All open connections to the store
// fell silent without a reset; after the read's timeout the next one went out on another kept one.
TEST_CASE("A version is in force in time although kept connections to the store are silent")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    Running gateway;
    gateway.startWith("i-1", "plain", backend);
    gateway.callUntil(requestFor("/once/x", "a1"), 200);
    gateway.store.silenceKeptConnections();
    nlohmann::json next = configurationOf(2);
    next["routes"].push_back(routeOf("/new/", "idempotent", "plain", false));
    gateway.store.put("keyed.op", "config", next);
    const TimePoint begin = monotonicNow();
    REQUIRE(gateway.callUntil(requestFor("/new/x", "a2", "GET"), 200).status == 200);
    REQUIRE(monotonicNow() - begin < seconds(3));
}

// All requests in flight are cut at once. Operators send SIGHUP after they changed the settings
// file, and a process that does not handle the signal ends.
TEST_CASE("SIGHUP does not end a gateway")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    Running gateway;
    gateway.startWith("i-1", "plain", backend);
    ::kill(::getpid(), SIGHUP);
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a1"), 200).body == "here");
}

// Every request in flight is cut at each planned stop. The thread that writes log lines started
// before the signals were blocked, so the kernel gave SIGTERM to it, and its default ends the
// process.
TEST_CASE("The programs bear SIGHUP and end in order at SIGTERM")
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
