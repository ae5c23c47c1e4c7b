#include <string>
#include <vector>

#include <poll.h>

#include <catch2/catch.hpp>

#include "Gateway/EngineVm.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/LoggedGateway.h"
#include "Process/BoundedJson.h"
#include "Version/GroupMessages.h"
#include "platform/ConfigurationCodec.h"
#include "platform/RankCodec.h"
#include "platform/StoreCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// As deep as a record of the store can hold.
constexpr std::size_t deepest = 130'000;

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Objects within objects, as far apart in their text as arrays are.
std::string nestedObjects(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += "{\"\":";
    return text + "1" + std::string(depth, '}');
}

/// An entry of a backend server in which a field has another value.
std::string entryWith(const std::string &field, const std::string &value,
                      const std::string &address = "10.0.0.1:80")
{
    std::string text = "{\"" + field + "\":" + value;
    const std::vector<std::pair<std::string, std::string>> others = {
        {"service", "\"plain\""}, {"address", "\"" + address + "\""},
        {"zone", "\"a\""},        {"slot_count", "4"},
        {"state", "\"ready\""},   {"sequence", "1"},
        {"born", "17"},           {"cold_remaining_ms", "0"}};
    for (const auto &[name, usual] : others) {
        if (name != field)
            text += ",\"" + name + "\":" + usual;
    }
    return text + "}";
}

/// An odd configuration: a pointer into a usual one, and the JSON text that stands there instead.
struct OddValue
{
    std::string at;
    std::string value;
};

/// A configuration with an engine and limits.
nlohmann::json usualConfiguration(int version)
{
    nlohmann::json configuration = configurationOf(version);
    configuration["services"] = {
        {{"name", "model"},
         {"engine",
          {{"slot_count", 4}, {"sets", 1}, {"experts", 4}, {"places", 2}, {"spare", 1}}}}};
    configuration["limits"] = {{"max_header_bytes", 16384}};
    nlohmann::json urgent = routeOf("/urgent/", "streaming", "model", true);
    urgent["priority"] = 0;
    urgent["gap_aim_ms"] = 120;
    configuration["routes"].push_back(urgent);
    return configuration;
}

std::string textWith(nlohmann::json configuration, const OddValue &odd)
{
    configuration[nlohmann::json::json_pointer(odd.at)] = "@";
    std::string text = configuration.dump();
    return text.replace(text.find("\"@\""), 3, odd.value);
}

bool isUnsigned(const std::string &value)
{
    return value.find_first_not_of("0123456789") == std::string::npos;
}

std::vector<OddValue> oddConfigurations()
{
    const std::string route = "/routes/1/";
    const std::string engine = "/services/0/engine/";
    std::vector<OddValue> odd = {{route + "name", nestedArrays(deepest)},
                                 {"/services/0/other", nestedObjects(deepest / 3)}};
    for (const std::string field : {"timeout_ms", "target_latency_ms", "gap_aim_ms"}) {
        for (const std::string value : {"1e18", "1000000000000000000", "18446744073709551615", "-1",
                                        "1e400", "\"5\"", "[1]", "{}"})
            odd.push_back({route + field, value});
    }
    for (const std::string field : {"max_attempts", "priority"}) {
        for (const std::string value : {"4294967296", "-1", "1e300", "[]"})
            odd.push_back({route + field, value});
    }
    for (const std::string field :
         {"header_timeout_ms", "idle_timeout_ms", "max_header_bytes", "max_body_bytes"}) {
        for (const std::string value : {"1000000000000000000", "18446744073709551615", "-1", "{}"})
            odd.push_back({"/limits/" + field, value});
    }
    for (const std::string field : {"sets", "experts", "places", "spare", "slot_count", "stride"}) {
        for (const std::string value : {"4000000000", "18446744073709551615", "-1", "\"4\""})
            odd.push_back({engine + field, value});
    }
    for (const std::string field : {"step_ms", "per_seq_ms", "read_per_s", "expert_mb", "link_mbps",
                                    "expert_share", "kv_capacity_tokens"}) {
        for (const std::string value : {"1e308", "-1e308", "[]"})
            odd.push_back({engine + field, value});
    }
    // Each for itself is refused; together they would have been the longest search for a limit.
    odd.push_back({"/services/0/engine", R"({"slot_count":4000000000,"step_ms":1e308,"sets":1})"});
    return odd;
}

HttpResponse answerOf(const std::string &body)
{
    HttpResponse response;
    response.head.status = 200;
    response.body = body;
    return response;
}

} // namespace

