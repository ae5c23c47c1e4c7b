#include <string>

#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"
#include "Request/Fingerprint.h"
#include "Version/GroupMessages.h"
#include "platform/StoreCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Fingerprint of requestFor("/once/x", ...).
std::string fingerprintText()
{
    GatewayRequest request;
    request.method = "POST";
    request.host = "h.example";
    request.target = "/once/x";
    return toText(fingerprintOf(request, "acme"));
}

std::string recordUntil(WallTime until)
{
    return platform::encodeQuarantine({.crashes = 3, .until = until});
}

constexpr const char *topic = platform::quarantineTopic;

} // namespace

// Guards against restarts that grant a poison request more crashes, and against a quarantine that
// an operator cannot end.
TEST_CASE("A gateway that starts refuses quarantined requests until their record is removed")
{
    ScriptedServer server([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "done"));
    });
    GatewayUnderTest gateway;
    gateway.store.append(topic, fingerprintText(), recordUntil(wallNow() + seconds(600)));
    gateway.startWithBackend("i-1", "plain", server);
    const CallResult refused = gateway.callUntil(requestFor("/once/x", "a1"), 400);
    REQUIRE(refused.status == 400);
    REQUIRE(refused.header("Retry-After").empty());
    REQUIRE(refused.body.find("ask the operators") != std::string::npos);
    REQUIRE(gateway.call(requestFor("/once/other", "a2")).status == 200);
    REQUIRE(server.count("/once/x") == 0);
    gateway.store.append(topic, fingerprintText(), "");
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a3"), 200).status == 200);
}

// Guards against records that refuse requests for ever or that nobody wrote.
TEST_CASE("Expired and unreadable quarantine records refuse nothing")
{
    ScriptedServer server([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "done"));
    });
    GatewayUnderTest gateway;
    gateway.store.append(topic, fingerprintText(), recordUntil(wallNow() - seconds(1)));
    gateway.store.append(topic, "not a fingerprint", "{}");
    gateway.store.append(topic, std::string(32, 'a'), "no JSON");
    gateway.startWithBackend("i-1", "plain", server);
    REQUIRE(gateway.call(requestFor("/once/x", "a1")).status == 200);
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a2"), 200).status == 200);
}

TEST_CASE("Quarantine records survive encoding and decoding, and malformed ones are refused")
{
    const platform::QuarantineRecord record{.crashes = 3, .until = WallTime(milliseconds(1234))};
    REQUIRE(platform::decodeQuarantine(platform::encodeQuarantine(record)).value() == record);
    REQUIRE(platform::decodeQuarantine("{}").has_error());
    REQUIRE(platform::decodeQuarantine("[1]").has_error());
    REQUIRE(platform::decodeQuarantine(R"({"until_ms":"soon"})").has_error());
}

TEST_CASE("Messages about crashes survive encoding and decoding, and truncated ones are refused")
{
    const CrashReport report{.server = "i-1",
                             .startedAt = 7,
                             .service = "s",
                             .servers = 12,
                             .ageMilliseconds = 40,
                             .running = {{.request = FingerprintBytes{1, 2}},
                                         {.request = FingerprintBytes{3},
                                          .parts = {FingerprintBytes{4}, FingerprintBytes{5}},
                                          .ranMilliseconds = 60,
                                          .sends = {1, 4000000000}}}};
    const auto decoded = decodeMessage(encodeMessage(report)).value();
    const auto &same = std::get<CrashReport>(decoded);
    REQUIRE(same.server == report.server);
    REQUIRE(same.startedAt == report.startedAt);
    REQUIRE(same.servers == report.servers);
    REQUIRE(same.ageMilliseconds == report.ageMilliseconds);
    REQUIRE(same.running == report.running);
    const CompletionReport completion{.ageMilliseconds = 5, .requests = {FingerprintBytes{9}}};
    const auto completed = decodeMessage(encodeMessage(completion)).value();
    REQUIRE(std::get<CompletionReport>(completed).requests == completion.requests);
    const CopyReport copies{.ageMilliseconds = 5,
                            .request = FingerprintBytes{9},
                            .endedCopies = 3,
                            .countedAgoMilliseconds = 700,
                            .lastSends = {{4000000000, 20, true}, {7, 10, false}}};
    REQUIRE(std::get<CopyReport>(decodeMessage(encodeMessage(copies)).value()) == copies);
    std::string bytes = encodeMessage(completion);
    bytes.pop_back();
    REQUIRE(decodeMessage(bytes).has_error());
}

// Guards against a record of another writer that stops a gateway from starting, or that is lost.
TEST_CASE("Records of crashes survive encoding and decoding, and malformed ones are refused")
{
    const platform::EvidenceRecord record{
        .writtenAt = WallTime(milliseconds(1234)),
        .messages = {encodeMessage(CompletionReport{.requests = {FingerprintBytes{9}}}), "\0x"}};
    REQUIRE(platform::decodeEvidence(platform::encodeEvidence(record)).value() == record);
    REQUIRE(platform::decodeEvidence("{}").has_error());
    REQUIRE(platform::decodeEvidence("[1]").has_error());
    REQUIRE(platform::decodeEvidence(R"({"at_ms":1,"messages":7})").has_error());
    REQUIRE(platform::decodeEvidence(R"({"at_ms":1,"messages":[7]})").has_error());
    REQUIRE(platform::decodeEvidence(R"({"at_ms":1,"messages":["0g"]})").has_error());
    REQUIRE(platform::decodeEvidence(R"({"at_ms":1,"messages":["abc"]})").has_error());
}

// Guards against the same at the start of a whole gateway.
TEST_CASE("A gateway starts and serves beside unreadable records of crashes")
{
    ScriptedServer server([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "done"));
    });
    GatewayUnderTest gateway;
    gateway.store.append(platform::evidenceTopic, "front-7", "no JSON");
    gateway.store.append(platform::evidenceTopic, "front-8", R"({"at_ms":1,"messages":["0g"]})");
    gateway.store.append(platform::evidenceTopic, "front-9",
                         platform::encodeEvidence({.writtenAt = wallNow(), .messages = {"x"}}));
    gateway.startWithBackend("i-1", "plain", server);
    REQUIRE(gateway.callUntil(requestFor("/once/x", "a1"), 200).status == 200);
}
