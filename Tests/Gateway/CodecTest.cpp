#include <catch2/catch.hpp>

#include "Connection/HttpReader.h"
#include "Version/GroupMessages.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ProcessSettings.h"
#include "platform/RankCodec.h"
#include "platform/RequestCodec.h"
#include "platform/StoreCodec.h"

using namespace wisteria;
using namespace wisteria::platform;

namespace {

const std::string goodSettings = "node_name=front-1\nip=10.1.0.4\nzone=a\n"
                                 "internal_port_range=7340,7355\nplatform.address=10.0.0.1:80\n";

RequestFault faultOf(const std::string &bytes)
{
    RequestReader reader([] { return HttpLimits{.headerBytes = 1024, .bodyBytes = 100}; });
    reader.feed(bytes);
    return reader.fault();
}

HttpResponse okResponse(const std::string &body)
{
    HttpResponse response;
    response.head.status = 200;
    response.body = body;
    return response;
}

} // namespace

TEST_CASE("Settings errors name the wrong setting, and unknown settings are ignored")
{
    REQUIRE(parseProcessSettings(goodSettings).has_value());
    const auto missing = parseProcessSettings("ip=10.1.0.4\n");
    REQUIRE(missing.error().message.find("node_name=") != std::string::npos);
    const auto wrong = parseProcessSettings(goodSettings + "bounds.budget_slack=many\n");
    REQUIRE(wrong.error().message.find("bounds.budget_slack") != std::string::npos);
    REQUIRE(parseProcessSettings(goodSettings + "app=nowhere\n").has_error());
    const ProcessSettings bare = parseProcessSettings(goodSettings).value();
    REQUIRE(checkGatewaySettings(bare).error().message.find("listen.front") != std::string::npos);
    REQUIRE(checkSidecarSettings(bare).error().message.find("app=") != std::string::npos);
    REQUIRE(parseProcessSettings(goodSettings + "something.new=1\nnonsense\n").has_value());
}

// Guards against a platform's request for a rule that is overlooked because of spaces or others.
TEST_CASE("Contracts in the settings are names separated by commas")
{
    REQUIRE_FALSE(parseProcessSettings(goodSettings).value().fairQueueing);
    const auto settings = parseProcessSettings(goodSettings + "contracts=other, pressure\n");
    REQUIRE(settings.value().fairQueueing);
    REQUIRE_FALSE(
        parseProcessSettings(goodSettings + "contracts=pressures\n").value().fairQueueing);
}

TEST_CASE("A backend entry with a missing or wrong field is refused")
{
    const std::string good =
        R"({"service":"s","address":"10.0.0.1:80","slot_count":4,"state":"ready","born":17})";
    REQUIRE(decodeBackendEntry("i-1", good).value().startedAt == 17);
    for (const char *bad :
         {"", "null", "[]", "\xff\xfe", R"({"service":"s"})",
          R"({"service":1,"address":"10.0.0.1:80","slot_count":4,"state":"ready"})",
          R"({"service":"s","address":"host:80","slot_count":4,"state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:80","slot_count":0,"state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:80","slot_count":4,"state":"odd"})"})
        REQUIRE(decodeBackendEntry("i-1", bad).has_error());
}

TEST_CASE("A configuration that can't be read is refused, and a valid one is decoded")
{
    for (const char *bad : {"", "{", "{}", R"({"version":1})", R"({"version":"1","routes":[]})",
                            R"({"version":1,"routes":[{"name":"r"}]})"})
        REQUIRE(decodeConfiguration(bad).has_error());
    const auto good = decodeConfiguration(
        R"({"version":3,"routes":[{"name":"r","hostname":"h","path_prefix":"/","kind":"streaming",
            "timeout_ms":8000,"max_attempts":2,"resumable":true,"gap_aim_ms":120,
            "traffic_split":[{"service":"a","traffic_weight":9}]}],
            "tenants":[{"name":"t","api_keys":["k"],"priority":2}]})");
    REQUIRE(good.value().routes.front().repeatable());
    REQUIRE(good.value().routes.front().targetGap == milliseconds(120));
    const auto minimal = decodeConfiguration(
        R"({"version":3,"routes":[{"hostname":"h","path_prefix":"/","kind":"idempotent"}]})");
    REQUIRE(minimal.value().routes.front().timeout > milliseconds(0));
    REQUIRE(good.value().organisationOfKey.at("k").priority == 2);
}

