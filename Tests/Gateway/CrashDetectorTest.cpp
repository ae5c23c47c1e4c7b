#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/RegistryEntries.h"
#include "Gateway/ScriptedServer.h"
#include "Programs/Gateway/CrashDetector.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr TimePoint start{seconds(100)};
const std::string server = "1";

/// A server whose process with the start time 1 crashes; the list of servers shows the next start
/// later than it happens.
struct WatchedServer
{
    WatchedServer() { putBackend(registry, entryOf(server, 1), start); }

    void noteGivenUp(TimePoint sentAt)
    {
        const UnansweredSend send{
            .server = server, .request = {}, .sentAt = sentAt, .id = ++lastSend};
        detector.noteGivenUp(send, false, sentAt + milliseconds(20));
    }

    void noteCrashSeenElsewhere(TimePoint now)
    {
        detector.noteReported({.server = server, .startedAt = 1, .service = "s", .running = {}},
                              now);
    }

    EventLoop loop;
    BackendRegistry registry;
    std::vector<ServerCrash> crashes;
    SendId lastSend = 0;
    CrashDetector detector{loop, registry,
                           [this](const ServerCrash &crash) { crashes.push_back(crash); }};
};

} // namespace

// Guards against sends to a server that is back which count as ended by the crash before.
TEST_CASE("A start time that the list shows late is no crash under sends to the new process")
{
    WatchedServer watched;
    watched.noteCrashSeenElsewhere(start);
    watched.noteGivenUp(start + seconds(2));
    watched.detector.noteStartTime(server, 2, start + seconds(3));
    REQUIRE(watched.crashes.empty());
}

// Guards against a restart within milliseconds that goes unseen beside a crash known before.
TEST_CASE("A new start time shows a crash under sends to the process before")
{
    WatchedServer watched;
    SECTION("no crash of the server is known") { }
    SECTION("a crash of its process is known, but the send was before it")
    watched.noteCrashSeenElsewhere(start + milliseconds(2100));
    watched.noteGivenUp(start + seconds(2));
    watched.noteGivenUp(start + seconds(2));
    watched.detector.noteStartTime(server, 2, start + seconds(3));
    REQUIRE(watched.crashes.size() == 1);
    REQUIRE(watched.crashes[0].running.size() == 2);
}

// Guards against a server that is down again and gets each suspect request, since its crash before
// hides the later one.
TEST_CASE("A server that returned and is found down has crashed again")
{
    WatchedServer watched;
    watched.noteCrashSeenElsewhere(start);
    watched.detector.noteRefused(server, start + seconds(1));
    REQUIRE(watched.crashes.empty());
    putBackend(watched.registry, entryOf(server, 2), start + seconds(2));
    watched.detector.noteRefused(server, start + seconds(3));
    REQUIRE(watched.crashes.size() == 1);
    REQUIRE(watched.crashes[0].startedAt == 2);
    watched.detector.noteRefused(server, start + seconds(4));
    REQUIRE(watched.crashes.size() == 1);
}

// Guards against a service that has returned and gets no suspect request until the next usual read
// of the list, which still names the processes that crashed.
TEST_CASE("A server that listens again after its crash has the list read")
{
    const ScriptedServer listening([](const SeenRequest &, ScriptPeer &) {});
    WatchedServer watched;
    BackendEntry entry = entryOf(server, 1);
    entry.address = listening.endpoint();
    bool listNamesIt = false;
    SECTION("the list names the process that crashed") { }
    SECTION("the list names the new process")
    listNamesIt = true;
    entry.startedAt = listNamesIt ? 2 : 1;
    putBackend(watched.registry, entry, start);
    watched.noteCrashSeenElsewhere(start);
    int reads = 0;
    watched.detector.probeReturn(
        "s", [&reads] { ++reads; }, start);
    watched.detector.probeReturn(
        "s", [&reads] { ++reads; }, start);
    watched.loop.runAfter(milliseconds(300), [&watched] { watched.loop.stop(); });
    watched.loop.run();
    REQUIRE(reads == (listNamesIt ? 0 : 1));
}

// Guards against a crash that is taken for the end of an answer, and so for a completed run.
TEST_CASE("A server survives an answer only if the same process still listens a moment later")
{
    auto listening = std::make_unique<ScriptedServer>([](const SeenRequest &, ScriptPeer &) {});
    WatchedServer watched;
    BackendEntry entry = entryOf(server, 1);
    entry.address = listening->endpoint();
    putBackend(watched.registry, entry, start);
    const bool marksEnd = GENERATE(true, false);
    bool lives = false;
    std::function<void()> event = [] {};
    SECTION("it lives on")
    lives = true;
    SECTION("it ends")
    event = [&] { listening.reset(); };
    SECTION("it has started again")
    event = [&] {
        entry.startedAt = 2;
        putBackend(watched.registry, entry, start);
    };
    SECTION("another gateway saw its crash")
    event = [&] { watched.noteCrashSeenElsewhere(monotonicNow()); };
    std::optional<bool> survived;
    const TimePoint sentAt = monotonicNow();
    watched.detector.checkSurvival(
        {.server = server, .request = {}, .sentAt = sentAt, .id = 1}, marksEnd,
        [&survived](bool result) { survived = result; }, sentAt);
    watched.loop.runAfter(milliseconds(200), event);
    watched.loop.runAfter(milliseconds(500),
                          [&] { watched.detector.checkTimeouts(monotonicNow()); });
    watched.loop.runAfter(milliseconds(700), [&] { CHECK_FALSE(survived); });
    watched.loop.runAfter(milliseconds(800),
                          [&] { watched.detector.checkTimeouts(monotonicNow()); });
    watched.loop.runAfter(milliseconds(1100), [&watched] { watched.loop.stop(); });
    watched.loop.run();
    CHECK(survived == lives);
    watched.detector.noteStartTime(server, 3, monotonicNow());
    CHECK(watched.crashes.empty() == (lives || marksEnd));
}
