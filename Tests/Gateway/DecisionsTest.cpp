#include <catch2/catch.hpp>

#include "Process/EventLog.h"
#include "Programs/Gateway/BackendList.h"
#include "Programs/Gateway/StorePolling.h"
#include "Request/AdmissionTimeouts.h"
#include "Request/BackendRegistry.h"
#include "Request/EventSplitter.h"
#include "Request/RetryAfterPolicy.h"
#include "Request/RetryDecision.h"
#include "Request/RetryTokenBucket.h"
#include "Request/RouteTable.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};
/// Between two reads of the list of servers.
constexpr milliseconds readPause{300};

BackendEntry entryOf(const std::string &id, const std::string &domain = "a")
{
    BackendEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.failureDomain = domain;
    entry.slots = 10;
    entry.address = {1, static_cast<std::uint16_t>(1000 + id.back())};
    return entry;
}

RouteRule routeOf(RequestKind kind, bool resumable, std::uint32_t attempts)
{
    RouteRule route;
    route.kind = kind;
    route.resumable = resumable;
    route.maxAttempts = attempts;
    return route;
}

std::string entryText(const std::string &state)
{
    return R"({"service":"s","address":"10.0.0.1:80","zone":"a","slot_count":4,"state":")" + state
        + R"("})";
}

} // namespace

TEST_CASE("A request that may have run is repeated only where the route allows it")
{
    const SendHistory sent{.delivered = 1, .mayHaveRun = true};
    REQUIRE_FALSE(mayRetry(routeOf(RequestKind::NonIdempotent, false, 3), SendOutcome::Incomplete,
                           sent, seconds(1)));
    REQUIRE(mayRetry(routeOf(RequestKind::Idempotent, false, 2), SendOutcome::Incomplete, sent,
                     seconds(1)));
    REQUIRE(mayRetry(routeOf(RequestKind::Streaming, true, 2), SendOutcome::Incomplete, sent,
                     seconds(1)));
    REQUIRE_FALSE(mayRetry(routeOf(RequestKind::Streaming, false, 2), SendOutcome::Incomplete, sent,
                           seconds(1)));
}

TEST_CASE("No request goes to more backend servers than its route allows, or without time")
{
    const SendHistory sent{.delivered = 2, .mayHaveRun = true};
    const RouteRule route = routeOf(RequestKind::Idempotent, false, 2);
    REQUIRE_FALSE(mayRetry(route, SendOutcome::Incomplete, sent, seconds(1)));
    REQUIRE(mayRetry(route, SendOutcome::NeverSent, {.refusedConnections = 2}, seconds(1)));
    REQUIRE_FALSE(mayRetry(route, SendOutcome::NeverSent, {.refusedConnections = 3}, seconds(1)));
    REQUIRE_FALSE(mayRetry(route, SendOutcome::NotExecuted, {.delivered = 1}, milliseconds(10)));
}

// A clerk is told that a quotation was not drafted, asks again, and two are. One of two sends may
// have run although the last one surely did not.
TEST_CASE("Only what surely has not run is told as not run")
{
    REQUIRE(finalDecision(SendOutcome::NotExecuted, {.delivered = 1}, seconds(1))
            == RetryDecision::Refuse);
    REQUIRE(
        finalDecision(SendOutcome::NotExecuted, {.delivered = 2, .mayHaveRun = true}, seconds(1))
        == RetryDecision::Fail);
    REQUIRE(finalDecision(SendOutcome::TimedOut, {.delivered = 1, .mayHaveRun = true}, seconds(0))
            == RetryDecision::TimeOut);
    REQUIRE(finalDecision(SendOutcome::Incomplete,
                          {.delivered = 1, .mayHaveRun = true, .answerBegun = true}, seconds(1))
            == RetryDecision::Abort);
}

// A service that is sick gets three times its work and stays sick: every gateway retries at will.
// All gateways together, each just started, must stay within the bound in any window.
TEST_CASE("The shares of ten gateways stay within the bound in any window")
{
    const RetryQuota quota{.ratio = 0.2, .baseRetries = 90, .window = seconds(10)};
    double taken = 0;
    constexpr int requests = 100;
    for (int gateway = 0; gateway < 10; ++gateway) {
        RetryTokenBucket bucket;
        for (int tick = 0; tick < 1000; ++tick) {
            const TimePoint now = start + milliseconds(10 * tick);
            if (tick % 10 == 0)
                noteRequest(bucket, quota, now);
            if (takeRetryToken(bucket, quota, now))
                ++taken;
        }
    }
    REQUIRE(taken <= quota.ratio * requests * 10 + quota.baseRetries);
    REQUIRE(taken >= quota.ratio * requests * 10 * 0.9);
}

