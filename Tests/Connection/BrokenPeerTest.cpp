#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nghttp2/nghttp2.h>

#include "Connection/FrameCodec.h"
#include "Connection/PeerClient.h"
#include "Gateway/ScriptedServer.h"
#include "Peer.pb.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;
using namespace std::string_literals;

namespace {

/// A frame of HTTP/2 on the first stream, or on the connection.
std::string frameText(std::uint8_t type, std::uint8_t flags, const std::string &payload,
                      std::uint8_t stream = 1)
{
    const auto size = static_cast<std::uint32_t>(payload.size());
    std::string text;
    for (const std::uint32_t byte : {size >> 16, size >> 8, size, std::uint32_t{type},
                                     std::uint32_t{flags}, 0U, 0U, 0U, std::uint32_t{stream}})
        text.push_back(static_cast<char>(byte));
    return text + payload;
}

/// A field of a head, written out in full.
std::string field(const std::string &name, const std::string &value)
{
    return "\0"s + static_cast<char>(name.size()) + name + static_cast<char>(value.size()) + value;
}

std::string headers(const std::string &fields, std::uint8_t flags = NGHTTP2_FLAG_END_HEADERS)
{
    return frameText(NGHTTP2_HEADERS, flags, fields);
}

std::string withStatus(const std::string &status)
{
    return headers(field(":status", status));
}

/// The message of an answer as DATA.
std::string message(std::uint8_t flags = NGHTTP2_FLAG_END_STREAM)
{
    v1::RunFrame frame;
    frame.set_body("answer");
    std::string bytes;
    appendFrame(bytes, frame);
    return frameText(NGHTTP2_DATA, flags, bytes);
}

const std::string sound = field(":status", "200");

struct PeerAnswer
{
    std::string name;
    std::string bytes;
    bool thenCloses = false;
};

const std::vector<PeerAnswer> brokenPeerAnswers = {
    {"status 000", withStatus("000") + message()},
    {"status 099", withStatus("099") + message()},
    {"status 600", withStatus("600") + message()},
    {"status 999", withStatus("999") + message()},
    {"status 500", withStatus("500") + message()},
    {"status 204", withStatus("204") + message()},
    {"status of two digits", withStatus("20") + message()},
    {"status with a letter", withStatus("2x0") + message()},
    {"a switch of protocols", withStatus("101") + headers(sound) + message()},
    {"no status", headers(field("x", "1")) + message()},
    {"two statuses", headers(sound + sound) + message()},
    {"interim only", withStatus("103") + message()},
    {"blank in a name", headers(sound + field("x more", "1")) + message()},
    {"0x01 in a name", headers(sound + field("x\x01more", "1")) + message()},
    {"0x00 in a name", headers(sound + field("x\0more"s, "1")) + message()},
    {"upper case in a name", headers(sound + field("X-More", "1")) + message()},
    {"no name", headers(sound + field("", "1")) + message()},
    {"0x01 in a value", headers(sound + field("x", "1\x01")) + message()},
    {"0x00 in a value", headers(sound + field("x", "1\0002"s)) + message()},
    {"blank in a name of an interim answer",
     headers(field(":status", "103") + field("x more", "1")) + headers(sound) + message()},
    {"blank in a name of a trailer",
     headers(sound) + message(0)
         + headers(field("x more", "1"), NGHTTP2_FLAG_END_HEADERS | NGHTTP2_FLAG_END_STREAM)},
    {"a head that is missing", message()},
    {"a head that breaks off", headers(sound, 0), true},
    {"a head that is cut", headers(sound).substr(0, 12), true},
    {"another length", headers(sound + field("content-length", "3")) + message()},
    {"two lengths",
     headers(sound + field("content-length", "3") + field("content-length", "4")) + message()},
    {"a body that is cut", headers(sound) + message().substr(0, 14), true},
    {"an end that is missing", headers(sound) + message(0), true},
};

/// Stores the answer and stops the loop at its end.
class AnswerRecord : public PeerStreamHandler
{
public:
    explicit AnswerRecord(EventLoop &loop) : loop_(loop) { }
    void frameReceived(const std::string &content) override { messages.push_back(content); }
    void streamClosed(const StreamEnd &closed) override
    {
        end = closed;
        loop_.stop();
    }

    std::vector<std::string> messages;
    std::optional<StreamEnd> end;

private:
    EventLoop &loop_;
};

/// What a peer's answer is taken for.
AnswerRecord answerOf(const PeerAnswer &answer)
{
    const ScriptedServer server([&answer](const SeenRequest &request, ScriptPeer &peer) {
        // The connection begins with a line that looks like a request.
        if (!request.head.starts_with("PRI "))
            return;
        peer.send(frameText(NGHTTP2_SETTINGS, 0, "", 0) + answer.bytes);
        if (answer.thenCloses)
            peer.close();
    });
    EventLoop loop;
    PeerClient client(loop, toText(server.endpoint()));
    const auto record = std::make_shared<AnswerRecord>(loop);
    const auto timeout = loop.runAfter(seconds(5), [&loop] { loop.stop(); });
    REQUIRE(client.open("/v1/run", "", record).has_value());
    loop.run();
    loop.cancel(timeout);
    return *record;
}

} // namespace

// Guards against a broken answer of a peer that is taken for one, by entries, agents and admins.
TEST_CASE("A peer's answer that breaks a rule is none")
{
    for (const PeerAnswer &answer : brokenPeerAnswers) {
        const AnswerRecord record = answerOf(answer);
        CAPTURE(answer.name);
        REQUIRE(record.end.has_value());
        CHECK_FALSE(record.end->complete);
        CHECK(record.end->mayHaveReached);
    }
}

TEST_CASE("Nothing of a peer's answer counts before its head is sound")
{
    for (const PeerAnswer &answer : brokenPeerAnswers) {
        const bool headIsBroken = answer.name.find("trailer") == std::string::npos
            && answer.name.find("end that") == std::string::npos;
        if (!headIsBroken)
            continue;
        CAPTURE(answer.name);
        CHECK(answerOf(answer).messages.empty());
    }
}

// Guards against a rule that refuses answers which break none.
TEST_CASE("A peer's answer after interim ones and with other fields is whole")
{
    for (const std::string &head : {headers(sound), withStatus("103") + headers(sound),
                                    headers(sound + field("x-more", "\xe9 1"))}) {
        const AnswerRecord record = answerOf({"sound", head + message()});
        REQUIRE(record.end.has_value());
        CHECK(record.end->complete);
        CHECK(record.messages.size() == 1);
    }
}
