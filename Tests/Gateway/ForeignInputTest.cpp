#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/EngineVm.h"
#include "Gateway/GatewayUnderTest.h"
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