// Guards against the retries of a fleet's gateways adding up to more than all of them may send: the
// slack was shared as if there were ten of them.
TEST_CASE("The shares of any number of gateways stay within the bound in any window")
{
    const int gateways = GENERATE(5, 13, 36);
    RetryQuota quota{.ratio = 0.2, .baseRetries = 194, .window = seconds(10)};
    noteGateways(quota, static_cast<std::uint32_t>(gateways));
    constexpr int requestsEach = 100;
    double taken = 0;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        RetryTokenBucket bucket;
        constexpr int ticks = 1000;
        for (int tick = 0; tick < ticks; ++tick) {
            const TimePoint now = start + milliseconds(10 * tick);
            if (tick % (ticks / requestsEach) == 0)
                noteRequest(bucket, quota, now);
            taken += takeRetryToken(bucket, quota, now) ? 1 : 0;
        }
    }
    REQUIRE(taken <= quota.ratio * requestsEach * gateways + quota.baseRetries);
}

TEST_CASE("Only whole events are passed on, and the last id is known")
{
    EventSplitter splitter;
    REQUIRE(splitter.feed("id: 1\nda").empty());
    REQUIRE(splitter.feed("ta: a\n\nid: 2\n") == "id: 1\ndata: a\n\n");
    REQUIRE(splitter.lastId() == 1);
    REQUIRE(splitter.pending() > 0);
    splitter.beginRun();
    REQUIRE(splitter.feed("id: 2\r\ndata: b\r\n\r\n") == "id: 2\r\ndata: b\r\n\r\n");
    REQUIRE(splitter.lastId() == 2);
}

TEST_CASE("Requests spread over equal backend servers and keep to the gateway's failure domain")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1", "b"), start);
    putBackend(registry, entryOf("i-2", "a"), start);
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    const BackendChoice first = chooseBackend(registry, criteria, start, 0.1);
    REQUIRE(first.backend->entry.id == "i-2");
    first.backend->ownInFlight = 2;
    REQUIRE(chooseBackend(registry, criteria, start, 0.1).backend->entry.id == "i-1");
}

TEST_CASE("A full service is told apart from one without servers and from one that was all tried")
{
    BackendRegistry registry;
    BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::Unknown);
    putBackend(registry, entryOf("i-1"), start);
    registry.backends.at("i-1").ownInFlight = 10;
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::AllFull);
    criteria.tried = {"i-1"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::AllTried);
}

TEST_CASE("A report replaces the own count, corrected by what was sent since")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    BackendState &state = registry.backends.at("i-1");
    state.ownInFlight = 3;
    state.reportedLoad = BackendLoad{.running = 6, .waiting = 1, .ownInFlight = 2, .at = start};
    REQUIRE(expectedLoad(state, start, seconds(1)) == 8);
    REQUIRE(expectedLoad(state, start + seconds(2), seconds(1)) == 3);
}

// Every stream of the fleet stutters once a second. One rank runs at a twelfth of its speed and all
// others wait for it in each pass; it kept getting a request whenever the others were full.
TEST_CASE("A slow rank gets no request while there is another, even a full one")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    putBackend(registry, entryOf("i-2"), start);
    registry.backends.at("i-1").reportedLoad = BackendLoad{.at = start, .slowdown = 12};
    registry.backends.at("i-2").reportedLoad = BackendLoad{.running = 10, .at = start};
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::AllFull);
    registry.backends.at("i-2").reportedLoad->running = 9;
    REQUIRE(chooseBackend(registry, criteria, start, 0).backend->entry.id == "i-2");
    removeBackend(registry, "i-2");
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason != NoBackendReason::Unknown);
}

TEST_CASE("A backend server that refuses connections is avoided for a while, not for good")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    putBackend(registry, entryOf("i-2"), start);
    noteFailure(registry.backends.at("i-1"), true, start);
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).backend->entry.id == "i-2");
    registry.backends.at("i-2").ownInFlight = 5;
    REQUIRE(chooseBackend(registry, criteria, start + seconds(1), 0).backend->entry.id == "i-1");
}

