#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Connection/HttpReader.h"
#include "Connection/TimedCalls.h"
#include "Gateway/BrokenAnswers.h"
#include "Gateway/CallerSocket.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/TroubledStore.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// All bytes that a caller gets for a request.
std::string rawAnswer(const GatewayUnderTest &gateway, std::string request)
{
    request.insert(request.find("\r\n") + 2, "Connection: close\r\n");
    const CallerSocket caller(gateway.callers());
    caller.send(request);
    return caller.readToEnd();
}

/// A gateway before one server of both services, which sends the answer that is set.
class RawServer
{
public:
    RawServer()
        : server_([this](const SeenRequest &request, ScriptPeer &peer) {
              sendBytes(*answer_.load(), request, peer);
          })
    {
        gateway.addBackend("i-2", "model", server_);
        gateway.startWithBackend("i-1", "plain", server_);
    }

    void setAnswer(const RawAnswer &answer) { answer_ = &answer; }
    std::size_t runs(const std::string &target) const { return server_.count(target); }
    bool connectionWasReused() const
    {
        const std::vector<SeenRequest> seen = server_.seen();
        return std::any_of(seen.begin(), seen.end(),
                           [](const SeenRequest &request) { return request.requestsBefore > 0; });
    }

    GatewayUnderTest gateway;

private:
    std::atomic<const RawAnswer *> answer_ = nullptr;
    ScriptedServer server_;
};

/// What a reader makes of an answer that comes in parts of this size.
struct ReadResult
{
    int status = 0;
    bool whole = false;
};

ReadResult readInParts(const std::string &bytes, std::size_t partBytes, bool connectionEnds)
{
    ReadResult result;
    bool failed = false;
    ResponseReader reader(
        {.head = [&result](const HttpResponseHead &head) { result.status = head.status; },
         .body = [](std::string_view) {},
         .complete = [&result] { result.whole = true; },
         .malformed = [&failed](AnswerFault) { failed = true; }},
        false);
    for (std::size_t at = 0; at < bytes.size() && !failed; at += partBytes)
        reader.feed(std::string_view(bytes).substr(at, partBytes));
    if (connectionEnds && !failed)
        reader.feedEnd();
    return result;
}

/// Whether a caller takes what it got for a whole stream or another whole success.
bool looksWhole(const std::string &got)
{
    constexpr int firstFailure = 300;
    const ReadResult read = readInParts(got, got.size(), true);
    return read.whole && read.status < firstFailure;
}

/// Checks that the callers of each kind of route are told that the outcome is unknown, and that no
/// connection is used again.
void checkOutcomeUnknown(const std::vector<RawAnswer> &answers)
{
    RawServer server;
    int number = 0;
    for (const RawAnswer &answer : answers) {
        server.setAnswer(answer);
        for (const std::string route : {"/once/", "/again/", "/stream/"}) {
            const std::string target = route + std::to_string(++number) + ".";
            const std::string got = rawAnswer(server.gateway, requestFor(target, target.substr(1)));
            CAPTURE(answer.name, route, got);
            CHECK(got.starts_with("HTTP/1.1 502 Bad Gateway\r\n"));
            CHECK(got.find("data:") == std::string::npos);
            CHECK(server.runs(target) == 1);
            CHECK_FALSE(server.connectionWasReused());
        }
    }
}

/// The outcome of a call as the store and engines are called.
Result<HttpResponse> answerToCall(const Endpoint &server)
{
    constexpr std::size_t maxAnswerBytes = 65536;
    EventLoop loop;
    HttpClientPool pool(loop);
    TimedCalls calls(pool, maxAnswerBytes);
    Result<HttpResponse> result = failure(ErrorKind::Timeout, "no answer in time");
    const auto timeout = loop.runAfter(seconds(2), [&loop] { loop.stop(); });
    calls.start(
        server, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n", seconds(2),
        [&](Result<HttpResponse> answer) {
            result = std::move(answer);
            loop.stop();
        },
        monotonicNow());
    loop.run();
    loop.cancel(timeout);
    return result;
}

} // namespace

// Guards against an answer that HTTP has no meaning for and that reaches the caller.
TEST_CASE("An answer whose status is none of HTTP's reaches no caller")
{
    checkOutcomeUnknown(answersWithImpossibleStatus());
}

