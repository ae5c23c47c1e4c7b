#include <catch2/catch.hpp>

#include "Process/EventLog.h"
#include "Programs/Gateway/BackendList.h"
#include "Programs/Gateway/StorePacing.h"
#include "Request/BackendBoard.h"
#include "Request/ComeBack.h"
#include "Request/EventCutter.h"
#include "Request/NextStep.h"
#include "Request/PlaceWait.h"
#include "Request/RetryShare.h"
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
    const SendHistory sent{.arrivals = 1, .mayHaveRun = true};
    REQUIRE_FALSE(
        mayRetry(routeOf(RequestKind::NonIdempotent, false, 3), SendEnd::Broken, sent, seconds(1)));
    REQUIRE(
        mayRetry(routeOf(RequestKind::Idempotent, false, 2), SendEnd::Broken, sent, seconds(1)));
    REQUIRE(mayRetry(routeOf(RequestKind::Streaming, true, 2), SendEnd::Broken, sent, seconds(1)));
    REQUIRE_FALSE(
        mayRetry(routeOf(RequestKind::Streaming, false, 2), SendEnd::Broken, sent, seconds(1)));
}

TEST_CASE("No request goes to more backend servers than its route allows, or without time")
{
    const SendHistory sent{.arrivals = 2, .mayHaveRun = true};
    const RouteRule route = routeOf(RequestKind::Idempotent, false, 2);
    REQUIRE_FALSE(mayRetry(route, SendEnd::Broken, sent, seconds(1)));
    REQUIRE(mayRetry(route, SendEnd::NeverSent, {.refusedConnections = 2}, seconds(1)));
    REQUIRE_FALSE(mayRetry(route, SendEnd::NeverSent, {.refusedConnections = 3}, seconds(1)));
    REQUIRE_FALSE(mayRetry(route, SendEnd::NotExecuted, {.arrivals = 1}, milliseconds(10)));
}

// A clerk is told that a quotation was not drafted, asks again, and two are. One of two sends may
// have run although the last one surely did not.
TEST_CASE("Only what surely has not run is told as not run")
{
    REQUIRE(finalStep(SendEnd::NotExecuted, {.arrivals = 1}, seconds(1)) == NextStep::Refuse);
    REQUIRE(finalStep(SendEnd::NotExecuted, {.arrivals = 2, .mayHaveRun = true}, seconds(1))
            == NextStep::Fail);
    REQUIRE(finalStep(SendEnd::Silent, {.arrivals = 1, .mayHaveRun = true}, seconds(0))
            == NextStep::TimeOut);
    REQUIRE(finalStep(SendEnd::Broken, {.arrivals = 1, .mayHaveRun = true, .answerBegun = true},
                      seconds(1))
            == NextStep::BreakOff);
}

// A service that is sick gets three times its work and stays sick: every gateway retries at will.
// All gateways together, each just started, must stay within the bound in any window.
TEST_CASE("The shares of ten gateways stay within the bound in any window")
{
    const RetryBounds bounds{.ratio = 0.2, .slack = 90, .window = seconds(10)};
    double taken = 0;
    constexpr int requests = 100;
    for (int gateway = 0; gateway < 10; ++gateway) {
        RetryShare share;
        for (int tick = 0; tick < 1000; ++tick) {
            const TimePoint now = start + milliseconds(10 * tick);
            if (tick % 10 == 0)
                noteRequest(share, bounds, now);
            if (takeRetry(share, bounds, now))
                ++taken;
        }
    }
    REQUIRE(taken <= bounds.ratio * requests * 10 + bounds.slack);
    REQUIRE(taken >= bounds.ratio * requests * 10 * 0.9);
}

