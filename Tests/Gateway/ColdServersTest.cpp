#include <algorithm>

#include <catch2/catch.hpp>

#include "Gateway/ColdFleet.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/RegistryEntries.h"
#include "Version/GroupMessages.h"
#include "platform/ConfigurationCodec.h"
#include "platform/ProcessSettings.h"
#include "platform/RequestCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr TimePoint start = ColdFleet::start;
const std::string server = "i-1";

/// A cold server is well used if it gets more than half of its rate, of which 10 s allow 260
/// requests, or three quarters of the 40 that the share of a single gateway (4 per second) allows.
constexpr std::size_t minOfColdTime = 150;
constexpr std::size_t minOfColdTimeAlone = 30;
/// Just under half of the 130 requests that the rate allows in 5 s: for a part of the time the
/// limit has no owner, or requests are lost.
constexpr std::size_t minOfFiveSecondsWithFailures = 60;
/// With an overshoot of 4 and a slack of 5 the bound is 26 x 4 + 5 = 109. The slow start of 10 s
/// raises the rate by 8.3 per second: on average 30 in its first second and 63 in its fifth. A
/// limit owner may exceed that by its burst and by what is granted but not yet used.
constexpr std::size_t boundOfOvershootFour = 109;
constexpr std::size_t maxInFirstSecondOfSlowStart = 36;
constexpr std::size_t maxInFifthSecondOfSlowStart = 72;
/// After it, more than half of the bound.
constexpr std::size_t minAfterSlowStart = 60;

std::vector<std::string> serverNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("i-" + std::to_string(i));
    return names;
}

/// Returns a registry of one gateway with servers of the service "s", whose cold rate is 26.
BackendRegistry registryOf(const std::vector<std::string> &servers)
{
    BackendRegistry registry;
    registry.coldServers.bounds = {.overshoot = 1.5, .slack = 5};
    ServiceRule rule;
    rule.coldPerSecond = ColdFleet::coldPerSecond;
    rule.coldDuration = ColdFleet::coldTime;
    setColdServices(registry.coldServers, registry.limits, {{"s", rule}}, start);
    for (const std::string &id : servers)
        putBackend(registry, entryOf(id, 1), start);
    return registry;
}

void putCold(BackendRegistry &registry, const std::string &id, std::optional<milliseconds> cold,
             std::uint64_t offset, std::uint64_t startedAt, TimePoint now)
{
    BackendEntry entry = entryOf(id, startedAt);
    entry.coldRemaining = cold;
    entry.recordOffset = offset;
    putBackend(registry, entry, now);
}

} // namespace

// Guards against a server that crashes because it is cold before a gateway knows, or because many
// gateways each send little, and against a cold server that is hardly used.
TEST_CASE("One, 15 and 40 gateways stay within the bound of a cold server, known or not")
{
    const std::size_t gateways = GENERATE(1, 15, 40);
    const double lossRate = GENERATE(0.0, 0.1);
    const milliseconds knownAfter = GENERATE(seconds(0), seconds(2));
    const std::uint64_t seed = GENERATE(17, 18, 19);
    ColdFleet fleet(gateways, {server}, lossRate, seed);
    fleet.run(knownAfter, 400);
    fleet.putEntry(server, ColdFleet::coldTime);
    const TimePoint known = fleet.now();
    fleet.run(ColdFleet::coldTime, 400);
    const std::size_t whileKnown = fleet.sent(server, known, ColdFleet::coldTime);
    fleet.run(seconds(15), 400);
    CAPTURE(gateways, lossRate, knownAfter.count(), seed, whileKnown);
    REQUIRE(fleet.maxInSecond() <= ColdFleet::bound);
    REQUIRE(whileKnown <= static_cast<std::size_t>(1.1 * ColdFleet::coldPerSecond * 10));
    // One gateway uses only its share of 4 per second, because more gateways may exist.
    REQUIRE(whileKnown >= (gateways == 1 ? minOfColdTimeAlone : minOfColdTime));
}

