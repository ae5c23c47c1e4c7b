#include <atomic>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <poll.h>

#include <catch2/catch.hpp>

#include "Gateway/DatagramPeer.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/LoggedGateway.h"
#include "Gateway/ScriptedAnswers.h"
#include "platform/RankCodec.h"
#include "platform/RequestCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
/// Memory of a sidecar's VM.
constexpr std::size_t sidecarMemory = 128 * megabyte;
/// Address of the first sidecar's VM, and of the VM beside it.
constexpr std::uint32_t firstSidecarIp = 0x7F000102;
constexpr std::uint32_t firstPeerIp = 0x7F000202;

/// What an engine answers to each read. The usual values are those of rank 0 in a group of two.
struct EngineAnswers
{
    std::string report = R"({"step":9,"map":0,"prepared":0,"size":2,)"
                         R"("group":{"name":"g","epoch":1,"rank":0,"state":"open"}})";
    std::string counts = R"({"step":9,"epoch":1,"expert_counts":[1,2,3,4]})";
    std::string experts = R"({"map":{"version":0,"experts":[[0,2]]}})";
};

/// A report in which one field has another value, as JSON.
std::string reportWith(const std::string &field, const std::string &value)
{
    nlohmann::json report = nlohmann::json::parse(EngineAnswers{}.report);
    nlohmann::json &object = report["group"].contains(field) ? report["group"] : report;
    object[field] = "@";
    std::string text = report.dump();
    return text.replace(text.find("\"@\""), 3, value);
}

constexpr ExpertProfile usualProfile{
    .sets = 1, .expertsPerSet = 4, .expertsPerRank = 2, .copiesPerMap = 2};

CountsReply usualCounts()
{
    return {.group = "g", .epoch = 1, .ranks = 2, .passes = 1, .counts = {9000, 10, 9000, 10}};
}

RankStatus usualStatusOf(std::uint32_t ip)
{
    return {.engine = {ip, 1},
            .readAtMilliseconds = 1,
            .report = {.group = "g", .epoch = 1, .rank = 1, .groupSize = 2, .groupOpen = true},
            .experts = {{1, 3}}};
}

/// A sidecar process that leads a group of two. The test acts as the VM beside the other rank.
class LeadingSidecar
{
public:
    explicit LeadingSidecar(std::uint32_t number)
        : peerIp_(firstPeerIp + number), address_{firstSidecarIp + number, freePort()},
          engine_([this](const SeenRequest &request, ScriptPeer &peer) { answer(request, peer); },
                  address_.ip),
          sidecar_("wisteria-sidecar",
                   writeSettings("side-1",
                                 {.store = {INADDR_LOOPBACK, 1},
                                  .callers = {address_.ip, 1},
                                  .engine = engine_.endpoint(),
                                  .messages = address_.port})),
          peer_(peerIp_, address_)
    { }

    /// Sets what the engine answers, and what the other rank's sidecar sends.
    void setOdd(const EngineAnswers &answers)
    {
        answers_ = std::make_shared<EngineAnswers>(answers);
    }
    void setOddStatus(RankStatus status)
    {
        status.engine.ip = peerIp_;
        oddStatus_ = std::move(status);
    }

    void setOdd(const ExpertProfile &profile) { oddProfile_ = profile; }
    void setOdd(const CountsReply &counts) { oddCounts_ = counts; }
    /// Sets messages that are sent beside the usual ones.
    void setOdd(std::vector<GroupMessage> messages) { oddMessages_ = std::move(messages); }

    /// Sets an answer of the engine to all reads, which may have no end.
    void setUnending(std::function<void(ScriptPeer &)> send)
    {
        unending_ = std::make_shared<std::function<void(ScriptPeer &)>>(std::move(send));
    }

    void endOdd()
    {
        answers_ = std::make_shared<EngineAnswers>();
        oddStatus_.reset();
        oddProfile_.reset();
        oddCounts_.reset();
        oddMessages_.clear();
        unending_.store(nullptr);
    }

