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
/// Interval between two reads of the list of servers.
constexpr milliseconds pollInterval{300};

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

TEST_CASE("No retry exceeds the route's sends, three refused connections or the time left")
{
    const SendHistory sent{.delivered = 2, .mayHaveRun = true};
    const RouteRule route = routeOf(RequestKind::Idempotent, false, 2);
    REQUIRE_FALSE(mayRetry(route, SendOutcome::Incomplete, sent, seconds(1)));
    REQUIRE(mayRetry(route, SendOutcome::NeverSent, {.refusedConnections = 2}, seconds(1)));
    REQUIRE_FALSE(mayRetry(route, SendOutcome::NeverSent, {.refusedConnections = 3}, seconds(1)));
    REQUIRE_FALSE(mayRetry(route, SendOutcome::NotExecuted, {.delivered = 1}, milliseconds(10)));
}

// Guards against a caller repeating a request that has run. The first of two sends may have run
// although the last one certainly did not; reporting only the last one would say "not run".
TEST_CASE("Only a request that certainly has not run is reported as not run")
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

// Guards against a retry storm: a failing service gets three times its load when every gateway
// retries without a common quota. Ten gateways that have just started must stay within it together.
TEST_CASE("Ten gateways together use most of the retry quota of a window and do not exceed it")
{
    const RetryQuota quota{.ratio = 0.2, .baseRetries = 90, .window = seconds(10)};
    double retries = 0;
    constexpr int requests = 100;
    for (int gateway = 0; gateway < 10; ++gateway) {
        RetryTokenBucket bucket;
        for (int tick = 0; tick < 1000; ++tick) {
            const TimePoint now = start + milliseconds(10 * tick);
            if (tick % 10 == 0)
                noteRequest(bucket, quota, now);
            if (takeRetryToken(bucket, quota, now))
                ++retries;
        }
    }
    REQUIRE(retries <= quota.ratio * requests * 10 + quota.baseRetries);
    REQUIRE(retries >= quota.ratio * requests * 10 * 0.9);
}

// Guards against the retries of all gateways exceeding the quota when the base retries are divided
// by fewer gateways than there are.
TEST_CASE("The retries of any number of gateways stay within the quota of a window")
{
    const int gateways = GENERATE(5, 13, 36);
    RetryQuota quota{.ratio = 0.2, .baseRetries = 194, .window = seconds(10)};
    noteGateways(quota, static_cast<std::uint32_t>(gateways));
    constexpr int requestsEach = 100;
    double retries = 0;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        RetryTokenBucket bucket;
        constexpr int ticks = 1000;
        for (int tick = 0; tick < ticks; ++tick) {
            const TimePoint now = start + milliseconds(10 * tick);
            if (tick % (ticks / requestsEach) == 0)
                noteRequest(bucket, quota, now);
            retries += takeRetryToken(bucket, quota, now) ? 1 : 0;
        }
    }
    REQUIRE(retries <= quota.ratio * requestsEach * gateways + quota.baseRetries);
}

TEST_CASE("Only complete events are forwarded, and the last event id is recorded")
{
    EventSplitter splitter;
    REQUIRE(splitter.feed("id: 1\nda").empty());
    REQUIRE(splitter.feed("ta: a\n\nid: 2\n") == "id: 1\ndata: a\n\n");
    REQUIRE(splitter.lastId() == 1);
    REQUIRE(splitter.pending() > 0);
    splitter.discardPartialEvent();
    REQUIRE(splitter.feed("id: 2\r\ndata: b\r\n\r\n") == "id: 2\r\ndata: b\r\n\r\n");
    REQUIRE(splitter.lastId() == 2);
}

TEST_CASE("Requests prefer the gateway's failure domain until its servers have more load")
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

TEST_CASE("The reason distinguishes no servers, all servers full and all servers tried")
{
    BackendRegistry registry;
    BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::NoneAvailable);
    putBackend(registry, entryOf("i-1"), start);
    registry.backends.at("i-1").ownInFlight = 10;
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::AllFull);
    criteria.tried = {"i-1"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::AllTried);
}

TEST_CASE("The expected load is the reported load corrected by requests sent since")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    BackendState &state = registry.backends.at("i-1");
    state.ownInFlight = 3;
    state.reportedLoad =
        BackendLoad{.running = 6, .waiting = 1, .ownInFlight = 2, .receivedAt = start};
    REQUIRE(expectedRequests(state, start, seconds(1)) == 8);
    REQUIRE(expectedRequests(state, start + seconds(2), seconds(1)) == 3);
}

// Guards against all streams of a group stalling once a second. One rank runs at a twelfth of its
// speed, the others wait for it in each pass, and it gets requests whenever the others are full.
TEST_CASE("A slow rank gets no request while another rank exists, even a full one")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    putBackend(registry, entryOf("i-2"), start);
    registry.backends.at("i-1").reportedLoad = BackendLoad{.receivedAt = start, .slowdown = 12};
    registry.backends.at("i-2").reportedLoad = BackendLoad{.running = 10, .receivedAt = start};
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::AllFull);
    registry.backends.at("i-2").reportedLoad->running = 9;
    REQUIRE(chooseBackend(registry, criteria, start, 0).backend->entry.id == "i-2");
    removeBackend(registry, "i-2");
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason != NoBackendReason::NoneAvailable);
}