// Guards against the retries of a fleet's gateways adding up to more than all of them may send: the
// slack was shared as if there were ten of them.
TEST_CASE("The shares of any number of gateways stay within the bound in any window")
{
    const int gateways = GENERATE(5, 13, 36);
    RetryBounds bounds{.ratio = 0.2, .slack = 194, .window = seconds(10)};
    noteGateways(bounds, static_cast<std::uint32_t>(gateways));
    constexpr int requestsEach = 100;
    double taken = 0;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        RetryShare share;
        constexpr int ticks = 1000;
        for (int tick = 0; tick < ticks; ++tick) {
            const TimePoint now = start + milliseconds(10 * tick);
            if (tick % (ticks / requestsEach) == 0)
                noteRequest(share, bounds, now);
            taken += takeRetry(share, bounds, now) ? 1 : 0;
        }
    }
    REQUIRE(taken <= bounds.ratio * requestsEach * gateways + bounds.slack);
}

TEST_CASE("Only whole events are passed on, and the last id is known")
{
    EventCutter cutter;
    REQUIRE(cutter.feed("id: 1\nda").empty());
    REQUIRE(cutter.feed("ta: a\n\nid: 2\n") == "id: 1\ndata: a\n\n");
    REQUIRE(cutter.lastId() == 1);
    REQUIRE(cutter.pending() > 0);
    cutter.beginRun();
    REQUIRE(cutter.feed("id: 2\r\ndata: b\r\n\r\n") == "id: 2\r\ndata: b\r\n\r\n");
    REQUIRE(cutter.lastId() == 2);
}

TEST_CASE("Requests spread over equal backend servers and keep to the gateway's failure domain")
{
    BackendBoard board;
    putBackend(board, entryOf("i-1", "b"), start);
    putBackend(board, entryOf("i-2", "a"), start);
    const BackendWish wish{.service = "s", .tried = {}, .failureDomain = "a"};
    const BackendChoice first = chooseBackend(board, wish, start, 0.1);
    REQUIRE(first.backend->entry.id == "i-2");
    first.backend->own = 2;
    REQUIRE(chooseBackend(board, wish, start, 0.1).backend->entry.id == "i-1");
}

TEST_CASE("A full service is told apart from one without servers and from one that was all tried")
{
    BackendBoard board;
    BackendWish wish{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::Unknown);
    putBackend(board, entryOf("i-1"), start);
    board.backends.at("i-1").own = 10;
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::AllFull);
    wish.tried = {"i-1"};
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::AllTried);
}

TEST_CASE("A report replaces the own count, corrected by what was sent since")
{
    BackendBoard board;
    putBackend(board, entryOf("i-1"), start);
    BackendState &state = board.backends.at("i-1");
    state.own = 3;
    state.told = LoadTold{.running = 6, .waiting = 1, .own = 2, .at = start};
    REQUIRE(expectedLoad(state, start, seconds(1)) == 8);
    REQUIRE(expectedLoad(state, start + seconds(2), seconds(1)) == 3);
}

// Every stream of the fleet stutters once a second. One rank runs at a twelfth of its speed and all
// others wait for it in each pass; it kept getting a request whenever the others were full.
TEST_CASE("A slow rank gets no request while there is another, even a full one")
{
    BackendBoard board;
    putBackend(board, entryOf("i-1"), start);
    putBackend(board, entryOf("i-2"), start);
    board.backends.at("i-1").told = LoadTold{.at = start, .pace = 12};
    board.backends.at("i-2").told = LoadTold{.running = 10, .at = start};
    const BackendWish wish{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::AllFull);
    board.backends.at("i-2").told->running = 9;
    REQUIRE(chooseBackend(board, wish, start, 0).backend->entry.id == "i-2");
    removeBackend(board, "i-2");
    REQUIRE(chooseBackend(board, wish, start, 0).why != NoBackend::Unknown);
}

TEST_CASE("A backend server that refuses connections is avoided for a while, not for good")
{
    BackendBoard board;
    putBackend(board, entryOf("i-1"), start);
    putBackend(board, entryOf("i-2"), start);
    noteFailure(board.backends.at("i-1"), true, start);
    const BackendWish wish{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(board, wish, start, 0).backend->entry.id == "i-2");
    board.backends.at("i-2").own = 5;
    REQUIRE(chooseBackend(board, wish, start + seconds(1), 0).backend->entry.id == "i-1");
}

