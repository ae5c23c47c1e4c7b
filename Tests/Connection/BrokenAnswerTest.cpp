#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "Connection/BackendClient.h"
#include "Connection/PlatformHttp.h"
#include "Gateway/BrokenAnswers.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// What the agent is told of an answer.
class AnswerRecord : public BackendCallHandler
{
public:
    explicit AnswerRecord(EventLoop &loop) : loop_(loop) { }
    void answerStarted(std::uint32_t httpStatus, const std::string &) override
    {
        status = httpStatus;
    }
    void answerBytes(std::string_view bytes) override { body += bytes; }
    void answerEnded(BackendCallEnd ended) override
    {
        end = ended;
        loop_.stop();
    }

    std::optional<std::uint32_t> status;
    std::string body;
    std::optional<BackendCallEnd> end;

private:
    EventLoop &loop_;
};

/// A server that sends one answer to each request.
ScriptedServer serverOf(const RawAnswer &answer)
{
    return ScriptedServer([&answer](const SeenRequest &request, ScriptPeer &peer) {
        sendBytes(answer, request, peer);
    });
}

} // namespace

// Guards against a broken answer that an agent passes on, or takes for a sign of health.
TEST_CASE("An agent takes no broken answer of its backend server for an answer")
{
    for (const RawAnswer &answer : allBrokenAnswers()) {
        CAPTURE(answer.name);
        const ScriptedServer server = serverOf(answer);
        EventLoop loop;
        BackendClient client(loop, "http://" + toText(server.endpoint()));
        const auto run = std::make_shared<AnswerRecord>(loop);
        client.start({"s", "id", "key", 0, milliseconds(1000), "body"}, run);
        loop.run();
        CHECK(run->end != BackendCallEnd::Complete);
        CHECK(run->end != BackendCallEnd::NotConnected);
        const auto check = std::make_shared<AnswerRecord>(loop);
        client.checkHealth(milliseconds(1000), check);
        loop.run();
        CHECK(check->end != BackendCallEnd::Complete);
    }
}

// Guards against a status of the platform that is believed although its answer is broken.
TEST_CASE("A call of the platform takes no broken answer for an answer")
{
    for (const RawAnswer &answer : allBrokenAnswers()) {
        CAPTURE(answer.name);
        const ScriptedServer server = serverOf(answer);
        PlatformHttp http("http://" + toText(server.endpoint()));
        for (const PlatformAnswer &got :
             {http.get("/x", milliseconds(1000)), http.post("/x", "data", milliseconds(1000))}) {
            CHECK(got.status == 0);
            CHECK_FALSE(got.error.empty());
            CHECK_FALSE(got.neverSent);
        }
    }
}

// Guards against a rule that refuses answers which break none.
TEST_CASE("Agents and calls of the platform get unusual answers that break no rule")
{
    for (const RawAnswer &answer : soundAnswers()) {
        CAPTURE(answer.name);
        const ScriptedServer server = serverOf(answer);
        const std::string url = "http://" + toText(server.endpoint());
        EventLoop loop;
        BackendClient client(loop, url);
        const auto run = std::make_shared<AnswerRecord>(loop);
        client.start({"s", "id", "", 0, milliseconds(1000), "body"}, run);
        loop.run();
        CHECK(run->end == BackendCallEnd::Complete);
        CHECK(run->status == 200U);
        CHECK(run->body == soundBody);
        const PlatformAnswer got = PlatformHttp(url).get("/x", milliseconds(1000));
        CHECK(got.status == 200);
        CHECK(got.body == soundBody);
    }
}