// Counters get nothing but refusals for three seconds after a loss of power. Ranks whose group has
// not formed yet refuse each request, and callers that come back at once use up their retry.
TEST_CASE("A rank whose group is broken gets no request until it says otherwise")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    registry.backends.at("i-1").reportedLoad = BackendLoad{.at = start, .open = false};
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::NotOpen);
    registry.backends.at("i-1").reportedLoad->open = true;
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::None);
}

TEST_CASE("A backend server whose address another one has is left out until it reports again")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    noteReplaced(registry.backends.at("i-1"));
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::Unknown);
    putBackend(registry, entryOf("i-1"), start);
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::None);
}

TEST_CASE("A backend server that started anew under its id is known anew")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    noteFailure(registry.backends.at("i-1"), true, start);
    BackendEntry anew = entryOf("i-1");
    anew.startedAt = 5;
    putBackend(registry, anew, start);
    REQUIRE(registry.backends.at("i-1").failures == 0);
}

// A service has no backend server for two seconds after each outage of the store. Entries lapse
// while their owners can't report, and the list says so as soon as it can be read again.
TEST_CASE("What lapsed in an outage of the store is kept until its owners can have reported")
{
    BackendRegistry registry;
    EventLog log("test", {.least = LogLevel::Error});
    BackendList list(registry, log, readPause);
    list.apply({"i-1", entryText("ready"), 0}, start);
    list.apply({"i-2", entryText("ready"), 1}, start);
    list.storeReconnected(start + seconds(5));
    list.apply({"i-1", "", 2}, start + seconds(5));
    list.apply({"i-2", "", 3}, start + seconds(5));
    REQUIRE(registry.backends.size() == 2);
    list.apply({"i-1", entryText("ready"), 4}, start + seconds(6));
    list.checkTimeouts(start + milliseconds(7400));
    REQUIRE(registry.backends.contains("i-1"));
    REQUIRE_FALSE(registry.backends.contains("i-2"));
}

// All places of a service were gone for a moment after an outage of the store: a server that was
// back in the list 1.9 s after it was read only at the next read, and had been dropped before.
TEST_CASE("A server that is back just before the read is over is not dropped after an outage")
{
    BackendRegistry registry;
    EventLog log("test", {.least = LogLevel::Error});
    constexpr milliseconds pause{1800};
    BackendList list(registry, log, pause);
    list.apply({"i-1", entryText("ready"), 0}, start);
    list.storeReconnected(start);
    list.apply({"i-1", "", 1}, start);
    // Read at 1.8 s, when the entry was not back yet, and again at 3.6 s.
    for (milliseconds at{0}; at <= 2 * pause; at += milliseconds(25))
        list.checkTimeouts(start + at);
    list.apply({"i-1", entryText("ready"), 2}, start + 2 * pause);
    REQUIRE(registry.backends.contains("i-1"));
    list.checkTimeouts(start + seconds(5));
    REQUIRE(registry.backends.contains("i-1"));
}

TEST_CASE("A draining or unreadable entry takes its server out at once, the others hold")
{
    BackendRegistry registry;
    EventLog log("test", {.least = LogLevel::Error});
    BackendList list(registry, log, readPause);
    list.applyAll({{"i-1", entryText("ready"), 0}, {"i-2", entryText("ready"), 1}}, start);
    list.apply({"i-1", "{\"service\":7}", 2}, start);
    REQUIRE_FALSE(registry.backends.contains("i-1"));
    list.apply({"i-2", entryText("draining"), 3}, start);
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::Unknown);
}

TEST_CASE("The longest prefix of the host wins, and a route's weights share its requests")
{
    auto configuration = std::make_shared<ServiceConfiguration>();
    RouteRule wide = routeOf(RequestKind::Idempotent, false, 1);
    wide.host = "h";
    wide.pathPrefix = "/a/";
    wide.shares = {{"x", 90}, {"y", 10}};
    RouteRule narrow = wide;
    narrow.pathPrefix = "/a/b/";
    narrow.isPublic = true;
    configuration->routes = {wide, narrow};
    configuration->needsKeys = true;
    const RouteTable table(configuration);
    REQUIRE(table.find("h", "/a/b/c")->pathPrefix == "/a/b/");
    REQUIRE(table.find("h", "/a/c")->pathPrefix == "/a/");
    REQUIRE(table.find("g", "/a/c") == nullptr);
    REQUIRE(accessOf(table, "h", "/a/c", nullptr).fault == AccessFault::UnknownKey);
    REQUIRE(accessOf(table, "h", "/a/b/c", nullptr).fault == AccessFault::None);
    REQUIRE(*serviceOf(wide, 0.89) == "x");
    REQUIRE(*serviceOf(wide, 0.91) == "y");
}