// Counters get nothing but refusals for three seconds after a loss of power. Ranks whose group has
// not formed yet refuse each request, and callers that come back at once use up their retry.
TEST_CASE("A rank whose group is broken gets no request until it says otherwise")
{
    BackendBoard board;
    putBackend(board, entryOf("i-1"), start);
    board.backends.at("i-1").told = LoadTold{.at = start, .open = false};
    const BackendWish wish{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::NotOpen);
    board.backends.at("i-1").told->open = true;
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::None);
}

TEST_CASE("A backend server whose address another one has is left out until it reports again")
{
    BackendBoard board;
    putBackend(board, entryOf("i-1"), start);
    noteReplaced(board.backends.at("i-1"));
    const BackendWish wish{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::Unknown);
    putBackend(board, entryOf("i-1"), start);
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::None);
}

TEST_CASE("A backend server that started anew under its id is known anew")
{
    BackendBoard board;
    putBackend(board, entryOf("i-1"), start);
    noteFailure(board.backends.at("i-1"), true, start);
    BackendEntry anew = entryOf("i-1");
    anew.startedAt = 5;
    putBackend(board, anew, start);
    REQUIRE(board.backends.at("i-1").failures == 0);
}

// A service has no backend server for two seconds after each outage of the store. Entries lapse
// while their owners can't report, and the list says so as soon as it can be read again.
TEST_CASE("What lapsed in an outage of the store is kept until its owners can have reported")
{
    BackendBoard board;
    EventLog log("test", {.least = LogLevel::Error});
    BackendList list(board, log, readPause);
    list.take({"i-1", entryText("ready"), 0}, start);
    list.take({"i-2", entryText("ready"), 1}, start);
    list.storeRegained(start + seconds(5));
    list.take({"i-1", "", 2}, start + seconds(5));
    list.take({"i-2", "", 3}, start + seconds(5));
    REQUIRE(board.backends.size() == 2);
    list.take({"i-1", entryText("ready"), 4}, start + seconds(6));
    list.checkTime(start + milliseconds(7400));
    REQUIRE(board.backends.contains("i-1"));
    REQUIRE_FALSE(board.backends.contains("i-2"));
}

// All places of a service were gone for a moment after an outage of the store: a server that was
// back in the list 1.9 s after it was read only at the next read, and had been dropped before.
TEST_CASE("A server that is back just before the read is over is not dropped after an outage")
{
    BackendBoard board;
    EventLog log("test", {.least = LogLevel::Error});
    constexpr milliseconds pause{1800};
    BackendList list(board, log, pause);
    list.take({"i-1", entryText("ready"), 0}, start);
    list.storeRegained(start);
    list.take({"i-1", "", 1}, start);
    // Read at 1.8 s, when the entry was not back yet, and again at 3.6 s.
    for (milliseconds at{0}; at <= 2 * pause; at += milliseconds(25))
        list.checkTime(start + at);
    list.take({"i-1", entryText("ready"), 2}, start + 2 * pause);
    REQUIRE(board.backends.contains("i-1"));
    list.checkTime(start + seconds(5));
    REQUIRE(board.backends.contains("i-1"));
}

TEST_CASE("A draining or unreadable entry takes its server out at once, the others hold")
{
    BackendBoard board;
    EventLog log("test", {.least = LogLevel::Error});
    BackendList list(board, log, readPause);
    list.takeAll({{"i-1", entryText("ready"), 0}, {"i-2", entryText("ready"), 1}}, start);
    list.take({"i-1", "{\"service\":7}", 2}, start);
    REQUIRE_FALSE(board.backends.contains("i-1"));
    list.take({"i-2", entryText("draining"), 3}, start);
    const BackendWish wish{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::Unknown);
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
    const ComeBackTimes times;
    REQUIRE(comeBackAfter(times, NoBackend::AllFull, milliseconds(60), 0.5) == times.full);
    REQUIRE(comeBackAfter(times, NoBackend::AllFull, seconds(1), 0.0) == times.standing);
    REQUIRE(comeBackAfter(times, NoBackend::NotOpen, milliseconds(60), 0.9)
            > times.standing + milliseconds(800));
}