// Guards against a bound that relies on messages between gateways.
TEST_CASE("The bound of a cold server holds without its limit owner, in two parts, and in restarts")
{
    const std::size_t gateways = GENERATE(15, 40);
    ColdFleet fleet(gateways, {server});
    fleet.putEntry(server, ColdFleet::coldTime);
    const std::string failure = GENERATE("owner", "parts", "restarts");
    CAPTURE(gateways, failure);
    fleet.run(seconds(1), 400);
    if (failure == "owner")
        fleet.setSuspended(fleet.ownerOf(server), true);
    if (failure == "parts")
        fleet.splitInto(2);
    for (std::size_t i = 0; i < 6; ++i) {
        if (failure == "restarts")
            fleet.restart(i);
        fleet.run(milliseconds(1500), 400);
    }
    REQUIRE(fleet.maxInSecond() <= ColdFleet::bound);
    REQUIRE(fleet.sent(server, start + seconds(5), seconds(5)) >= minOfFiveSecondsWithFailures);
}

// Guards against cold servers that get requests while others are free, that are unused while others
// are full, or of which only a few are used.
TEST_CASE("Cold servers are avoided while others are free, and used at their rate otherwise")
{
    const auto servers = serverNames(64);
    ColdFleet fleet(15, servers);
    for (std::size_t i = 0; i < 22; ++i)
        fleet.putEntry(servers[i], seconds(30));
    fleet.run(seconds(3), 400);
    for (std::size_t i = 0; i < 22; ++i)
        REQUIRE(fleet.sent(servers[i], start, seconds(3)) == 0);
    for (std::size_t i = 22; i < 64; ++i)
        fleet.setFull(servers[i], true);
    const TimePoint full = fleet.now();
    fleet.run(seconds(5), 1200);
    std::size_t total = 0;
    for (std::size_t i = 0; i < 22; ++i) {
        const std::size_t sent = fleet.sent(servers[i], full, seconds(5));
        REQUIRE(sent >= 30);
        total += sent;
    }
    CAPTURE(total);
    REQUIRE(total >= 22 * 26 * 5 / 2);
    REQUIRE(fleet.maxInSecond() <= ColdFleet::bound);
}

// Guards against a server that gets all waiting requests as soon as its cold phase ends.
TEST_CASE("The rate of servers that leave the cold phase one after the other rises slowly")
{
    const std::vector<std::string> servers = {"i-1", "i-2", "i-3"};
    ColdFleet fleet(15, servers);
    // A bound of 109, and so a share of 5 for each gateway, in order that permits limit the rate.
    fleet.setOvershoot(4);
    for (std::size_t i = 0; i < servers.size(); ++i)
        fleet.putEntry(servers[i], seconds(2 + 3 * i));
    fleet.run(seconds(25), 1200);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const TimePoint end = start + seconds(2 + 3 * i);
        CAPTURE(i, fleet.sent(servers[i], end, seconds(1)));
        REQUIRE(fleet.sent(servers[i], end, seconds(1)) <= maxInFirstSecondOfSlowStart);
        REQUIRE(fleet.sent(servers[i], end + seconds(4), seconds(1))
                <= maxInFifthSecondOfSlowStart);
        REQUIRE(fleet.sent(servers[i], end + seconds(11), seconds(1)) >= minAfterSlowStart);
    }
    REQUIRE(fleet.maxInSecond() <= boundOfOvershootFour);
}

// Guards against an unbounded wait or a permit request for a server that has this gateway's share,
// and against a share that applies to services without cold servers.
TEST_CASE("A server that has this gateway's share is free at a known time, without a permit")
{
    BackendRegistry registry = registryOf({server});
    BackendState &state = registry.backends.at(server);
    noteSend(registry, state, start);
    const BackendChoice choice = chooseBackend(registry, criteriaOf(), start, 0);
    REQUIRE(choice.reason == NoBackendReason::AtLimit);
    REQUIRE(choice.retryAt == start + seconds(1));
    REQUIRE(choice.preferredAtLimit.empty());
    REQUIRE(chooseBackend(registry, criteriaOf(), start + seconds(1), 0).backend == &state);
    setColdServices(registry.coldServers, registry.limits, {{"s", {}}}, start);
    REQUIRE(chooseBackend(registry, criteriaOf(), start, 0).backend == &state);
}