    /// Sends what a gateway and the other rank's sidecar send all the time.
    void sendUsual() const
    {
        peer_.send(EngineList{.profile = oddProfile_.value_or(usualProfile),
                              .engines = {engine_.endpoint(), {peerIp_, 1}}});
        peer_.send(oddStatus_.value_or(usualStatusOf(peerIp_)));
        // Rank 0 has both experts that are chosen, so another map is needed.
        peer_.send(oddCounts_.value_or(usualCounts()));
        for (const GroupMessage &message : oddMessages_)
            peer_.send(message);
    }

    bool running() { return sidecar_.running(); }
    std::size_t peakMemory() const { return sidecar_.peakMemory(); }
    /// Number of orders to the engine.
    std::size_t orders() const { return engine_.count("/order"); }

private:
    void answer(const SeenRequest &request, ScriptPeer &peer)
    {
        if (const auto send = unending_.load()) {
            (*send)(peer);
            return;
        }
        const auto answers = answers_.load();
        if (request.target() == "/report")
            peer.send(plainResponse(200, "", answers->report));
        else if (request.target() == "/picked")
            peer.send(plainResponse(200, "", answers->counts));
        else if (request.target() == "/picked?lists=1")
            peer.send(plainResponse(200, "", answers->experts));
        else
            peer.send(plainResponse(202, "", ""));
    }

    std::atomic<std::shared_ptr<EngineAnswers>> answers_ = std::make_shared<EngineAnswers>();
    std::atomic<std::shared_ptr<std::function<void(ScriptPeer &)>>> unending_;
    std::optional<RankStatus> oddStatus_;
    std::optional<ExpertProfile> oddProfile_;
    std::optional<CountsReply> oddCounts_;
    std::vector<GroupMessage> oddMessages_;
    std::uint32_t peerIp_;
    Endpoint address_;
    ScriptedServer engine_;
    LoggedProcess sidecar_;
    DatagramPeer peer_;
};

/// An odd input to a sidecar.
struct OddInput
{
    std::string name;
    std::function<void(LeadingSidecar &)> set;
};

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

/// Runs each input at a sidecar of its own, at the same time: the input for a while in which the
/// sidecar begins to lead, then usual ones.
void checkSidecars(const std::vector<OddInput> &inputs)
{
    std::vector<std::unique_ptr<LeadingSidecar>> sidecars;
    for (const OddInput &input : inputs) {
        auto &added = sidecars.emplace_back(
            std::make_unique<LeadingSidecar>(static_cast<std::uint32_t>(sidecars.size())));
        input.set(*added);
    }
    const auto sendFor = [&sidecars](milliseconds time, const std::function<bool()> &done) {
        for (const TimePoint end = monotonicNow() + time; monotonicNow() < end && !done();) {
            for (const auto &sidecar : sidecars)
                sidecar->sendUsual();
            ::poll(nullptr, 0, 50);
        }
    };
    sendFor(milliseconds(2500), [] { return false; });
    std::vector<std::size_t> ordersBefore;
    for (const auto &sidecar : sidecars) {
        sidecar->endOdd();
        ordersBefore.push_back(sidecar->orders());
    }
    const auto isFollowing = [&](std::size_t i) { return sidecars[i]->orders() > ordersBefore[i]; };
    sendFor(seconds(8), [&] {
        for (std::size_t i = 0; i < sidecars.size(); ++i) {
            if (sidecars[i]->running() && !isFollowing(i))
                return false;
        }
        return true;
    });
    for (std::size_t i = 0; i < sidecars.size(); ++i) {
        CAPTURE(inputs[i].name);
        CHECK(sidecars[i]->running());
        CHECK(isFollowing(i));
        CHECK(sidecars[i]->peakMemory() < sidecarMemory);
    }
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
                              sidecar.setUnending(answer.second);
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
