#include <atomic>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <poll.h>

#include <catch2/catch.hpp>

#include "Gateway/BrokenAnswers.h"
#include "Gateway/LeadingSidecar.h"
#include "Gateway/ScriptedAnswers.h"
#include "platform/RankCodec.h"
#include "platform/RequestCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

OddInput oddReport(const std::string &field, const std::string &value)
{
    return {field + " " + value, [field, value](LeadingSidecar &sidecar) {
                sidecar.setOdd(EngineAnswers{.report = reportWith(field, value)});
            }};
}

OddInput oddExperts(const std::string &experts)
{
    return {"experts " + experts, [experts](LeadingSidecar &sidecar) {
                sidecar.setOdd(
                    EngineAnswers{.experts = R"({"map":{"version":0,"experts":)" + experts + "}}"});
            }};
}

/// The same as a status of the other rank, with a change.
OddInput oddStatus(const std::string &name, const std::function<void(RankStatus &)> &change)
{
    return {"status " + name, [change](LeadingSidecar &sidecar) {
                RankStatus status = usualStatusOf(0);
                change(status);
                sidecar.setOddStatus(status);
            }};
}

OddInput oddProfile(const std::string &name, const ExpertProfile &profile)
{
    return {"profile " + name, [profile](LeadingSidecar &sidecar) { sidecar.setOdd(profile); }};
}

OddInput oddCounts(const std::string &counts)
{
    return {"counts " + counts, [counts](LeadingSidecar &sidecar) {
                sidecar.setOdd(EngineAnswers{.counts = R"({"step":9,"epoch":1,"expert_counts":)"
                                                 + counts + "}"});
            }};
}

} // namespace

// Guards against a sidecar that ends, or no longer balances its group, because of experts that its
// profile does not have.
TEST_CASE("A sidecar leads on after its engine has named experts that do not exist")
{
    checkSidecars({oddExperts("[[0,4]]"), oddExperts("[[0,400000000]]"),
                   oddExperts("[[0,4000000000]]"), oddExperts("[[0,4294967296]]"),
                   oddExperts("[[0,-1]]"), oddExperts("[[0,2,0,2,0,2,0,2]]"), oddExperts("[]")});
}

// Guards against the same because of experts in the status of another sidecar.
TEST_CASE("A sidecar leads on after another one has named experts that do not exist")
{
    checkSidecars({oddStatus("4",
                             [](RankStatus &status) {
                                 status.experts = {{1, 4}};
                             }),
                   oddStatus("4e8",
                             [](RankStatus &status) {
                                 status.experts = {{1, 400'000'000}};
                             }),
                   oddStatus("twice",
                             [](RankStatus &status) {
                                 status.experts = {{1, 1}};
                             }),
                   oddStatus("sets", [](RankStatus &status) {
                       status.experts = {{1}, {3}};
                   })});
}

// Guards against a sidecar that ends, or no longer follows its group, because of absurd numbers.
TEST_CASE("A sidecar leads on after its engine has reported absurd numbers")
{
    checkSidecars({oddReport("size", "4000000000"), oddReport("size", "40000000000"),
                   oddReport("rank", "4000000000"), oddReport("rank", "-1"),
                   oddReport("epoch", "18446744073709551615"),
                   oddReport("map", "18446744073709551615"),
                   oddReport("step", "18446744073709551615"), oddReport("pace", "1e300"),
                   oddReport("pace", "-1e300"), oddReport("held", "18446744073709551615"),
                   oddReport("armed", "18446744073709551615")});
}

