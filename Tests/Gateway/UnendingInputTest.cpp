#include <algorithm>
#include <atomic>
#include <future>
#include <string>
#include <vector>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "Connection/HttpReader.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/LoggedGateway.h"
#include "Gateway/TroubledStore.h"
#include "Process/EventLog.h"
#include "Request/HeldMemory.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/// How an answer without end begins, and the bytes that follow without end.
struct Unending
{
    std::string begin;
    std::string repeated;
};

std::string answerHead(const SeenRequest &request)
{
    return "HTTP/1.1 200 OK\r\n" + ownFields(request);
}

/// The ways in which an answer can have no end, by the target's last character.
Unending unendingFor(const SeenRequest &request)
{
    const std::string head = answerHead(request);
    const std::string filler(16384, 'x');
    switch (request.target().back()) {
    case 'h':
        return {head, "X-More: " + filler + "\r\n"};
    case 'l':
        return {head + "X-More: ", filler};
    case 's':
        return {"HTTP/1.1 200 ", filler};
    case 'c':
        return {head + "Transfer-Encoding: chunked\r\n\r\n", chunk(filler)};
    case 'e':
        return {head + "Transfer-Encoding: chunked\r\n\r\n5;", filler};
    case 't':
        return {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + filler + "\r\n"};
    default:
        return {head + "Connection: close\r\n\r\n", filler};
    }
}

/// Sends without end, until the other side closes or the limit is reached.
/// @return The number of bytes sent.
std::size_t sendUnending(const SeenRequest &request, ScriptPeer &peer, std::size_t limit)
{
    const Unending answer = unendingFor(request);
    if (!peer.trySend(answer.begin))
        return 0;
    std::size_t sent = 0;
    while (sent < limit && peer.trySend(answer.repeated))
        sent += answer.repeated.size();
    peer.close();
    return sent;
}

/// Feeds a response reader until it fails or has taken `limit` bytes.
/// @return The number of bytes that it took.
std::size_t bytesUntilFault(const Unending &answer, std::size_t limit)
{
    std::optional<AnswerFault> fault;
    ResponseReader reader({.head = [](const HttpResponseHead &) {},
                           .body = [](std::string_view) {},
                           .complete = [] {},
                           .malformed = [&fault](AnswerFault broken) { fault = broken; }},
                          false);
    reader.feed(answer.begin);
    std::size_t taken = 0;
    while (!fault && taken < limit) {
        reader.feed(answer.repeated);
        taken += answer.repeated.size();
    }
    CHECK((!fault || fault == AnswerFault::TooLong));
    return taken;
}

SeenRequest seenWith(const std::string &target)
{
    return {.head = "POST " + target + " HTTP/1.1\r\n", .body = "", .requestsBefore = 0};
}

std::string uploadOf(std::size_t bytes, const std::string &id)
{
    std::string request = requestFor("/again/upload", id);
    request.replace(request.find("Length: 0"), 9, "Length: " + std::to_string(bytes));
    return request + std::string(bytes, 'u');
}

} // namespace

// Guards against an answer whose head or framing has no end and that fills the memory.
TEST_CASE("Heads and lines and trailers without end are cut at a bound")
{
    for (const std::string kind : {"h", "l", "s", "e", "t"}) {
        CAPTURE(kind);
        CHECK(bytesUntilFault(unendingFor(seenWith("/x/" + kind)), 16 * megabyte) <= megabyte);
    }
}

// Guards against a parser that aborts the process because the last chunk comes in small parts.
TEST_CASE("Chunked messages are read whole however small the parts are in which they come")
{
    const std::string body =
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n";
    for (std::size_t part = 1; part <= 7; ++part) {
        CAPTURE(part);
        std::string read;
        bool complete = false;
        ResponseReader answers({.head = [](const HttpResponseHead &) {},
                                .body = [&read](std::string_view bytes) { read += bytes; },
                                .complete = [&complete] { complete = true; },
                                .malformed = [](AnswerFault) {}},
                               false);
        RequestReader requests([] { return HttpLimits{.headerBytes = 1024, .bodyBytes = 100}; });
        const std::string answer = "HTTP/1.1 200 OK\r\n" + body;
        const std::string request = "POST / HTTP/1.1\r\nHost: h\r\n" + body;
        for (std::size_t at = 0; at < answer.size(); at += part)
            answers.feed(answer.substr(at, part));
        for (std::size_t at = 0; at < request.size(); at += part)
            requests.feed(request.substr(at, part));
        CHECK(complete);
        CHECK(read == "abc");
        REQUIRE(requests.complete());
        CHECK(requests.takeRequest().body == "abc");
    }
}