// A treasurer's draft is refused twice and lost. All VMs lost power; the gateways are back 0.7 s
// before the group of ranks is formed, told everybody at once to come back in 1.2 to 2.2 s, and
// many came back to a group that was still closed or full.
TEST_CASE("A request waits for a group that is forming, as long as its caller may")
{
    const PlaceWait wait;
    WaitingRequest request{
        .arrived = start, .deadline = start + seconds(8), .targetLatency = milliseconds(400)};
    REQUIRE(waitsUntil(wait, NoBackend::NotOpen, request) == start + milliseconds(1200));
    REQUIRE(waitsUntil(wait, NoBackend::AllFull, request) == start + milliseconds(200));
    REQUIRE(waitsUntil(wait, NoBackend::Unknown, request) == start);
    REQUIRE(waitsUntil(wait, NoBackend::AllTried, request) == start);
    request.deadline = start + milliseconds(1000);
    REQUIRE(waitsUntil(wait, NoBackend::NotOpen, request) == start + milliseconds(250));
}

// The same loss of power: a gateway that had just started knew no loads yet, sent to two ranks that
// both refused, and told the caller that no backend server ran its request.
TEST_CASE("Ranks that have not reported yet take no work for a moment")
{
    BackendBoard board;
    putBackend(board, entryOf("i-1"), start);
    const BackendWish wish{.service = "s", .tried = {}, .inGroup = true, .failureDomain = "a"};
    REQUIRE(chooseBackend(board, wish, start, 0).why == NoBackend::NotOpen);
    // A plain service has no reports to wait for.
    const BackendWish plain{.service = "s", .tried = {}, .failureDomain = "a"};
    REQUIRE(chooseBackend(board, plain, start, 0).backend != nullptr);
    // No sidecar may be there, or reach this gateway.
    REQUIRE(chooseBackend(board, wish, start + firstReportWait, 0).backend != nullptr);
    board.backends.at("i-1").told = LoadTold{.at = start};
    REQUIRE(chooseBackend(board, wish, start, 0).backend != nullptr);
    board.backends.at("i-1").told->open = false;
    REQUIRE(chooseBackend(board, wish, start + firstReportWait, 0).why == NoBackend::NotOpen);
}

// The same loss of power: the engines come back under new ids at their old addresses, and every
// second send names an engine that is gone.
TEST_CASE("Of two backend servers at one address the one that started last is there")
{
    BackendBoard board;
    BackendEntry former = entryOf("i-1");
    former.startedAt = 100;
    BackendEntry present = entryOf("i-2");
    present.address = former.address;
    present.startedAt = 200;
    const bool formerFirst = GENERATE(true, false);
    putBackend(board, formerFirst ? former : present, start);
    putBackend(board, formerFirst ? present : former, start);
    REQUIRE(board.backends.at("i-1").replaced);
    REQUIRE_FALSE(board.backends.at("i-2").replaced);
    // Its entry is read once more, as after lost history.
    putBackend(board, former, start);
    REQUIRE(board.backends.at("i-1").replaced);
    // Nothing is said of one that does not tell when it started.
    BackendEntry silent = entryOf("i-3");
    silent.address = former.address;
    putBackend(board, silent, start);
    REQUIRE_FALSE(board.backends.at("i-3").replaced);
}

// In a surge to four times the load drafts begin a second late, although places at the ranks are
// given out one for one: five gateways each see the same free place and fill it five times over,
// and what is too much waits at the rank.
TEST_CASE("Gateways that see the same free places fill them once")
{
    constexpr std::uint32_t gateways = 5;
    std::vector<BackendBoard> boards(gateways);
    std::uint32_t sent = 0;
    constexpr std::uint32_t ranks = 12;
    constexpr std::uint32_t free = 3;
    for (std::uint32_t gateway = 0; gateway < gateways; ++gateway) {
        BackendBoard &board = boards[gateway];
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            const std::string id = "i-" + std::to_string(rank);
            putBackend(board, entryOf(id), start);
            const double draw = static_cast<double>((gateway + rank) % gateways) / gateways;
            noteLoad(board.backends.at(id),
                     {.running = 10 - free, .at = start, .gateways = gateways}, draw);
        }
        const BackendWish wish{
            .service = "s", .tried = {}, .keepsToShare = true, .failureDomain = "a"};
        for (int request = 0; request < 100; ++request) {
            const BackendChoice choice = chooseBackend(board, wish, start, 0.3);
            if (choice.backend == nullptr) {
                REQUIRE(choice.why == NoBackend::AllFull);
                continue;
            }
            ++choice.backend->own;
            ++sent;
        }
    }
    REQUIRE(sent == ranks * free);
    // A request that ends leaves its place to the gateway that sent it.
    BackendState &used = boards[0].backends.begin()->second;
    used.told->own = 2;
    used.own = 1;
    REQUIRE_FALSE(exceedsShare(used, start, milliseconds(1000)));
    // What was told long ago says nothing.
    REQUIRE_FALSE(exceedsShare(used, start + seconds(2), milliseconds(1000)));
}