TEST_CASE("A backend server that refuses connections is avoided temporarily")
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

// Guards against callers getting only refusals for three seconds after a power loss. Ranks whose
// group is not formed yet refuse every request, and callers that retry at once use up their retry.
TEST_CASE("A rank that reports a closed group gets no request until it reports an open one")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    registry.backends.at("i-1").reportedLoad = BackendLoad{.receivedAt = start, .open = false};
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::NotOpen);
    registry.backends.at("i-1").reportedLoad->open = true;
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::None);
}

TEST_CASE("A replaced backend server gets no request until its entry is put again")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    noteReplaced(registry.backends.at("i-1"));
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::NoneAvailable);
    putBackend(registry, entryOf("i-1"), start);
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::None);
}

TEST_CASE("A backend server that restarts under its id begins with fresh state")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    noteFailure(registry.backends.at("i-1"), true, start);
    BackendEntry restarted = entryOf("i-1");
    restarted.startedAt = 5;
    putBackend(registry, restarted, start);
    REQUIRE(registry.backends.at("i-1").failures == 0);
}

TEST_CASE("An unreadable entry removes its server, and a draining entry makes its server unusable")
{
    BackendRegistry registry;
    EventLog log("test", {.minLevel = LogLevel::Error});
    Metrics metrics;
    BackendList list(registry, log, metrics, {.readInterval = pollInterval});
    list.applyAll({{"i-1", entryText("ready"), 0}, {"i-2", entryText("ready"), 1}}, start);
    list.apply({"i-1", "{\"service\":7}", 2}, start);
    REQUIRE_FALSE(registry.backends.contains("i-1"));
    list.apply({"i-2", entryText("draining"), 3}, start);
    const BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::NoneAvailable);
}

TEST_CASE(
    "The longest path prefix wins, private routes need a key, and weights divide the requests")
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
    REQUIRE(accessOf(table, "h", "/a/c", nullptr).fault == AccessFault::NoValidKey);
    REQUIRE(accessOf(table, "h", "/a/b/c", nullptr).fault == AccessFault::None);
    REQUIRE(*serviceOf(wide, 0.89) == "x");
    REQUIRE(*serviceOf(wide, 0.91) == "y");
}

// Guards against refusing half of the callers twice while a group is stalled for four seconds.
// After a Retry-After of 0.4 s they find all slots still busy, and they retry only once.
TEST_CASE("Callers of a stalled service get a longer Retry-After with jitter")
{
    const RetryAfterPolicy policy;
    REQUIRE(retryAfterFor(policy, NoBackendReason::AllFull, milliseconds(60), 0.5) == policy.busy);
    REQUIRE(retryAfterFor(policy, NoBackendReason::AllFull, seconds(1), 0.0) == policy.stalled);
    REQUIRE(retryAfterFor(policy, NoBackendReason::NotOpen, milliseconds(60), 0.9)
            > policy.stalled + milliseconds(800));
}

// Guards against requests refused twice and lost after a power loss of all VMs. The gateways are
// back before the group is formed; if all callers are refused at once, many retry while the group
// is still closed or full.
TEST_CASE("A request waits for a group that is forming, within its caller's time limit")
{
    const AdmissionTimeouts timeouts;
    QueuedRequest request{
        .arrived = start, .deadline = start + seconds(8), .targetLatency = milliseconds(400)};
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::NotOpen, request)
            == start + milliseconds(1200));
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::AllFull, request)
            == start + milliseconds(200));
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::NoneAvailable, request) == start);
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::AllTried, request) == start);
    request.deadline = start + milliseconds(1000);
    REQUIRE(queueTimeoutAt(timeouts, NoBackendReason::NotOpen, request)
            == start + milliseconds(250));
}

// Guards against refusals after a power loss: a gateway that has just started knows no loads, sends
// to two ranks that both refuse, and reports to the caller that no backend server ran its request.
TEST_CASE("Ranks that have not reported yet get no request for a short time")
{
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1"), start);
    const BackendCriteria criteria{
        .service = "s", .tried = {}, .inGroup = true, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).reason == NoBackendReason::NotOpen);
    // A service without groups has no reports to wait for.
    const BackendCriteria withoutGroup{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, withoutGroup, start, 0).backend != nullptr);
    // The sidecar may be missing or unable to reach this gateway.
    REQUIRE(chooseBackend(registry, criteria, start + firstReportWait, 0).backend != nullptr);
    registry.backends.at("i-1").reportedLoad = BackendLoad{.receivedAt = start};
    REQUIRE(chooseBackend(registry, criteria, start, 0).backend != nullptr);
    registry.backends.at("i-1").reportedLoad->open = false;
    REQUIRE(chooseBackend(registry, criteria, start + firstReportWait, 0).reason
            == NoBackendReason::NotOpen);
}