// Guards against callers who wait out their deadline, and memory that is filled, while one server
// sends an answer without end and another one is sound.
TEST_CASE("A request whose answer has no end is served by another server")
{
    std::atomic<std::size_t> most = 0;
    ScriptedServer unending([&most](const SeenRequest &request, ScriptPeer &peer) {
        most = std::max(most.load(), sendUnending(request, peer, 256 * megabyte));
    });
    ScriptedServer sound([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "sound"));
    });
    GatewayUnderTest gateway;
    gateway.addBackend("i-2", "plain", sound);
    gateway.startWithBackend("i-1", "plain", unending);
    for (const std::string kind : {"h", "l", "s", "c", "e", "t", "b"}) {
        CAPTURE(kind);
        for (int i = 0; i < 4; ++i) {
            const std::string id = kind + std::to_string(i);
            CHECK(gateway.call(requestFor("/again/" + kind, id)).body == "sound");
        }
    }
    CHECK_FALSE(unending.seen().empty());
    // What the kernel's buffers take comes on top of the bound on an answer.
    CHECK(most.load() <= 32 * megabyte);
}

// Guards against a caller who waits out the deadline because a head comes bit by bit.
TEST_CASE("A request is served by another server if the head of an answer comes too slowly")
{
    ScriptedServer slow([](const SeenRequest &request, ScriptPeer &peer) {
        for (const char byte : answerHead(request)) {
            if (!peer.trySend(std::string(1, byte)) || peer.waitForEnd(milliseconds(50)))
                break;
        }
        peer.close();
    });
    ScriptedServer sound([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "sound"));
    });
    GatewayUnderTest gateway;
    gateway.addBackend("i-2", "plain", sound);
    gateway.startWithBackend("i-1", "plain", slow);
    constexpr int fewestCalls = 4;
    constexpr int mostCalls = 100;
    for (int i = 0; i < fewestCalls || (i < mostCalls && slow.seen().empty()); ++i) {
        const TimePoint begun = monotonicNow();
        CHECK(gateway.call(requestFor("/again/x", "a" + std::to_string(i))).body == "sound");
        CHECK(monotonicNow() - begun < milliseconds(1000));
    }
    CHECK_FALSE(slow.seen().empty());
}

// Guards against a gateway that exceeds the memory of its VM, and ends with all its requests,
// because all servers of a service send answers without end.
TEST_CASE("Answers without end at all servers stay within the memory of a gateway")
{
    ScriptedServer unending([](const SeenRequest &request, ScriptPeer &peer) {
        sendUnending(request, peer, 256 * megabyte);
    });
    StoreStandIn store;
    store.put("keyed.op", "config", configurationOf(1));
    store.put("keyed.servers", "i-1", listEntryOf("plain", unending.endpoint(), 100));
    const LoggedGateway gateway(store.endpoint());
    REQUIRE(gateway.waitUntilRouting());
    std::vector<std::future<CallResult>> calls;
    for (int i = 0; i < 60; ++i) {
        calls.push_back(std::async(std::launch::async, [&, i] {
            return callServer(gateway.callers(), requestFor("/again/c", "c" + std::to_string(i)));
        }));
    }
    for (auto &call : calls) {
        const int status = call.get().status;
        CHECK((status == 502 || status == 503 || status == 504));
    }
    CHECK(gateway.peakMemory() < 256 * megabyte);
}