// After a loss of power hundreds of callers are told that no backend server ran their request: each
// rank of the group that still forms refuses it, and the load that the refusal tells made the rank
// look open, so that the next request went there as well.
TEST_CASE("A rank that refuses work although it has free places is closed")
{
    BackendBoard board;
    putBackend(board, entryOf("i-1"), start);
    BackendState &rank = board.backends.at("i-1");
    const auto openNow = [&](bool inGroup) {
        return isOpen(rank, inGroup, start + firstReportWait, milliseconds(1000));
    };
    noteAnswer(rank, {.load = PlainLoad{}, .notExecuted = true}, true, start, 0);
    REQUIRE_FALSE(openNow(true));
    // The same without a load.
    rank.told.reset();
    noteAnswer(rank, {.notExecuted = true}, true, start, 0);
    REQUIRE_FALSE(openNow(true));
    // It has begun to work.
    noteAnswer(rank, {.load = PlainLoad{.running = 1}}, true, start, 0);
    REQUIRE(openNow(true));
    // One that refuses because it is full is not closed.
    noteAnswer(rank, {.load = PlainLoad{.running = 10}, .notExecuted = true}, true, start, 0);
    REQUIRE(openNow(true));
    // A plain service has no group that could be closed.
    noteAnswer(rank, {.load = PlainLoad{}, .notExecuted = true}, false, start, 0);
    REQUIRE(openNow(false));
    // Neither answer nor load tells anything.
    rank.told.reset();
    noteAnswer(rank, {}, true, start, 0);
    REQUIRE_FALSE(rank.told);
}

TEST_CASE("What is left over of the free places goes to as many gateways by chance")
{
    REQUIRE(shareOfFree(10, 5, 0.9) == 2);
    REQUIRE(shareOfFree(11, 5, 0.1) == 3);
    REQUIRE(shareOfFree(11, 5, 0.3) == 2);
    REQUIRE(shareOfFree(2, 5, 0.39) == 1);
    REQUIRE(shareOfFree(2, 5, 0.41) == 0);
    REQUIRE(shareOfFree(7, 0, 0.5) == 7);
}

// Calls to the store were the second dearest thing of a fleet of 36 gateways: each read the list of
// servers every 0.9 s and the configuration every 1.5 s, although the platform there allows twice
// the time. The bounds hold also when one answer is lost on the way.
TEST_CASE("The store is asked as seldom as the platform's bounds allow")
{
    for (const milliseconds bound : {milliseconds(2000), milliseconds(4000), milliseconds(8000)}) {
        const milliseconds lostAnswer = storeAnswerTimeout + storeFirstRetry;
        REQUIRE(backendsPause(bound) + lostAnswer < bound);
        REQUIRE(backendsPause(bound) * 3 > bound);
        REQUIRE(configurationWait(bound) * 2 > bound);
    }
    // Below, such a read may outlast the bound: a VM whose connections fell silent counts as sound
    // again only a second after it.
    REQUIRE(configurationWait(milliseconds(2000)) + storeAnswerTimeout + storeFirstRetry
            < milliseconds(3000));
    REQUIRE(configurationWait(milliseconds(4000)) + storeAnswerTimeout + storeFirstRetry
            < milliseconds(4000));
}