// Guards against a crash of every gateway by one entry whose author nests a value of the wrong type
// so deeply that writing it into a message overflows the stack.
TEST_CASE("An entry that nests deeply is refused, whichever field and kind of value it is")
{
    for (const std::string field : {"service", "address", "zone", "slot_count", "state", "version",
                                    "sequence", "born", "cold_remaining_ms", "unknown"}) {
        CAPTURE(field);
        for (const std::string &value : {nestedArrays(deepest), nestedObjects(deepest / 3)})
            CHECK(platform::decodeBackendEntry("i-1", entryWith(field, value)).has_error());
    }
    CHECK(platform::decodeBackendEntry("i-1", entryWith("extra", nestedArrays(8))).has_value());
}

// Guards against entries that fill the memory with names as long as a record.
TEST_CASE("An entry with a service or zone of over 255 bytes is refused")
{
    for (const std::string field : {"service", "zone"}) {
        CHECK(platform::decodeBackendEntry("i-1",
                                           entryWith(field, "\"" + std::string(256, 'x') + "\""))
                  .has_error());
        CHECK(platform::decodeBackendEntry("i-1",
                                           entryWith(field, "\"" + std::string(255, 'x') + "\""))
                  .has_value());
    }
}

// Guards against the same by other documents of the store and of engines.
TEST_CASE("No document of the store or of an engine that nests deeply is decoded")
{
    for (const std::string &deep : {nestedArrays(deepest), nestedObjects(deepest / 3)}) {
        CHECK(platform::decodeConfiguration(
                  R"({"version":1,"routes":[],"services":[{"name":"a","cold_s":)" + deep + "}]}")
                  .has_error());
        CHECK(platform::decodeQuarantine(R"({"until_ms":9,"with":)" + deep + "}").has_error());
        CHECK(platform::decodeNewest(answerOf(R"({"entries":[],"end":1,"x":)" + deep + "}"))
                  .has_error());
        CHECK(platform::decodeReport(answerOf(R"({"running":)" + deep + "}")).has_error());
        CHECK(platform::decodeExpertCounts(answerOf(R"({"expert_counts":)" + deep + "}"))
                  .has_error());
        CHECK(platform::decodeRankExperts(answerOf(R"({"map":{"experts":)" + deep + "}}"))
                  .has_error());
    }
}