// Guards against the same because of numbers in the status of another sidecar.
TEST_CASE("A sidecar leads on after another one has reported absurd numbers")
{
    checkSidecars(
        {oddStatus("rank", [](RankStatus &status) { status.report.rank = 4'000'000'000; }),
         oddStatus("size", [](RankStatus &status) { status.report.groupSize = 4'000'000'000; }),
         oddStatus("epoch", [](RankStatus &status) { status.report.epoch = ~0ULL; }),
         oddStatus("inf", [](RankStatus &status) { status.report.slowdown = INFINITY; }),
         oddStatus("nan", [](RankStatus &status) { status.report.slowdown = NAN; }),
         oddStatus("version", [](RankStatus &status) { status.report.prepared = ~0ULL; })});
}

// Guards against a leader that ignores its ranks for ever because one of them was in a later epoch.
TEST_CASE("A sidecar leads on after one rank has reported a later epoch or another rank")
{
    checkSidecars(
        {oddReport("epoch", "1000000000"), oddReport("map", "9007199254740991"),
         oddStatus("epoch", [](RankStatus &status) { status.report.epoch = 1'000'000'000; }),
         oddStatus("version",
                   [](RankStatus &status) { status.report.prepared = 9'007'199'254'740'991; }),
         oddStatus("rank", [](RankStatus &status) {
             status.report.rank = 5;
             status.report.groupSize = 6;
         })});
}

// Guards against a sidecar that ends for want of memory because of the sizes in the engine list.
TEST_CASE("A sidecar leads on after an engine list has had absurd sizes")
{
    constexpr std::uint32_t large = 4'000'000'000;
    checkSidecars(
        {oddProfile("sets", {.sets = large, .expertsPerSet = 4, .expertsPerRank = 2}),
         oddProfile("experts", {.sets = 1, .expertsPerSet = large, .expertsPerRank = 2}),
         oddProfile("both", {.sets = large, .expertsPerSet = large, .expertsPerRank = large}),
         oddProfile("places", {.sets = 1, .expertsPerSet = 4, .expertsPerRank = large}),
         oddProfile("copies", {.sets = 1, .expertsPerSet = 4, .copiesPerMap = large}),
         oddProfile("time", {.sets = 1, .expertsPerSet = 4, .copyMilliseconds = INFINITY}),
         oddProfile("no time", {.sets = 1, .expertsPerSet = 4, .copyMilliseconds = NAN})});
}

// Guards against a sidecar that ends for want of memory because it derives the first map from the
// sizes of a list or of its engine's report.
TEST_CASE("A sidecar leads on after an order to change the first map of absurd sizes")
{
    const std::vector<GroupMessage> orders = {
        RankCommand{.order = {.kind = RankOrderKind::Prepare, .epoch = 1, .version = 7},
                    .changes = {{4'000'000'000, 4'000'000'000, {4'000'000'000}}},
                    .group = "g"}};
    checkSidecars(
        {{"size of the report",
          [&orders](LeadingSidecar &sidecar) {
              sidecar.setOdd(EngineAnswers{.report = reportWith("size", "4000000000")});
              sidecar.setOdd(orders);
          }},
         {"sets of the list",
          [&orders](LeadingSidecar &sidecar) {
              sidecar.setOdd(ExpertProfile{.sets = 4'000'000'000, .expertsPerSet = 4});
              sidecar.setOdd(orders);
          }},
         {"order alone", [&orders](LeadingSidecar &sidecar) { sidecar.setOdd(orders); }}});
}

// Guards against counts whose conversion is undefined, and against demand that hides all other for
// minutes.
TEST_CASE("A sidecar leads on after its engine has counted absurd numbers of choices")
{
    checkSidecars({oddCounts("[1e300,0,0,0]"), oddCounts("[-1e300,0,0,0]"), oddCounts("[-1,0,0,0]"),
                   oddCounts("[18446744073709551615,0,0,0]"), oddCounts("[[1],2,3,4]"),
                   oddCounts("[" + std::string(100'000, '1') + "]")});
    const auto countsOf = [](const std::string &counts) {
        HttpResponse response;
        response.head.status = 200;
        response.body = R"({"step":9,"epoch":1,"expert_counts":)" + counts + "}";
        return platform::decodeExpertCounts(response);
    };
    for (const std::string counts :
         {"[1e300]", "[-1]", "[18446744073709551615]", "[9e15]", "[null]", "[\"1\"]"}) {
        CAPTURE(counts);
        CHECK(countsOf(counts).has_error());
    }
    CHECK(countsOf("[0,5120,2e9]").value().counts
          == std::vector<std::uint64_t>{0, 5120, 2'000'000'000});
    CountsReply reply = usualCounts();
    reply.counts.front() = ~0ULL;
    CHECK(decodeMessage(encodeMessage(reply)).has_error());
    reply = usualCounts();
    reply.ranks = 4'000'000'000;
    CHECK(decodeMessage(encodeMessage(reply)).has_error());
}

// Guards against a sidecar that exceeds the memory of its VM because of its engine's answers.
TEST_CASE("Answers of an engine without end or of any kind stay within a sidecar's memory")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string filler(16384, 'x');
    const auto endless = [](const std::string &begin, const std::string &repeated) {
        return [begin, repeated](ScriptPeer &peer) {
            bool open = peer.trySend(begin);
            for (std::size_t sent = 0; open && sent < 256 * megabyte; sent += repeated.size())
                open = peer.trySend(repeated);
            peer.close();
        };
    };
    const auto whole = [](const std::string &element) {
        // As long as an answer of the store may be.
        std::string body = R"({"map":{"version":0,"experts":[)";
        while (body.size() + 2 * element.size() < 4 * megabyte - 10)
            body += element + ",";
        body += element + "]}}";
        return [answer = plainResponse(200, "", body)](ScriptPeer &peer) { peer.trySend(answer); };
    };
    const std::vector<std::pair<std::string, std::function<void(ScriptPeer &)>>> answers = {
        {"fields", endless(head, "X-More: " + filler + "\r\n")},
        {"line", endless(head + "X-More: ", filler)},
        {"status", endless("HTTP/1.1 200 ", filler)},
        {"no answer", endless("", filler)},
        {"body", endless(head + "Connection: close\r\n\r\n", filler)},
        {"chunks", endless(head + "Transfer-Encoding: chunked\r\n\r\n", chunk(filler))},
        {"chunk line", endless(head + "Transfer-Encoding: chunked\r\n\r\n5;", filler)},
        {"objects", whole("{}")},
        {"keys", whole("{\"\":1}")},
        {"numbers", whole("0")},
        {"lists", whole("[1]")}};
    std::vector<OddInput> inputs;
    for (const auto &answer : answers) {
        inputs.push_back({answer.first, [&answer](LeadingSidecar &sidecar) {
                              sidecar.setAnswer(answer.second);
                          }});
    }
    checkSidecars(inputs);
}

// Guards against a sidecar that ends, or no longer balances its group, because of bytes that are no
// answers.
TEST_CASE("A sidecar leads on after its engine's answers were broken")
{
    constexpr std::size_t step = 9;
    const std::vector<RawAnswer> all = allBrokenAnswers();
    std::vector<OddInput> inputs;
    for (std::size_t at = 0; at < all.size(); at += step) {
        inputs.push_back({all[at].name, [broken = all[at]](LeadingSidecar &sidecar) {
                              sidecar.setAnswer([broken](ScriptPeer &peer) {
                                  sendBytes(broken, {.head = "GET /report HTTP/1.1", .body = ""},
                                            peer);
                              });
                          }});
    }
    checkSidecars(inputs);
}

// Guards against a server that seems free because its numbers of requests overflow when added.
TEST_CASE("A load with more requests than any engine has is refused")
{
    constexpr std::uint32_t half = 1U << 31;
    EngineLoad load{.engine = {firstPeerIp, 1}, .running = half, .waiting = half};
    CHECK(decodeMessage(encodeMessage(load)).has_error());
    load.running = 12;
    load.waiting = 400;
    CHECK(decodeMessage(encodeMessage(load)).has_value());
    const auto loadOf = [](const std::string &value) {
        HttpResponseHead head;
        head.status = 200;
        head.fields = {{"Wisteriawind-Instance-Load", value}};
        return platform::decodeAnswerHead(head).load;
    };
    CHECK_FALSE(loadOf("2147483648,2147483648,8"));
    CHECK_FALSE(loadOf("4294967296,0,8"));
    CHECK_FALSE(loadOf("-1,0,8"));
    CHECK(loadOf("12,400,8").value().waiting == 400);
}

// Guards against gateways and sidecars that end, or stop following the list, because of one entry
// of another writer.
TEST_CASE("A gateway and a sidecar follow the list through odd entries of other writers")
{
    constexpr std::uint32_t ip = firstSidecarIp + 100;
    const std::uint16_t messages = freePort();
    ScriptedServer engine(
        [](const SeenRequest &request, ScriptPeer &peer) {
            const EngineAnswers usual;
            if (request.target() == "/report")
                peer.send(plainResponse(200, "", usual.report));
            else if (request.target().starts_with("/picked"))
                peer.send(plainResponse(200, "", usual.experts));
            else
                peer.send(sealed(request, 200, "sound"));
        },
        ip);
    StoreStandIn store;
    nlohmann::json configuration = configurationOf(1);
    configuration["routes"].push_back(routeOf("/model/", "idempotent", "model", false));
    configuration["services"] = {
        {{"name", "model"},
         {"engine",
          {{"slot_count", 4}, {"sets", 1}, {"experts", 4}, {"places", 2}, {"spare", 1}}}}};
    store.put("keyed.op", "config", configuration);
    const nlohmann::json usual = listEntryOf("model", engine.endpoint());
    store.put("keyed.servers", "i-1", usual);
    LoggedProcess sidecar("wisteria-sidecar",
                          writeSettings("side-1",
                                        {.store = store.endpoint(),
                                         .callers = {ip, 1},
                                         .engine = engine.endpoint(),
                                         .messages = messages}));
    const Endpoint callers{INADDR_LOOPBACK, freePort()};
    LoggedProcess gateway(
        "wisteria-gateway",
        writeSettings("front-1",
                      {.store = store.endpoint(), .callers = callers, .messages = messages}));
    const auto serves = [&](const std::string &id) {
        return callServer(callers, requestFor("/model/x", id)).status == 200;
    };
    REQUIRE(eventually([&] { return serves("a0"); }));
    const std::vector<std::pair<std::string, std::string>> odd = {
        {"slot_count", "4000000000"},
        {"slot_count", "1e400"},
        {"slot_count", "0"},
        {"cold_remaining_ms", "1e300"},
        {"cold_remaining_ms", "18446744073709551615"},
        {"sequence", "18446744073709551615"},
        {"sequence", "-1"},
        {"born", "18446744073709551615"},
        {"born", "1e300"},
        {"version", "18446744073709551615"},
        {"address", "\"127.0.0.1:99999\""},
        {"address", "\"127.0.0.1:0\""},
        {"address", "\"127.0.0.1:-1\""},
        {"address", "\"127.255.255.255:9\""},
        {"address", "\"0.0.0.0:9\""},
        {"address", "\"[::1]:80\""},
        {"address", "\"localhost:80\""},
        {"address", "[127,0,0,1]"},
        {"service", "\"\""},
        {"service", "{}"},
        {"zone", "7"},
        {"state", "[]"}};
    int written = 0;
    for (const auto &[field, value] : odd) {
        nlohmann::json entry = listEntryOf("model", {INADDR_LOOPBACK, 9});
        entry["cold_remaining_ms"] = 0;
        entry[field] = "@";
        std::string text = entry.dump();
        text.replace(text.find("\"@\""), 3, value);
        const std::string id = "x-" + std::to_string(++written);
        CAPTURE(field, value);
        store.append("keyed.servers", id, text);
        CHECK(eventually([&] { return serves(id); }));
        // The same of the server itself, which then writes its own again.
        entry = usual;
        entry[field] = "@";
        text = entry.dump();
        store.append("keyed.servers", "i-1", text.replace(text.find("\"@\""), 3, value));
        store.append("keyed.servers", id, "");
        store.put("keyed.servers", "i-1", usual);
    }
    CHECK(eventually([&] { return serves("last"); }));
    CHECK(gateway.running());
    CHECK(sidecar.running());
    // Only a sidecar that has the list leads.
    CHECK(eventually([&] { return sidecar.count("leader.begin") > 0; }));
    // The gateway follows both entries and the sidecar beside a new engine.
    store.put("keyed.servers", "i-1", listEntryOf("model", engine.endpoint(), 4, "draining"));
    CHECK(eventually([&] { return !serves("drained"); }));
    store.append("keyed.servers", "i-1", "");
    store.put("keyed.servers", "i-2", usual);
    CHECK(eventually([&] { return serves("next"); }));
    CHECK(gateway.count("backend.bad_entry") >= 10);
}