// Guards against a line that is passed on, or a body that is not the server's, after a name with a
// blank or a control byte.
TEST_CASE("An answer whose head is no list of fields reaches no caller")
{
    checkOutcomeUnknown(answersWithBadFields());
}

// Guards against a head that breaks off and reaches the caller as a whole answer without a body.
TEST_CASE("An answer that ends within its head reaches no caller")
{
    checkOutcomeUnknown(answersThatEndInHead());
}

// Guards against a body that is cut or too long and looks whole to its caller.
TEST_CASE("An answer whose body has no readable end looks whole to no caller")
{
    RawServer server;
    int number = 0;
    for (const RawAnswer &answer : answersWithBadFraming()) {
        server.setAnswer(answer);
        for (const std::string route : {"/once/", "/again/", "/stream/"}) {
            const std::string target = route + std::to_string(++number) + ".";
            const std::string got = rawAnswer(server.gateway, requestFor(target, target.substr(1)));
            CAPTURE(answer.name, route, got);
            CHECK_FALSE(looksWhole(got));
            if (route != "/stream/")
                CHECK(got.starts_with("HTTP/1.1 502 Bad Gateway\r\n"));
            CHECK(server.runs(target) == 1);
            CHECK_FALSE(server.connectionWasReused());
        }
    }
}

// Guards against a rule that holds only if the bytes that break it come at once.
TEST_CASE("A broken answer is none in whatever parts it comes")
{
    const SeenRequest request{.head = "GET /again/x HTTP/1.1\r\n", .body = ""};
    for (const RawAnswer &answer : allBrokenAnswers()) {
        const std::string bytes = bytesFor(answer, request);
        for (const std::size_t part : {std::size_t{1}, std::size_t{3}, bytes.size() + 1}) {
            CAPTURE(answer.name, part);
            CHECK_FALSE(readInParts(bytes, part, answer.after == AfterAnswer::Close).whole);
        }
    }
}

// Guards against a rule that refuses answers which break none.
TEST_CASE("An unusual answer that breaks no rule reaches its caller whole")
{
    RawServer server;
    int number = 0;
    for (const RawAnswer &answer : soundAnswers()) {
        server.setAnswer(answer);
        for (const std::string route : {"/once/", "/again/", "/stream/"}) {
            const std::string target = route + std::to_string(++number);
            const CallResult got = server.gateway.call(requestFor(target, target.substr(1)));
            CAPTURE(answer.name, route);
            CHECK(got.status == 200);
            CHECK(got.whole);
            CHECK(got.body == soundBody);
        }
    }
}

// Guards against bytes of a transfer coding that reach the caller as the server's body.
TEST_CASE("An answer in another transfer coding reaches no caller")
{
    checkOutcomeUnknown(answersInOtherCodings());
}