// Guards against a gateway that exceeds the memory of its VM because of the store.
TEST_CASE("Answers of the store without end stay within a gateway's memory")
{
    TroubledStore store([](const SeenRequest &, ScriptPeer &peer) {
        sendUnending(seenWith("/c"), peer, 512 * megabyte);
    });
    store.setInTrouble(true);
    // Lets the reads begin anew several times.
    ::poll(nullptr, 0, 3000);
    CAPTURE(store.gateway().peakMemory());
    CHECK(store.gateway().peakMemory() < 256 * megabyte);
    store.setInTrouble(false);
    CHECK(store.followsNextVersion());
    CHECK(store.gateway().running());
}

// Guards against a gateway that exceeds the memory of its VM because callers send long requests
// that servers take slowly.
TEST_CASE("Long requests at once stay within the memory of a gateway, and the first are served")
{
    std::atomic<bool> release = false;
    ScriptedServer slow([&release](const SeenRequest &request, ScriptPeer &peer) {
        while (!release && !peer.waitForEnd(milliseconds(20))) { }
        peer.send(sealed(request, 200, "done"));
    });
    StoreStandIn store;
    store.put("keyed.op", "config", configurationOf(1));
    store.put("keyed.servers", "i-1", listEntryOf("plain", slow.endpoint(), 200));
    const LoggedGateway gateway(store.endpoint());
    REQUIRE(gateway.waitUntilRouting());
    const auto upload = [&](int number) {
        return std::async(std::launch::async, [&, number] {
            return callServer(gateway.callers(),
                              uploadOf(4 * megabyte, "u" + std::to_string(number)));
        });
    };
    auto first = upload(0);
    REQUIRE(eventually([&] { return !slow.seen().empty(); }));
    std::vector<std::future<CallResult>> others;
    for (int i = 1; i <= 80; ++i)
        others.push_back(upload(i));
    std::size_t cut = 0;
    for (auto &other : others)
        cut += other.wait_for(milliseconds(20)) == std::future_status::ready ? 1 : 0;
    release = true;
    CHECK(cut > 0);
    CHECK(first.get().status == 200);
    for (auto &other : others)
        other.get();
    CHECK(gateway.peakMemory() < 256 * megabyte);
}

// Guards against a bound that cuts sound answers while one without end grows.
TEST_CASE("What holds most is cut first, and the newest of those that hold about as much")
{
    const TimePoint start = monotonicNow();
    const std::vector<HeldBytes> held = {{1, 5 * megabyte, start},
                                         {2, 6 * megabyte, start + milliseconds(1)},
                                         {3, 16 * megabyte, start},
                                         {4, 1000, start + milliseconds(2)}};
    CHECK(sessionsToCut(held, 30 * megabyte).empty());
    CHECK(sessionsToCut(held, 20 * megabyte) == std::vector<std::uint64_t>{3});
    CHECK(sessionsToCut(held, 6 * megabyte) == std::vector<std::uint64_t>{3, 2});
    CHECK(sessionsToCut(held, 0).size() == 4);
    CHECK(sessionsToCut({}, 0).empty());
}

// Guards against log lines that fill the memory because another party's text is in them.
TEST_CASE("The fields of a log line are bounded, whatever another party wrote")
{
    const std::string longText(250'000, 'x');
    const LogFields fields = boundedFields({{"id", "a1"},
                                            {"reason", longText},
                                            {"tried", LogFields::array({"i-1"})},
                                            {"parts", LogFields::array({longText, longText})}});
    CHECK(fields["id"] == "a1");
    CHECK(fields["tried"].size() == 1);
    CHECK(fields["reason"].get<std::string>().starts_with("xxx"));
    CHECK(fields.dump().size() < 2048);
}

// Guards against a request that is cut for those that came after it, as they hold a little less
// each.
TEST_CASE("Of many requests that arrive at once, the one that was there first is not cut")
{
    const TimePoint start = monotonicNow();
    std::vector<HeldBytes> held = {{1, 4 * megabyte, start}};
    for (std::uint64_t i = 2; i <= 81; ++i)
        held.push_back({i, megabyte, start + milliseconds(i)});
    const std::vector<std::uint64_t> cut = sessionsToCut(held, 40 * megabyte);
    CHECK(cut.size() == 44);
    CHECK(std::find(cut.begin(), cut.end(), 1) == cut.end());
}
