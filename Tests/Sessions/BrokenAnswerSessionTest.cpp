#include <atomic>

#include <catch2/catch.hpp>

#include "Gateway/BrokenAnswers.h"
#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;
using namespace wisteria::gateway_tests;

namespace {

constexpr std::uint16_t statusOutcomeUnknown = 502;

/// A backend server that passes its health checks and answers requests with the bytes that are set.
struct RawBackend
{
    std::atomic<const RawAnswer *> answer = nullptr;
    ScriptedServer server{[this](const SeenRequest &request, ScriptPeer &peer) {
        if (request.target() == "/health")
            peer.send(plainResponse(200, "", "up"));
        else
            sendBytes(*answer.load(), request, peer);
    }};
};

} // namespace

// Guards against a broken answer that reaches a caller of the entry through agent and entry.
TEST_CASE("No broken answer reaches a caller of the entry, and none that is sound is refused")
{
    RawBackend backend;
    const TestSystem system(
        {.backendServers = 1, .backendAddress = toText(backend.server.endpoint())});
    for (const RawAnswer &answer : allBrokenAnswers()) {
        backend.answer = &answer;
        const HttpAnswer got = system.send(0, {.deadline = milliseconds(1000)});
        CAPTURE(answer.name, got.status, got.body);
        CHECK_FALSE((got.status == 200 && got.complete));
        CHECK((got.status == statusOutcomeUnknown || !got.complete));
    }
    for (const RawAnswer &answer : soundAnswers()) {
        backend.answer = &answer;
        const HttpAnswer got = system.send(0, {});
        CAPTURE(answer.name);
        CHECK(got.status == 200);
        CHECK(got.body == soundBody);
    }
}

// Guards against a length that the status of an answer forbids.
TEST_CASE("An answer without a body reaches a caller of the entry without a length")
{
    RawBackend backend;
    const TestSystem system(
        {.backendServers = 1, .backendAddress = toText(backend.server.endpoint())});
    const RawAnswer noContent{"204", "HTTP/1.1 204 No Content\r\n\r\n"};
    backend.answer = &noContent;
    const HttpAnswer got = system.send(0, {});
    CHECK(got.status == 204);
    CHECK_FALSE(got.headers.contains("content-length"));
    CHECK_FALSE(got.headers.contains("transfer-encoding"));
}