// Guards against an interim answer that is taken for the final one, or for one to another request.
TEST_CASE("Callers get the final answer whatever interim answers come before it")
{
    const std::string interim = GENERATE(
        "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n@Link: </x>\r\n\r\n",
        "HTTP/1.1 199 X\r\n@\r\n",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 C\r\n\r\n");
    CAPTURE(interim);
    ScriptedServer server([&interim](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(bytesFor({"interim", interim}, request) + sealed(request, 200, "sound"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", server);
    for (const std::string target : {"/once/x", "/again/x", "/again/y"}) {
        const CallResult answer = gateway.call(requestFor(target, target.substr(1)));
        CAPTURE(target);
        CHECK(answer.status == 200);
        CHECK(answer.body == "sound");
    }
    CHECK(server.seen().back().requestsBefore > 0);
}

// Guards against reads of the store and of engines that fail because an interim answer is taken for
// the final one.
TEST_CASE("Calls of the store and of engines get the answer that follows an interim one")
{
    ScriptedServer server([](const SeenRequest &, ScriptPeer &peer) {
        peer.send("HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n"
                  + plainResponse(200, "", "{\"a\":1}"));
    });
    const Result<HttpResponse> answer = answerToCall(server.endpoint());
    REQUIRE(answer.has_value());
    CHECK(answer.value().head.status == 200);
    CHECK(answer.value().body == "{\"a\":1}");
}

// Guards against a broken answer that is believed, or taken for a sign that a call did nothing.
TEST_CASE("A broken answer of the store or of an engine leaves the outcome of the call unknown")
{
    for (const RawAnswer &broken : allBrokenAnswers()) {
        ScriptedServer server([&broken](const SeenRequest &request, ScriptPeer &peer) {
            sendBytes(broken, request, peer);
        });
        const Result<HttpResponse> answer = answerToCall(server.endpoint());
        CAPTURE(broken.name);
        REQUIRE(answer.has_error());
        CHECK(answer.error().kind == ErrorKind::OutcomeUnknown);
    }
}

// Guards against a gateway that ends, or stops following the store, because of its broken answers.
TEST_CASE("A gateway serves on while the store's answers are broken, and follows it afterwards")
{
    const std::vector<RawAnswer> all = allBrokenAnswers();
    std::atomic<std::size_t> brokenAnswers = 0;
    TroubledStore store([&](const SeenRequest &request, ScriptPeer &peer) {
        sendBytes(all[brokenAnswers++ % all.size()], request, peer);
    });
    store.setInTrouble(true);
    constexpr std::size_t enoughAnswers = 10;
    REQUIRE(eventually([&] { return brokenAnswers >= enoughAnswers; }));
    CHECK(callServer(store.gateway().callers(), requestFor("/again/x", "a1")).body == "sound");
    CHECK(store.gateway().count("store.lost") > 0);
    store.setInTrouble(false);
    CHECK(store.followsNextVersion());
    CHECK(store.gateway().running());
}

// Guards against callers who wait out their deadline for an answer that can't come, or is preceded
// by interim answers without end.
TEST_CASE("A request leaves a server that switches protocols or sends interim answers without end")
{
    const bool withoutEnd = GENERATE(false, true);
    CAPTURE(withoutEnd);
    ScriptedServer broken([withoutEnd](const SeenRequest &, ScriptPeer &peer) {
        peer.send(withoutEnd ? "HTTP/1.1 100 Continue\r\n\r\n"
                             : "HTTP/1.1 101 Switching Protocols\r\n\r\n");
        while (withoutEnd && peer.trySend("HTTP/1.1 100 Continue\r\n\r\n")) { }
        peer.waitForEnd();
        peer.close();
    });
    ScriptedServer sound([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "sound"));
    });
    GatewayUnderTest gateway;
    gateway.addBackend("i-2", "plain", sound);
    gateway.startWithBackend("i-1", "plain", broken);
    constexpr int mostCalls = 100;
    for (int i = 0; i < mostCalls && broken.seen().empty(); ++i) {
        const TimePoint begun = monotonicNow();
        CHECK(gateway.call(requestFor("/again/x", "a" + std::to_string(i))).body == "sound");
        CHECK(monotonicNow() - begun < milliseconds(1000));
    }
    CHECK_FALSE(broken.seen().empty());
}

// Guards against a length that the status or the method of an answer forbids, and that is not the
// server's.
TEST_CASE("An answer without a body has no length that is not the server's")
{
    ScriptedServer server([](const SeenRequest &request, ScriptPeer &peer) {
        const std::string status = request.target().substr(request.target().rfind('/') + 1);
        const std::string length = status == "204" ? "" : "Content-Length: 42\r\n";
        peer.send("HTTP/1.1 " + status + " X\r\n" + ownFields(request) + length + "\r\n");
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", server);
    const std::string method = GENERATE("GET", "HEAD", "POST");
    for (const std::string status : {"204", "304", "200", "404"}) {
        if (method != "HEAD" && status != "204" && status != "304")
            continue;
        const std::string got =
            rawAnswer(gateway, requestFor("/again/" + status, method + status, method));
        CAPTURE(method, status, got);
        CHECK(got.starts_with("HTTP/1.1 " + status));
        CHECK(got.find("Content-Length: 0") == std::string::npos);
        CHECK(got.find("Transfer-Encoding") == std::string::npos);
        CHECK(got.ends_with("\r\n\r\n"));
    }
}

// Guards against a body behind the head of an answer to HEAD, which would be read as the next
// answer.
TEST_CASE("An answer to HEAD has neither a length nor a body")
{
    CHECK(responseText(400, {{"A", "1"}}, "text", true, true)
          == "HTTP/1.1 400 Bad Request\r\nA: 1\r\n\r\n");
    CHECK(responseText(400, {}, "text", true).ends_with("Content-Length: 4\r\n\r\ntext"));
}

// Guards against a server in trouble that goes on getting requests, each of which costs its caller.
TEST_CASE("A server that sends broken answers costs few callers, on kept connections too")
{
    const RawAnswer &answer = answersWithImpossibleStatus().front();
    ScriptedServer broken([&answer](const SeenRequest &request, ScriptPeer &peer) {
        sendBytes(answer, request, peer);
    });
    const ScriptedServer::Script soundly = [](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, request.header("Wisteriawind-Attempt-Id")));
    };
    ScriptedServer second(soundly);
    ScriptedServer third(soundly);
    GatewayUnderTest gateway;
    for (const auto &[id, server] :
         {std::pair{"i-1", &broken}, std::pair{"i-2", &second}, std::pair{"i-3", &third}})
        gateway.store.put("keyed.servers", id, listEntryOf("plain", server->endpoint(), 100));
    gateway.configure();
    gateway.waitUntilReady();
    constexpr int callers = 100;
    constexpr int rounds = 10;
    std::vector<std::unique_ptr<CallerSocket>> sockets;
    for (int i = 0; i < callers; ++i)
        sockets.push_back(std::make_unique<CallerSocket>(gateway.callers()));
    const std::string route = GENERATE("/once/x", "/again/x");
    CAPTURE(route);
    int unanswered = 0;
    int others = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < callers; ++i)
            sockets[i]->send(requestFor(route, std::to_string(round) + "-" + std::to_string(i)));
        for (int i = 0; i < callers; ++i) {
            const CallResult got = sockets[i]->readAnswer();
            unanswered += got.status == 502 ? 1 : 0;
            const bool own =
                got.status == 200 && got.body == std::to_string(round) + "-" + std::to_string(i);
            others += own || got.status == 502 ? 0 : 1;
        }
    }
    CHECK(others == 0);
    // Those that were in flight before anything was known of it.
    CHECK(unanswered <= callers);
    CHECK_FALSE(broken.seen().empty());
}

// Guards against a stream that goes on, or ends as whole, with a broken answer to its second run.
TEST_CASE("A stream whose second run is answered brokenly ends as cut off")
{
    const std::vector<RawAnswer> all = allBrokenAnswers();
    // Some of each kind, as it takes a while to tell each first run's end from a crash.
    constexpr std::size_t step = 6;
    std::atomic<const RawAnswer *> answer = nullptr;
    const ScriptedServer::Script script = [&answer](const SeenRequest &request, ScriptPeer &peer) {
        if (!request.header("Last-Event-Id").empty()) {
            sendBytes(*answer.load(), request, peer);
            return;
        }
        peer.send(streamHead(request) + chunk(eventText(1)) + chunk(eventText(2)));
        if (request.target() == "/stream/whole")
            peer.send("0\r\n\r\n");
        else
            peer.close();
    };
    ScriptedServer first(script);
    ScriptedServer second(script);
    GatewayUnderTest gateway;
    gateway.addBackend("i-2", "model", second);
    gateway.startWithBackend("i-1", "model", first);
    for (std::size_t at = 0; at < all.size(); at += step) {
        const RawAnswer &broken = all[at];
        answer = &broken;
        const std::string id = "s" + std::to_string(at) + ".";
        // Each of these earns a tenth of a retry.
        constexpr int requestsPerRetry = 10;
        for (int i = 0; i < requestsPerRetry; ++i)
            REQUIRE(gateway.call(requestFor("/stream/whole", id + std::to_string(i))).whole);
        const std::string got = rawAnswer(gateway, requestFor("/stream/" + id, id));
        CAPTURE(broken.name, got);
        CHECK_FALSE(looksWhole(got));
        CHECK(got.starts_with("HTTP/1.1 200 OK\r\n"));
        CHECK(got.find("data: piece1") != std::string::npos);
        CHECK(first.count("/stream/" + id) + second.count("/stream/" + id) == 2);
    }
}