// Guards against wasted sends after a power loss: the engines come back under new ids at their old
// addresses, and every second send names an engine that is gone.
TEST_CASE("Of two backend servers with one address only the one that started last is used")
{
    BackendRegistry registry;
    BackendEntry former = entryOf("i-1");
    former.startedAt = 100;
    BackendEntry current = entryOf("i-2");
    current.address = former.address;
    current.startedAt = 200;
    const bool formerFirst = GENERATE(true, false);
    putBackend(registry, formerFirst ? former : current, start);
    putBackend(registry, formerFirst ? current : former, start);
    REQUIRE(registry.backends.at("i-1").replaced);
    REQUIRE_FALSE(registry.backends.at("i-2").replaced);
    // Its entry is read again, for example after lost history.
    putBackend(registry, former, start);
    REQUIRE(registry.backends.at("i-1").replaced);
    // A server with neither a start time nor a record offset cannot be compared and stays usable.
    BackendEntry undated = entryOf("i-3");
    undated.address = former.address;
    putBackend(registry, undated, start);
    REQUIRE_FALSE(registry.backends.at("i-3").replaced);
}

// Guards against streams that start a second late in a surge to four times the load: five gateways
// each see the same free slot and fill it five times over, and the excess waits at the rank.
TEST_CASE("Gateways that see the same free slots fill each of them only once")
{
    constexpr std::uint32_t gateways = 5;
    std::vector<BackendRegistry> registries(gateways);
    std::uint32_t sent = 0;
    constexpr std::uint32_t ranks = 12;
    constexpr std::uint32_t free = 3;
    for (std::uint32_t gateway = 0; gateway < gateways; ++gateway) {
        BackendRegistry &registry = registries[gateway];
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            const std::string id = "i-" + std::to_string(rank);
            putBackend(registry, entryOf(id), start);
            const double randomUnit = static_cast<double>((gateway + rank) % gateways) / gateways;
            noteLoad(registry.backends.at(id),
                     {.running = 10 - free, .receivedAt = start, .gateways = gateways}, randomUnit);
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
    // A request that ends leaves its slot to the gateway that sent it.
    BackendState &used = registries[0].backends.begin()->second;
    used.reportedLoad->ownInFlight = 2;
    used.ownInFlight = 1;
    REQUIRE_FALSE(exceedsFreeShare(used, start, milliseconds(1000)));
    // An old report is ignored.
    REQUIRE_FALSE(exceedsFreeShare(used, start + seconds(2), milliseconds(1000)));
}

// Guards against hundreds of refused requests after a power loss. Each rank of a group that is
// still forming refuses; if the load in the refusal makes the rank look open, it gets the next
// request too.
TEST_CASE("A rank that refuses work although it has free slots counts as closed")
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
    // The rank has begun to work.
    noteAnswer(rank, {.load = AnswerLoad{.running = 1}}, true, start, 0);
    REQUIRE(openNow(true));
    // A rank that refuses because it is full is not closed.
    noteAnswer(rank, {.load = AnswerLoad{.running = 10}, .notExecuted = true}, true, start, 0);
    REQUIRE(openNow(true));
    // A service without groups has none that could be closed.
    noteAnswer(rank, {.load = AnswerLoad{}, .notExecuted = true}, false, start, 0);
    REQUIRE(openNow(false));
    // An answer without a load or a refusal changes nothing.
    rank.reportedLoad.reset();
    noteAnswer(rank, {}, true, start, 0);
    REQUIRE_FALSE(rank.reportedLoad);
}

TEST_CASE("The remainder of the free slots is assigned to gateways by chance")
{
    REQUIRE(shareOfFreeSlots(10, 5, 0.9) == 2);
    REQUIRE(shareOfFreeSlots(11, 5, 0.1) == 3);
    REQUIRE(shareOfFreeSlots(11, 5, 0.3) == 2);
    REQUIRE(shareOfFreeSlots(2, 5, 0.39) == 1);
    REQUIRE(shareOfFreeSlots(2, 5, 0.41) == 0);
    REQUIRE(shareOfFreeSlots(7, 0, 0.5) == 7);
}

// Guards against needless store calls, which are expensive with many gateways: reading the list of
// servers and the configuration much more often than the platform's bounds require. The platform's
// bounds must also hold when one answer is lost.
TEST_CASE("The store is polled within the platform's bounds, and not many times as often")
{
    for (const milliseconds bound : {milliseconds(2000), milliseconds(4000), milliseconds(8000)}) {
        const milliseconds lostAnswer = storeAnswerTimeout + storeInitialBackoff;
        REQUIRE(backendsPollInterval(bound) + lostAnswer < bound);
        REQUIRE(backendsPollInterval(bound) * 3 > bound);
        REQUIRE(configurationLongPollTime(bound) * 2 > bound);
    }
    // At 2000 ms a read of the configuration may outlast the bound, but not by a second: a VM whose
    // connections were cut counts as healthy again only a second after the bound.
    REQUIRE(configurationLongPollTime(milliseconds(2000)) + storeAnswerTimeout + storeInitialBackoff
            < milliseconds(3000));
    REQUIRE(configurationLongPollTime(milliseconds(4000)) + storeAnswerTimeout + storeInitialBackoff
            < milliseconds(4000));
}