// Half of the callers are refused for good while a group stands for four seconds. They were told to
// come back after 0.4 s, found all places still taken, and come back only once.
TEST_CASE("Callers of a service that stands are told to come back later, and not all at once")
{
    const RetryAfterPolicy policy;
    REQUIRE(retryAfterFor(policy, NoBackendReason::AllFull, milliseconds(60), 0.5) == policy.busy);
    REQUIRE(retryAfterFor(policy, NoBackendReason::AllFull, seconds(1), 0.0) == policy.stalled);
    REQUIRE(retryAfterFor(policy, NoBackendReason::NotOpen, milliseconds(60), 0.9)
            > policy.stalled + milliseconds(800));
}

// A treasurer's draft is refused twice and lost. All VMs lost power; the gateways are back 0.7 s
// before the group of ranks is formed, told everybody at once to come back in 1.2 to 2.2 s, and
// many came back to a group that was still closed or full.
TEST_CASE("A request waits for a group that is forming, as long as its caller may")
{
    const AdmissionTimeouts timeouts;
    QueuedRequest request{
        .arrived = start, .deadline = start + seconds(8), .targetLatency = milliseconds(400)};
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::NotOpen, request)
            == start + milliseconds(1200));
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::AllFull, request)
            == start + milliseconds(200));
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::Unknown, request) == start);
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::AllTried, request) == start);
    request.deadline = start + milliseconds(1000);
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::NotOpen, request)
            == start + milliseconds(250));
}

// The same loss of power: a gateway that had just started knew no loads yet, sent to two ranks that
// both refused, and told the caller that no backend server ran its request.
TEST_CASE("Ranks that have not reported yet take no work for a moment")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    const BackendCriteria criteria{
        .service = "s", .tried = {}, .inGroup = true, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::NotOpen);
    // A plain service has no reports to wait for.
    const BackendCriteria plain{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, plain, start, 0).backend != nullptr);
    // No sidecar may be there, or reach this gateway.
    REQUIRE(chooseBackend(registry, criteria, start + firstReportWait, 0).backend != nullptr);
    registry.backends.at("i-1").reportedLoad = BackendLoad{.at = start};
    REQUIRE(chooseBackend(registry, criteria, start, 0).backend != nullptr);
    registry.backends.at("i-1").reportedLoad->open = false;
    REQUIRE(chooseBackend(registry, criteria, start + firstReportWait, 0).reason
            == NoBackendReason::NotOpen);
}

// The same loss of power: the engines come back under new ids at their old addresses, and every
// second send names an engine that is gone.
TEST_CASE("Of two backend servers at one address the one that started last is there")
{
    BackendRegistry registry;
    BackendEntry former = entryOf("i-1");
    former.startedAt = 100;
    BackendEntry present = entryOf("i-2");
    present.address = former.address;
    present.startedAt = 200;
    const bool formerFirst = GENERATE(true, false);
    putBackend(registry, formerFirst ? former : present, start);
    putBackend(registry, formerFirst ? present : former, start);
    REQUIRE(registry.backends.at("i-1").replaced);
    REQUIRE_FALSE(registry.backends.at("i-2").replaced);
    // Its entry is read once more, as after lost history.
    putBackend(registry, former, start);
    REQUIRE(registry.backends.at("i-1").replaced);
    // Nothing is said of one that does not tell when it started.
    BackendEntry silent = entryOf("i-3");
    silent.address = former.address;
    putBackend(registry, silent, start);
    REQUIRE_FALSE(registry.backends.at("i-3").replaced);
}