// Guards against a free slot at a cold server that stays unused because full servers rank first.
TEST_CASE("A cold server without a cold rate ranks after warm servers, but before full ones")
{
    BackendRegistry registry = registryOf({"i-1", "i-2"});
    setColdServices(registry.coldServers, registry.limits, {}, start);
    putCold(registry, "i-1", seconds(5), 1, 1, start);
    registry.backends.at("i-2").ownInFlight = 9;
    REQUIRE(chooseBackend(registry, criteriaOf(), start, 0).backend->entry.id == "i-2");
    registry.backends.at("i-2").ownInFlight = 10;
    REQUIRE(chooseBackend(registry, criteriaOf(), start, 0).backend->entry.id == "i-1");
}

// Guards against a cold phase that never ends or is forgotten.
TEST_CASE("A cold phase outlasts its entry, and only a new record extends it")
{
    BackendRegistry registry = registryOf({});
    const auto coldAfter = [&](milliseconds time) {
        return isCold(registry.coldServers, server, start + time);
    };
    putCold(registry, server, seconds(4), 7, 1, start);
    removeBackend(registry, server);
    removeExpiredLimits(registry, start + seconds(1));
    putCold(registry, server, seconds(4), 7, 1, start + seconds(2));
    REQUIRE(coldAfter(milliseconds(3999)));
    REQUIRE_FALSE(isPermitted(registry.limits, server, start + seconds(3)));
    REQUIRE_FALSE(coldAfter(seconds(4)));
    putCold(registry, server, seconds(4), 8, 1, start + seconds(3));
    REQUIRE(coldAfter(milliseconds(6999)));
    putCold(registry, server, std::nullopt, 9, 1, start + seconds(4));
    REQUIRE(coldAfter(milliseconds(6999)));
    REQUIRE_FALSE(coldAfter(seconds(7)));
    removeExpiredLimits(registry, start + seconds(18));
    REQUIRE(registry.limits.empty());
}