// Guards against a datagram that ends a gateway or a sidecar, because decoding it calls the decoder
// once for each level.
TEST_CASE("A datagram that nests deeply is refused, and the gateway serves on")
{
    // Arrays of one element each.
    const std::string arrays = std::string(65'000, '\x91') + '\x01';
    // Objects with one key each.
    std::string objects;
    for (int i = 0; i < 21'000; ++i)
        objects += "\x81\xa1k";
    CHECK(decodeMessage(arrays).has_error());
    CHECK(decodeMessage(objects + '\x01').has_error());
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "sound"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", backend);
    sendDatagram(gateway.messageEndpoint(), arrays);
    sendDatagram(gateway.messageEndpoint(), objects + '\x01');
    CHECK(gateway.callUntil(requestFor("/again/x", "a1"), 200).status == 200);
}

// Guards against a bound that text in strings can evade or reach.
TEST_CASE("Only brackets outside strings count for the depth of a document")
{
    const std::string brackets(2 * maxJsonDepth, '[');
    CHECK(parseJsonObject("{\"a\":\"" + brackets + "\"}").has_value());
    CHECK(parseJsonObject("{\"a\":\"\\\"" + brackets + "\"}").has_value());
    CHECK(parseJsonObject("{\"a\":\"\\\\\",\"b\":" + nestedArrays(2 * maxJsonDepth) + "}")
              .has_error());
    CHECK(parseJsonObject("{\"a\":" + nestedArrays(maxJsonDepth - 1) + "}").has_value());
    CHECK(parseJsonObject("{\"a\":" + nestedArrays(maxJsonDepth) + "}").has_error());
}

// Guards against entries of another writer that end a gateway, or keep it from serving.
TEST_CASE("A gateway serves on while another writer puts unreadable entries into the list")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "sound"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", backend);
    const std::vector<std::string> values = {nestedArrays(deepest), nestedObjects(deepest / 3),
                                             "\"" + std::string(2 * deepest, 'x') + "\"",
                                             "[" + std::string(2 * deepest, '1') + "]"};
    int written = 0;
    for (const std::string field : {"service", "address", "state", "born", "cold_remaining_ms"}) {
        for (const std::string &value : values) {
            gateway.store.append("keyed.servers", "x-" + std::to_string(++written),
                                 entryWith(field, value));
        }
    }
    const std::string server = toText(backend.endpoint());
    gateway.store.append("keyed.servers", "i-2", entryWith("extra", "1", server));
    REQUIRE(eventually([&] { return gateway.call(requestFor("/again/x", "a1")).status == 200; }));
    REQUIRE(eventually([&] {
        const auto call = gateway.call(requestFor("/again/x", "a2"));
        const auto seen = backend.seen();
        return call.status == 200
            && std::any_of(seen.begin(), seen.end(), [](const SeenRequest &request) {
                   return request.header("Wisteriawind-Expect-Instance") == "i-2";
               });
    }));
}

// Guards against configurations whose numbers overflow where they become times and sizes.
TEST_CASE("A configuration with an absurd number or another type of value is refused")
{
    CHECK(platform::decodeConfiguration(usualConfiguration(1).dump()).has_value());
    for (const OddValue &odd : oddConfigurations()) {
        CAPTURE(odd.at, odd.value.substr(0, 40));
        const auto decoded = platform::decodeConfiguration(textWith(usualConfiguration(1), odd));
        CHECK(decoded.has_error());
        if (decoded.has_error())
            CHECK(decoded.error().message.size() < 1024);
    }
    for (const std::string value : {"null", "0", "120", "120.0", "86400000"}) {
        CAPTURE(value);
        CHECK(platform::decodeConfiguration(
                  textWith(usualConfiguration(1), {"/routes/1/timeout_ms", value}))
                  .has_value());
    }
}

// Guards against a gateway that ends, stops serving or no longer follows the configuration because
// of one odd version of it.
TEST_CASE("A gateway serves on through odd configurations and takes the next sound one")
{
    ScriptedServer backend([](const SeenRequest &request, ScriptPeer &peer) {
        // Longer than until the gateway's next check of deadlines.
        ::poll(nullptr, 0, 60);
        peer.send(sealed(request, 200, "sound"));
    });
    StoreStandIn store;
    store.put("keyed.op", "config", usualConfiguration(1));
    store.put("keyed.servers", "i-1", listEntryOf("plain", backend.endpoint(), 4));
    LoggedGateway gateway(store.endpoint());
    REQUIRE(gateway.waitUntilRouting());
    const auto serves = [&gateway](const std::string &prefix, const std::string &id) {
        return callServer(gateway.callers(), requestFor(prefix + "x", id)).status == 200;
    };
    REQUIRE(eventually([&] { return serves("/again/", "a0"); }));
    int version = 1;
    for (const OddValue &odd : oddConfigurations()) {
        if (!isUnsigned(odd.value) && odd.value.size() < 40)
            continue;
        CAPTURE(odd.at, odd.value.substr(0, 40));
        const TimePoint begun = monotonicNow();
        store.append("keyed.op", "config", textWith(usualConfiguration(++version), odd));
        REQUIRE(eventually([&] {
            return gateway.count("config.refused") + gateway.count("config.in_force")
                == static_cast<std::size_t>(version);
        }));
        CHECK(serves("/again/", "a" + std::to_string(version)));
        CHECK(monotonicNow() - begun < milliseconds(1500));
    }
    nlohmann::json sound = usualConfiguration(++version);
    sound["routes"].push_back(routeOf("/new/", "idempotent", "plain", false));
    store.put("keyed.op", "config", sound);
    CHECK(eventually([&] { return serves("/new/", "n"); }));
    CHECK(gateway.running());
    CHECK_FALSE(gateway.line("config.refused", "level", "warning").is_null());
}

// Guards against a gateway that ends at each start while the store holds an odd configuration.
TEST_CASE("A gateway that starts with an odd configuration waits for a sound one")
{
    for (const OddValue &odd : {OddValue{"/services/0/engine/sets", "4000000000"},
                                OddValue{"/routes/1/timeout_ms", "1000000000000000000"},
                                OddValue{"/routes/1/name", nestedArrays(deepest)}}) {
        CAPTURE(odd.at);
        StoreStandIn store;
        store.append("keyed.op", "config", textWith(usualConfiguration(1), odd));
        LoggedGateway gateway(store.endpoint());
        CHECK_FALSE(gateway.waitForLine("config.refused", "level", "warning").is_null());
        store.put("keyed.op", "config", usualConfiguration(2));
        CHECK(gateway.waitUntilRouting());
        CHECK(gateway.running());
    }
}