TEST_CASE("The store's records are decoded, and malformed answers are refused")
{
    const std::string header("\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0\5", 16);
    const std::string record("\0\0\0\4\1kab", 8);
    const auto page = decodeLogRead(okResponse(header + record), 6).value();
    REQUIRE(page.endOffset == 7);
    REQUIRE(page.oldestOffset == 5);
    REQUIRE(page.nextOffset == 7);
    REQUIRE(page.records.front().key == "k");
    REQUIRE(page.records.front().value == "ab");
    REQUIRE(decodeLogRead(okResponse(header + std::string(2, 0)), 6).has_error());
    REQUIRE(decodeLogRead(okResponse("short"), 6).has_error());
    HttpResponse gone = okResponse("");
    gone.head.status = 410;
    REQUIRE(decodeLogRead(gone, 6).error().kind == ErrorKind::NotFound);
    REQUIRE(decodeNewest(okResponse("{}")).has_error());
    REQUIRE(decodeNewest(okResponse(R"({"entries":[{"key":"a","value":"aGk="}],"end":4})"))
                .value()
                .records.front()
                .value
            == "hi");
}

TEST_CASE("A rank's report is decoded, and missing fields keep their defaults")
{
    const auto report =
        decodeReport(okResponse(
                         R"({"group":{"name":"g","epoch":2,"rank":3,"state":"open"},"size":16,
                             "running":4,"waiting":1,"pace":1.5,"step":9,"map":7,
                             "prepared":{"version":8,"experts":[]},
                             "armed":{"version":8,"step":11},"held":11})"))
            .value();
    REQUIRE(report.groupOpen);
    REQUIRE(report.prepared == 8);
    REQUIRE(report.armed == 8);
    REQUIRE(report.armedPass == 11);
    REQUIRE(report.heldPass == 11);
    const auto idle = decodeReport(okResponse(R"({"armed":null,"held":null})")).value();
    REQUIRE_FALSE(idle.heldPass);
    REQUIRE(idle.armed == 0);
    REQUIRE(decodeReport(okResponse("nonsense")).has_error());
    REQUIRE(decodeExpertCounts(okResponse(R"({"expert_counts":[1,"x"]})")).has_error());
}

TEST_CASE("An order contains only the fields that its kind requires")
{
    const std::string hold =
        orderRequest({.kind = RankOrderKind::Hold, .epoch = 3, .version = 0, .pass = 12});
    REQUIRE(hold.find(R"("step":12)") != std::string::npos);
    REQUIRE(hold.find("version") == std::string::npos);
    const std::string prepare = orderRequest(
        {.kind = RankOrderKind::Prepare, .epoch = 3, .version = 5, .pass = 0, .map = {{{0}, {1}}}});
    REQUIRE(prepare.find(R"("map":[[[0],[1]]])") != std::string::npos);
    HttpResponse conflict;
    conflict.head.status = 409;
    REQUIRE(decodeOrderAnswer(conflict).error().kind == ErrorKind::Conflict);
}