// In a surge to four times the load drafts begin a second late, although places at the ranks are
// given out one for one: five gateways each see the same free place and fill it five times over,
// and what is too much waits at the rank.
TEST_CASE("Gateways that see the same free places fill them once")
{
    constexpr std::uint32_t gateways = 5;
    std::vector<BackendRegistry> boards(gateways);
    std::uint32_t sent = 0;
    constexpr std::uint32_t ranks = 12;
    constexpr std::uint32_t free = 3;
    for (std::uint32_t gateway = 0; gateway < gateways; ++gateway) {
        BackendRegistry &registry = boards[gateway];
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            const std::string id = "i-" + std::to_string(rank);
            putBackend(registry, entryOf(id), start);
            const double randomUnit = static_cast<double>((gateway + rank) % gateways) / gateways;
            noteLoad(registry.backends.at(id),
                     {.running = 10 - free, .at = start, .gateways = gateways}, randomUnit);
        }
        const BackendCriteria criteria{
            .service = "s", .tried = {}, .withinFreeShare = true, .failureDomain = "a"};
        for (int request = 0; request < 100; ++request) {
            const BackendChoice choice = chooseBackend(registry, criteria, start, 0.3);
            if (choice.backend == nullptr) {
                REQUIRE(choice.reason == NoBackendReason::AllFull);
                continue;
            }
            ++choice.backend->ownInFlight;
            ++sent;
        }
    }
    REQUIRE(sent == ranks * free);
    // A request that ends leaves its place to the gateway that sent it.
    BackendState &used = boards[0].backends.begin()->second;
    used.reportedLoad->ownInFlight = 2;
    used.ownInFlight = 1;
    REQUIRE_FALSE(exceedsShare(used, start, milliseconds(1000)));
    // What was told long ago says nothing.
    REQUIRE_FALSE(exceedsShare(used, start + seconds(2), milliseconds(1000)));
}

// After a loss of power hundreds of callers are told that no backend server ran their request: each
// rank of the group that still forms refuses it, and the load that the refusal tells made the rank
// look open, so that the next request went there as well.
TEST_CASE("A rank that refuses work although it has free places is closed")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    BackendState &rank = registry.backends.at("i-1");
    const auto openNow = [&](bool inGroup) {
        return isOpen(rank, inGroup, start + firstReportWait, milliseconds(1000));
    };
    noteAnswer(rank, {.load = AnswerLoad{}, .notExecuted = true}, true, start, 0);
    REQUIRE_FALSE(openNow(true));
    // The same without a load.
    rank.reportedLoad.reset();
    noteAnswer(rank, {.notExecuted = true}, true, start, 0);
    REQUIRE_FALSE(openNow(true));
    // It has begun to work.
    noteAnswer(rank, {.load = AnswerLoad{.running = 1}}, true, start, 0);
    REQUIRE(openNow(true));
    // One that refuses because it is full is not closed.
    noteAnswer(rank, {.load = AnswerLoad{.running = 10}, .notExecuted = true}, true, start, 0);
    REQUIRE(openNow(true));
    // A plain service has no group that could be closed.
    noteAnswer(rank, {.load = AnswerLoad{}, .notExecuted = true}, false, start, 0);
    REQUIRE(openNow(false));
    // Neither answer nor load tells anything.
    rank.reportedLoad.reset();
    noteAnswer(rank, {}, true, start, 0);
    REQUIRE_FALSE(rank.reportedLoad);
}

TEST_CASE("What is left over of the free places goes to as many gateways by chance")
{
    REQUIRE(shareOfFreeSlots(10, 5, 0.9) == 2);
    REQUIRE(shareOfFreeSlots(11, 5, 0.1) == 3);
    REQUIRE(shareOfFreeSlots(11, 5, 0.3) == 2);
    REQUIRE(shareOfFreeSlots(2, 5, 0.39) == 1);
    REQUIRE(shareOfFreeSlots(2, 5, 0.41) == 0);
    REQUIRE(shareOfFreeSlots(7, 0, 0.5) == 7);
}

// Calls to the store were the second dearest thing of a fleet of 36 gateways: each read the list of
// servers every 0.9 s and the configuration every 1.5 s, although the platform there allows twice
// the time. The bounds hold also when one answer is lost on the way.
TEST_CASE("The store is asked as seldom as the platform's bounds allow")
{
    for (const milliseconds bound : {milliseconds(2000), milliseconds(4000), milliseconds(8000)}) {
        const milliseconds lostAnswer = storeAnswerTimeout + storeInitialBackoff;
        REQUIRE(backendsPollInterval(bound) + lostAnswer < bound);
        REQUIRE(backendsPollInterval(bound) * 3 > bound);
        REQUIRE(configurationWait(bound) * 2 > bound);
    }
    // Below, such a read may outlast the bound: a VM whose connections fell silent counts as sound
    // again only a second after it.
    REQUIRE(configurationWait(milliseconds(2000)) + storeAnswerTimeout + storeInitialBackoff
            < milliseconds(3000));
    REQUIRE(configurationWait(milliseconds(4000)) + storeAnswerTimeout + storeInitialBackoff
            < milliseconds(4000));
}