// Guards against a restarted server that gets its full rate because its first entry lacks the time.
TEST_CASE("A server that restarts under its id counts as cold unless its entry states otherwise")
{
    BackendRegistry registry = registryOf({server});
    putCold(registry, server, milliseconds(0), 8, 2, start);
    REQUIRE_FALSE(isCold(registry.coldServers, server, start));
    removeBackend(registry, server);
    putCold(registry, server, std::nullopt, 9, 3, start + seconds(5));
    REQUIRE(isCold(registry.coldServers, server, start + milliseconds(14'999)));
    REQUIRE_FALSE(isCold(registry.coldServers, server, start + seconds(15)));
}

// Guards against a cold rate that hides the lower limit that the server advertises.
TEST_CASE("The lower one of a cold server's rate and its advertised limit applies")
{
    BackendRegistry registry = registryOf({});
    putCold(registry, server, seconds(4), 1, 1, start);
    const double perSecond = GENERATE(3.0, 50.0);
    noteAdvertisedLimit(registry.limits, server, {.perSecond = perSecond, .receivedAt = start});
    markPermitWanted(registry.limits, server, start);
    const auto request = nextPermitRequest(registry.limits, server, start);
    OwnedLimit owned;
    std::size_t granted = 0;
    for (TimePoint now = start; now < start + seconds(4); now += milliseconds(5))
        granted += answerPermitRequest(owned, *request, now).granted ? 1U : 0U;
    REQUIRE(granted <= static_cast<std::size_t>(4 * std::min(perSecond, 26.0)));
    REQUIRE(granted >= static_cast<std::size_t>(3 * std::min(perSecond, 26.0)));
}

// Guards against cold servers that no gateway uses while gateways of two versions run.
TEST_CASE("A cold server is used if its limit owner is of a version without cold rates")
{
    BackendRegistry registry = registryOf({});
    putCold(registry, server, seconds(4), 1, 1, start);
    markPermitWanted(registry.limits, server, start);
    const auto request = nextPermitRequest(registry.limits, server, start);
    REQUIRE_FALSE(isPermitted(registry.limits, server, start));
    REQUIRE(
        applyPermitReply(registry.limits, {.server = server, .number = request->number}, start));
    REQUIRE(isPermitted(registry.limits, server, start));
}

// Guards against a permit for a message that requested none: its owner had a permit left.
TEST_CASE("A reply to a message that requested no permit grants none")
{
    BackendRegistry registry = registryOf({});
    putCold(registry, server, seconds(4), 1, 1, start);
    noteAdvertisedLimit(registry.limits, server, {.perSecond = 9, .receivedAt = start});
    noteAdvertisedLimit(registry.limits, server, {.receivedAt = start + milliseconds(1)});
    const auto request = nextPermitRequest(registry.limits, server, start + milliseconds(1));
    REQUIRE(request);
    REQUIRE_FALSE(request->wanted);
    markPermitWanted(registry.limits, server, start + milliseconds(2));
    applyPermitReply(registry.limits, {.server = server, .number = request->number},
                     start + milliseconds(3));
    REQUIRE_FALSE(isPermitted(registry.limits, server, start + milliseconds(3)));
}

// Guards against a cold limit that an owner takes for none in the last millisecond.
TEST_CASE("The remaining time of a limit is rounded up")
{
    const ColdLimit limit{.perSecond = 26, .until = start + std::chrono::microseconds(300)};
    REQUIRE(remainingTime(limit, start) == milliseconds(1));
    REQUIRE(remainingTime(limit, limit.until) == milliseconds(0));
}

// Guards against an owner that keeps a cold rate after the rate was raised or the phase ended.
TEST_CASE("A limit owner follows a higher cold rate once the lower one is no longer reported")
{
    const TimePoint end = start + seconds(60);
    OwnedLimit owned;
    noteColdLimit(owned, {.perSecond = 26, .until = end}, start);
    noteColdLimit(owned, {.perSecond = 50, .until = end}, start + milliseconds(200));
    REQUIRE(rateOf(owned.cold, start + milliseconds(200)) == 26);
    noteColdLimit(owned, {.perSecond = 26, .until = end}, start + milliseconds(240));
    noteColdLimit(owned, {.perSecond = 50, .until = end}, start + milliseconds(400));
    REQUIRE(rateOf(owned.cold, start + milliseconds(400)) == 26);
    noteColdLimit(owned, {.perSecond = 50, .until = end}, start + milliseconds(500));
    REQUIRE(rateOf(owned.cold, start + milliseconds(500)) == 50);
    noteColdLimit(owned, {.perSecond = 26, .until = end}, start + milliseconds(501));
    REQUIRE(rateOf(owned.cold, start + milliseconds(501)) == 26);
}

// Guards against a server that stays at its cold rate although it reports that it is warm.
TEST_CASE("A new record with a remaining time of 0 ends a cold phase, and the slow start follows")
{
    BackendRegistry registry = registryOf({});
    putCold(registry, server, seconds(60), 1, 1, start);
    const TimePoint end = start + seconds(2);
    putCold(registry, server, milliseconds(0), 2, 1, end);
    REQUIRE_FALSE(isCold(registry.coldServers, server, end));
    REQUIRE(endColdPhases(registry.coldServers, end) == std::vector<std::string>{server});
    REQUIRE_FALSE(isPermitted(registry.limits, server, end + seconds(1)));
    REQUIRE(isPermitted(registry.limits, server, end + ColdFleet::coldTime));
}

// Guards against a cold phase without a log line for its end.
TEST_CASE("A restart ends the cold phase of the previous incarnation")
{
    BackendRegistry registry = registryOf({});
    putCold(registry, server, seconds(60), 1, 1, start);
    putCold(registry, server, milliseconds(0), 2, 2, start + seconds(1));
    REQUIRE(endColdPhases(registry.coldServers, start + seconds(1))
            == std::vector<std::string>{server});
}

// Guards against times of requests that are kept although they no longer count, and against an
// undefined conversion of a huge share.
TEST_CASE("Only requests within the time of the share are kept")
{
    BackendRegistry registry = registryOf({server});
    registry.coldServers.bounds.overshoot = 1e300;
    REQUIRE(sendShareOf(registry.coldServers, "s")->requests >= 1000);
    for (int i = 0; i < 1000; ++i)
        noteSend(registry.coldServers, "s", server, start + milliseconds(10 * i));
    REQUIRE(registry.coldServers.sends.at(server).size() == 100);
}

// Guards against a request that waits for a full server while a cold one has a slot, because all
// servers failed recently.
TEST_CASE("A cold server with a slot is chosen before a full one if both are avoided")
{
    BackendRegistry registry = registryOf({"i-1", "i-2"});
    setColdServices(registry.coldServers, registry.limits, {}, start);
    putCold(registry, "i-1", seconds(5), 1, 1, start);
    registry.backends.at("i-2").ownInFlight = 10;
    registry.backends.at("i-1").avoidUntil = start + seconds(1);
    registry.backends.at("i-2").avoidUntil = start + seconds(1);
    const BackendChoice choice = chooseBackend(registry, criteriaOf(), start, 0);
    REQUIRE(choice.backend == &registry.backends.at("i-1"));
}

// Guards against a limit that can't be used after an idle time, because its owner removes the empty
// bucket before a permit is due.
TEST_CASE("An owner grants permits of a limit that was advertised long ago")
{
    OwnedLimits owned;
    const TimePoint later = start + std::chrono::minutes(10);
    const PermitRequest request{
        .server = server, .wanted = true, .advertised = {.perSecond = 4, .receivedAt = start}};
    std::size_t granted = 0;
    for (TimePoint now = later; now < later + seconds(10); now += milliseconds(25)) {
        removeExpiredLimits(owned, now);
        granted += answerPermitRequest(owned[server], request, now).granted ? 1U : 0U;
    }
    REQUIRE(granted >= 35);
}

// Guards against a cold rate that earlier versions refuse, or that is applied when it is missing.
TEST_CASE("Permit requests have additional elements only for a cold rate")
{
    const PermitRequestMessage plain{.server = server, .wanted = true, .number = 3};
    PermitRequestMessage cold = plain;
    cold.coldPerSecond = 26;
    cold.coldMilliseconds = 900;
    const auto decoded = [](const PermitRequestMessage &message) {
        return std::get<PermitRequestMessage>(decodeMessage(encodeMessage(message)).value());
    };
    REQUIRE_FALSE(decoded(plain).coldPerSecond);
    REQUIRE(decoded(cold).coldPerSecond == 26);
    REQUIRE(decoded(cold).coldMilliseconds == 900);
    // The first byte states the number of elements of the array.
    REQUIRE(encodeMessage(plain).front() == '\x96');
    REQUIRE(encodeMessage(cold).front() == '\x98');
    cold.coldPerSecond = -1;
    REQUIRE(decodeMessage(encodeMessage(cold)).has_error());
}

// Guards against cold times that are decoded but not applied.
TEST_CASE("A gateway learns from entries and answers that servers are cold")
{
    ScriptedServer coldServer([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(
            plainResponse(200, ownFields(request) + "Wisteriawind-Cold-Ms: 60000\r\n", "here"));
    });
    GatewayUnderTest gateway;
    gateway.startWithBackend("i-1", "plain", coldServer);
    REQUIRE(gateway.metrics().find("wisteria_cold_servers 0") != std::string::npos);
    REQUIRE(gateway.call(requestFor("/again/x", "a1", "GET")).status == 200);
    REQUIRE(gateway.metrics().find("wisteria_cold_servers 1") != std::string::npos);
    gateway.store.put("keyed.servers", "i-2",
                      {{"service", "plain"},
                       {"address", "127.0.0.1:1"},
                       {"slot_count", 4},
                       {"state", "ready"},
                       {"cold_remaining_ms", 60000}});
    REQUIRE(eventually(
        [&] { return gateway.metrics().find("wisteria_cold_servers 2") != std::string::npos; }));
}

// Guards against wrong values in an entry that make a server cold for ever or crash the gateway.
TEST_CASE("The cold time of an entry is decoded, and a wrong one is reported")
{
    const auto entryWith = [](const std::string &value) {
        return platform::decodeBackendEntry(
                   "i-1",
                   R"({"service":"s","address":"10.0.0.1:80","slot_count":4,"state":"ready",
                       "cold_remaining_ms":)"
                       + value + "}")
            .value();
    };
    REQUIRE(entryWith("1500").coldRemaining == milliseconds(1500));
    REQUIRE(entryWith("1500").coldProblem.empty());
    for (const char *wrong : {"-5", "\"soon\"", "1.5", "null"}) {
        REQUIRE_FALSE(entryWith(wrong).coldRemaining);
        REQUIRE_FALSE(entryWith(wrong).coldProblem.empty());
    }
    REQUIRE(entryWith("18446744073709551615").coldRemaining == std::chrono::hours(1));
    REQUIRE_FALSE(entryWith("3600001").coldProblem.empty());
}

// Guards against a wrong cold time in an answer that is changed without a log line.
TEST_CASE("The cold time of an answer is decoded, and a wrong one is reported")
{
    HttpResponseHead head;
    head.fields = {{"Wisteriawind-Cold-Ms", "900"}};
    REQUIRE(platform::decodeAnswerHead(head).coldRemaining == milliseconds(900));
    head.fields = {{"Wisteriawind-Cold-Ms", "-900"}};
    REQUIRE(platform::decodeAnswerHead(head).coldRemaining == milliseconds(0));
    REQUIRE_FALSE(platform::decodeAnswerHead(head).coldProblem.empty());
    head.fields = {{"Wisteriawind-Cold-Ms", "3600001"}};
    REQUIRE(platform::decodeAnswerHead(head).coldRemaining == maxColdTime);
    REQUIRE_FALSE(platform::decodeAnswerHead(head).coldProblem.empty());
    head.fields = {{"Wisteriawind-Cold-Ms", "900"}};
    REQUIRE(platform::decodeAnswerHead(head).coldProblem.empty());
    ColdServers coldServers;
    REQUIRE(noteColdProblem(coldServers, server, "wrong", start));
    REQUIRE_FALSE(noteColdProblem(coldServers, server, "wrong", start + seconds(1)));
}

// Guards against a wrong cold time or rate that is changed without a log line, and against a rate
// so high that the conversion to a number of requests is undefined.
TEST_CASE("A service's cold time and rate are decoded, and wrong ones are reported")
{
    const auto configuration = platform::decodeConfiguration(
        R"({"version":3,"routes":[],"services":[{"name":"a","cold_s":2.5,"cold_per_s":26},
            {"name":"b","cold_s":-1,"cold_per_s":"x"},
            {"name":"c","cold_s":3601,"cold_per_s":1e300}]})");
    REQUIRE(configuration.value().services.at("a").coldProblem.empty());
    const std::string &problem = configuration.value().services.at("b").coldProblem;
    REQUIRE(problem.find("cold_s") != std::string::npos);
    REQUIRE(problem.find("cold_per_s") != std::string::npos);
    REQUIRE(configuration.value().services.at("c").coldDuration == maxColdTime);
    REQUIRE(configuration.value().services.at("c").coldPerSecond == maxColdPerSecond);
    REQUIRE_FALSE(configuration.value().services.at("c").coldProblem.empty());
    REQUIRE(configuration.value().services.at("a").coldDuration == milliseconds(2500));
    REQUIRE(configuration.value().services.at("a").coldPerSecond == 26);
    REQUIRE(configuration.value().services.at("b").coldDuration == milliseconds(0));
    REQUIRE(configuration.value().services.at("b").coldPerSecond == 0);
}

// Guards against a bound that the settings can't change, or that becomes negative.
TEST_CASE("The bounds of cold servers are read from the settings")
{
    const std::string settings = "node_name=front-1\nip=10.1.0.4\nzone=a\n"
                                 "internal_port_range=7340,7355\nplatform.address=10.0.0.1:80\n";
    REQUIRE(platform::parseProcessSettings(settings).value().coldOvershoot == 1);
    REQUIRE(platform::parseProcessSettings(settings + "bounds.cold_overshoot=1.5\n")
                .value()
                .coldOvershoot
            == 1.5);
    REQUIRE(platform::parseProcessSettings(settings + "bounds.cold_slack=-1\n").has_error());
}