// Guards against request smuggling: two servers find the end of a request at different places when
// its length is stated twice or its body has a transfer coding that only one of them knows, so that
// one request of a caller runs as two.
TEST_CASE("Malformed, oversized and ambiguously framed requests are refused")
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
    REQUIRE(faultOf(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc")
            == RequestFault::Malformed);
    REQUIRE(faultOf(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")
            == RequestFault::Malformed);
    REQUIRE(faultOf(head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc")
            == RequestFault::Malformed);
    REQUIRE(faultOf(head + "Host: g\r\n\r\n") == RequestFault::Malformed);
    REQUIRE(faultOf("nonsense\r\n\r\n") == RequestFault::Malformed);
    REQUIRE(faultOf(head + "Content-Length: 200\r\n\r\n") == RequestFault::BodyTooLarge);
    REQUIRE(faultOf(head + "X: " + std::string(2000, 'x')) == RequestFault::HeaderTooLarge);
}

TEST_CASE("Requests are parsed from single bytes, with a chunked body, and after an earlier one")
{
    RequestReader reader([] { return HttpLimits{}; });
    const std::string two = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const char byte : two) {
        if (!reader.complete())
            reader.feed(std::string_view(&byte, 1));
        else
            break;
    }
    REQUIRE(reader.complete());
    REQUIRE(reader.takeRequest().body == "abcde");
    reader.feed("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(reader.complete());
    REQUIRE(reader.takeRequest().target == "/b");
}

TEST_CASE("Connection fields, the API key and a forged organisation are not forwarded")
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/x?q=1";
    request.fields = {{"Host", "h:80"},
                      {"Authorization", "Token k"},
                      {"Wisteriawind-Attempt-Id", "a1"},
                      {"Wisteriawind-Tenant", "forged"},
                      {"Wisteriawind-Request-Priority", "0"},
                      {"Connection", "X-Hop"},
                      {"X-Hop", "1"},
                      {"X-Kept", "2"}};
    const GatewayRequest decoded = decodeCallerRequest(request).value();
    REQUIRE(decoded.host == "h");
    REQUIRE(decoded.path() == "/x");
    REQUIRE(decoded.apiKey == "k");
    const std::string sent =
        encodeBackendRequest(decoded, {.expectedBackend = "i-1", .timeLeft = milliseconds(5)});
    REQUIRE(sent.find("X-Kept: 2") != std::string::npos);
    for (const char *absent : {"X-Hop", "Token k", "forged", "Connection", "Priority"})
        REQUIRE(sent.find(absent) == std::string::npos);
    request.fields.pop_back();
    request.fields.push_back({"Wisteriawind-Deadline-Ms", "soon"});
    REQUIRE(decodeCallerRequest(request).has_error());
}

TEST_CASE(
    "Messages between processes survive encoding and decoding, and malformed bytes are refused")
{
    RankStatus status{.engine = {7, 80}, .readAtMilliseconds = 12};
    status.report.group = "g";
    status.report.heldPass = 4;
    status.report.slowdown = 2.5;
    status.experts = {{1, 2}, {3}};
    const auto back = decodeMessage(encodeMessage(status)).value();
    const auto &read = std::get<RankStatus>(back);
    REQUIRE(read.engine == status.engine);
    REQUIRE(read.report.heldPass == 4);
    REQUIRE(read.report.slowdown == 2.5);
    REQUIRE(read.experts == status.experts);

    const CountsPoll poll{.engines = {{1, 2}, {3, 4}}};
    const auto pollBack = decodeMessage(encodeMessage(poll)).value();
    REQUIRE(std::get<CountsPoll>(pollBack).engines == poll.engines);

    // Counts are sent as square roots in 31 levels, which is exact for these values.
    const CountsReply reply{.group = "g", .epoch = 2, .ranks = 8, .counts = {0, 1, 31 * 31}};
    const auto replyBack = decodeMessage(encodeMessage(reply)).value();
    REQUIRE(std::get<CountsReply>(replyBack).group == "g");
    REQUIRE(std::get<CountsReply>(replyBack).epoch == 2);
    REQUIRE(std::get<CountsReply>(replyBack).ranks == 8);
    REQUIRE(std::get<CountsReply>(replyBack).counts == reply.counts);

    const auto rankPoll =
        decodeMessage(encodeMessage(RankPoll{.knownMaps = {7}, .group = "g", .rank = 3})).value();
    REQUIRE(std::get<RankPoll>(rankPoll).knownMaps == std::vector<std::uint64_t>{7});
    REQUIRE(std::get<RankPoll>(rankPoll).group == "g");
    REQUIRE(std::get<RankPoll>(rankPoll).rank == 3);
    const RankCommand command{.order = {.epoch = 2}, .group = "g"};
    REQUIRE(std::get<RankCommand>(decodeMessage(encodeMessage(command)).value()).group == "g");

    REQUIRE(decodeMessage("").has_error());
    REQUIRE(decodeMessage("\x93\x63\x01\x02").has_error());
    REQUIRE(decodeMessage(encodeMessage(status).substr(0, 9)).has_error());
}

// Guards against a fleet of two versions whose sidecars refuse each other's messages while it is
// updated.
TEST_CASE("Messages of the version without groups are decoded, also with additional elements")
{
    // [3, [7]] and [3, [7], "g", 3, true].
    const auto earlier = decodeMessage("\x92\x03\x91\x07").value();
    REQUIRE(std::get<RankPoll>(earlier).group.empty());
    REQUIRE(std::get<RankPoll>(earlier).rank == 0);
    const auto later = decodeMessage("\x95\x03\x91\x07\xA1g\x03\xC3").value();
    REQUIRE(std::get<RankPoll>(later).group == "g");
    // [5, 3, 1, 0, 9, [], 0, []]
    const std::string command("\x98\x05\x03\x01\x00\x09\x90\x00\x90", 9);
    REQUIRE(std::get<RankCommand>(decodeMessage(command).value()).group.empty());
}

// Guards against parts of prompts that are told apart by their case or tokens, and against the last
// part, which is the request's own, counting as shared.
TEST_CASE("The shared parts of a prompt are decoded without the last part and without token counts")
{
    const auto partsOf = [](const std::string &value) {
        HttpRequest request;
        request.method = "POST";
        request.fields = {{"Wisteriawind-Attempt-Id", "a1"}, {"Wisteriawind-Prompt-Prefix", value}};
        return decodeCallerRequest(std::move(request)).value().sharedPromptParts;
    };
    using Parts = std::vector<std::string>;
    REQUIRE(partsOf("5c1e07A2:800,91bd3f06:410,e4402b7d:250") == Parts{"5c1e07a2", "91bd3f06"});
    REQUIRE(partsOf("a1:7, b2:9,A1:3,c3:1") == Parts{"a1", "b2"});
    REQUIRE(partsOf("e4402b7d:250").empty());
    REQUIRE(partsOf(",,:5,").empty());
    REQUIRE(partsOf("a1,b2") == Parts{"a1"});
}
