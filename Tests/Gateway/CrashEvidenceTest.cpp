#include <string>

#include <catch2/catch.hpp>

#include "Request/CrashRecord.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};
constexpr std::uint32_t serverCount = 12;

Fingerprint request(std::uint8_t number)
{
    Fingerprint fingerprint;
    fingerprint.bytes[0] = number;
    return fingerprint;
}

/// Crashes of a service's servers in virtual time.
struct Crashes
{
    /// A server crashes; some requests are in flight there.
    void crash(const std::string &server, milliseconds at, const std::vector<Fingerprint> &running)
    {
        std::vector<InFlightRequest> requests;
        for (const Fingerprint &request : running)
            requests.push_back({.identity = {.request = request}});
        noteCrash(evidence,
                  {.server = server,
                   .startedAt = ++lastStart,
                   .service = "s",
                   .at = start + at,
                   .servers = serverCount,
                   .running = std::move(requests)},
                  start + at);
        while (const auto found = newPoison(evidence, false, start + at))
            quarantine(evidence, *found, start + at + quarantineTime, start + at);
    }

    Suspicion of(const Fingerprint &asked, milliseconds at) const
    {
        return suspicionOf(evidence, RequestIdentity{.request = asked}, start + at);
    }

    CrashEvidence evidence;
    std::uint64_t lastStart = 0;
};

const Fingerprint poison = request(1);
const Fingerprint innocent = request(2);

} // namespace

// Guards against a crash that counts as two, one of them under none of the suspects, as a gateway
// reports it with the start time of the process before.
TEST_CASE("Reports of one crash are merged though some name the process before")
{
    const bool staleFirst = GENERATE(true, false);
    CAPTURE(staleFirst);
    CrashEvidence evidence;
    const auto report = [&evidence](std::uint64_t startedAt, milliseconds at,
                                    const Fingerprint &running) {
        const InFlightRequest request{.identity = {.request = running}};
        noteCrash(evidence,
                  {.server = "a",
                   .startedAt = startedAt,
                   .service = "s",
                   .at = start + at,
                   .running = {request}},
                  start + at);
    };
    report(1, milliseconds(0), poison);
    report(staleFirst ? 1 : 2, milliseconds(2800), staleFirst ? innocent : poison);
    report(staleFirst ? 2 : 1, milliseconds(2803), staleFirst ? poison : innocent);
    REQUIRE(evidence.crashes.size() == 2);
    REQUIRE(evidence.crashes[1].startedAt == 2);
    REQUIRE(wasRunning(evidence.crashes[1], poison));
    REQUIRE(wasRunning(evidence.crashes[1], innocent));
    report(3, milliseconds(3300), poison);
    REQUIRE(evidence.crashes.size() == 3);
    REQUIRE(endedCopiesOf(evidence, poison, start + milliseconds(3300)) == 3);
}

// Guards against a poison request that goes on after three crashes, and the requests beside it.
TEST_CASE("A request in flight at three crashes in a row is quarantined, those beside it are not")
{
    Crashes crashes;
    crashes.crash("a", milliseconds(0), {poison, innocent});
    REQUIRE(crashes.of(poison, milliseconds(1)) == Suspicion::Suspect);
    REQUIRE(crashes.of(innocent, milliseconds(1)) == Suspicion::Suspect);
    crashes.crash("b", milliseconds(1000), {poison, innocent});
    REQUIRE(crashes.of(poison, milliseconds(1001)) == Suspicion::RepeatedSuspect);
    crashes.crash("c", milliseconds(2000), {poison, request(3)});
    REQUIRE(crashes.of(poison, milliseconds(2001)) == Suspicion::Quarantined);
    REQUIRE(crashes.of(innocent, milliseconds(2001)) == Suspicion::RepeatedSuspect);
    REQUIRE(crashes.of(request(4), milliseconds(2001)) == Suspicion::None);
}

// Guards against a popular request that is refused because it is in flight everywhere.
TEST_CASE(
    "A complete run clears a request of the crashes before it, also if their reports are late")
{
    Crashes crashes;
    for (int i = 0; i < 8; ++i) {
        crashes.crash("s" + std::to_string(i), milliseconds(1000 * i), {innocent, poison});
        noteCompletion(crashes.evidence, innocent, start + milliseconds(1000 * i + 50),
                       start + milliseconds(1000 * i + 50));
        REQUIRE(crashes.of(innocent, milliseconds(1000 * i + 60)) == Suspicion::None);
    }
    REQUIRE(crashes.of(poison, milliseconds(7060)) == Suspicion::Quarantined);
    crashes.crash("late", milliseconds(6990), {innocent});
    REQUIRE(crashes.of(innocent, milliseconds(7060)) == Suspicion::None);
    noteCompletion(crashes.evidence, poison, start + seconds(8), start + seconds(8));
    REQUIRE(crashes.of(poison, milliseconds(8001)) == Suspicion::None);
}

// Guards against requests that are refused because all servers lost power at once, again and again.
TEST_CASE("Crashes of all servers at once do not count against the requests in flight there")
{
    Crashes crashes;
    for (int loss = 0; loss < 6; ++loss) {
        for (std::uint32_t i = 0; i < serverCount; ++i) {
            crashes.crash("s" + std::to_string(i), milliseconds(3000 * loss + i),
                          {request(static_cast<std::uint8_t>(10 + i))});
        }
        if (loss < 2)
            REQUIRE(crashes.of(request(10), milliseconds(3000 * loss + 20)) == Suspicion::None);
    }
    for (std::uint32_t i = 0; i < serverCount; ++i) {
        const Fingerprint running = request(static_cast<std::uint8_t>(10 + i));
        REQUIRE(crashRecordOf(crashes.evidence, running, start + seconds(16)).weight == 0);
        REQUIRE(crashes.of(running, seconds(16)) == Suspicion::RepeatedSuspect);
        REQUIRE(hasLastSend(crashes.evidence, running, start + seconds(16)));
        noteCompletion(crashes.evidence, running, start + seconds(17), start + seconds(17));
        REQUIRE(crashes.of(running, seconds(17)) == Suspicion::None);
    }
}

// Guards against the same when most servers were idle and are found down only later.
TEST_CASE("Servers that are found down show that a crash was one of many")
{
    Crashes crashes;
    for (int loss = 0; loss < 6; ++loss) {
        crashes.crash("busy", milliseconds(3000 * loss), {innocent});
        for (std::uint32_t i = 1; i < serverCount; ++i)
            crashes.crash("s" + std::to_string(i), milliseconds(3000 * loss + 100 * i), {});
        if (loss < 2)
            REQUIRE(crashes.of(innocent, milliseconds(3000 * loss + 1200)) == Suspicion::None);
    }
    REQUIRE(crashRecordOf(crashes.evidence, innocent, start + seconds(17)).weight == 0);
    REQUIRE(crashes.of(innocent, seconds(17)) == Suspicion::RepeatedSuspect);
    REQUIRE(hasLastSend(crashes.evidence, innocent, start + seconds(17)));
    noteCompletion(crashes.evidence, innocent, start + seconds(18), start + seconds(18));
    REQUIRE(crashes.of(innocent, seconds(18)) == Suspicion::None);
}

// Guards against a poison request at a service that is so small that all servers are down at once.
TEST_CASE(
    "Crashes of servers to which a request was sent one after the other are signs of their own")
{
    const bool inSequence = GENERATE(true, false);
    CAPTURE(inSequence);
    constexpr milliseconds interval{60};
    CrashEvidence evidence;
    for (int i = 0; i < 3; ++i) {
        const TimePoint at = start + i * interval;
        noteCrash(evidence,
                  {.server = "s" + std::to_string(i),
                   .startedAt = 1,
                   .service = "s",
                   .at = at,
                   .servers = 3,
                   .running = {{.identity = {.request = poison},
                                .sentAt = inSequence ? at - interval / 2 : start - interval}}},
                  at);
    }
    const TimePoint end = start + seconds(2);
    REQUIRE(isPoison(crashRecordOf(evidence, poison, end)) == inSequence);
    REQUIRE(suspicionOf(evidence, poison, end) == Suspicion::RepeatedSuspect);
}

// Guards against two poison requests whose crashes hide each other.
TEST_CASE("Poison requests that crash servers by turns or at once are quarantined all the same")
{
    const auto [distance, mostCrashes] =
        GENERATE(table<int, int>({{150, 4}, {0, 4}, {60, 4}, {1000, 4}}));
    CAPTURE(distance);
    const Fingerprint other = request(9);
    Crashes crashes;
    int first = 0;
    int second = 0;
    for (int round = 0; round < 8; ++round) {
        const milliseconds at(2000 * round);
        const std::string name = std::to_string(round);
        if (crashes.of(poison, at) != Suspicion::Quarantined) {
            crashes.crash("a" + name, at, {poison, request(static_cast<std::uint8_t>(20 + round))});
            ++first;
        }
        if (crashes.of(other, at + milliseconds(distance)) != Suspicion::Quarantined) {
            crashes.crash("b" + name, at + milliseconds(distance), {other});
            ++second;
        }
    }
    REQUIRE(first <= mostCrashes);
    REQUIRE(second <= mostCrashes);
}

// Guards against requests that are refused after coincidences while something else crashes servers.
TEST_CASE("While servers crash for another reason, three crashes do not suffice")
{
    Crashes crashes;
    crashes.crash("x", milliseconds(0), {request(3)});
    for (int i = 1; i <= 4; ++i) {
        crashes.crash("s" + std::to_string(i), milliseconds(1000 * i), {innocent});
        REQUIRE(crashes.of(innocent, milliseconds(1000 * i + 1)) != Suspicion::Quarantined);
    }
    crashes.crash("s5", seconds(5), {innocent});
    REQUIRE(crashes.of(innocent, milliseconds(5001)) == Suspicion::Quarantined);
}

// Guards against one crash that counts as several because several gateways report it, or twice.
TEST_CASE("Reports about one crash are merged in any order")
{
    CrashEvidence evidence;
    const ServerCrash seen{.server = "a",
                           .startedAt = 1,
                           .service = "s",
                           .at = start,
                           .servers = serverCount,
                           .running = {{.identity = {.request = poison}}}};
    ServerCrash reported = seen;
    reported.at = start + milliseconds(40);
    reported.running = {{.identity = {.request = innocent}}};
    REQUIRE(noteCrash(evidence, reported, start));
    REQUIRE_FALSE(noteCrash(evidence, seen, start));
    REQUIRE_FALSE(noteCrash(evidence, reported, start));
    REQUIRE(crashRecordOf(evidence, poison, start).crashes == 1);
    REQUIRE(crashRecordOf(evidence, innocent, start).crashes == 1);
    ServerCrash next = seen;
    next.startedAt = 2;
    REQUIRE(noteCrash(evidence, next, start + milliseconds(500)));
    REQUIRE(crashRecordOf(evidence, poison, start).crashes == 2);
}

// Guards against a caller that makes gateways forget a poison request by crashing with many others.
TEST_CASE("Many other suspects do not push out the record of a repeated one")
{
    Crashes crashes;
    crashes.crash("a", milliseconds(0), {poison});
    crashes.crash("b", milliseconds(500), {poison});
    for (std::uint32_t i = 0; i < 2 * maxCrashes; ++i) {
        Fingerprint other;
        other.bytes = {3, static_cast<std::uint8_t>(i), static_cast<std::uint8_t>(i >> 8)};
        crashes.crash("o" + std::to_string(i), milliseconds(1000 + i), {other});
    }
    REQUIRE(crashes.evidence.crashes.size() <= maxCrashes);
    REQUIRE(crashes.of(poison, seconds(4)) == Suspicion::RepeatedSuspect);
}

// Guards against requests that stay refused, or are forgotten while their caller goes on.
TEST_CASE("A quarantine ends after its time, or by release, and forgets the crashes")
{
    Crashes crashes;
    for (int i = 0; i < 3; ++i)
        crashes.crash("s" + std::to_string(i), seconds(i), {poison});
    const TimePoint end = start + seconds(2) + quarantineTime;
    REQUIRE(removeExpired(crashes.evidence, end - seconds(1)).empty());
    quarantine(crashes.evidence, poison, end + seconds(5), end);
    REQUIRE(removeExpired(crashes.evidence, end + seconds(1)).empty());
    REQUIRE(removeExpired(crashes.evidence, end + seconds(6)).size() == 1);
    Crashes released;
    for (int i = 0; i < 3; ++i)
        released.crash("s" + std::to_string(i), seconds(i), {poison});
    release(released.evidence, poison, start + seconds(3));
    REQUIRE(released.of(poison, seconds(4)) == Suspicion::None);
}

// Guards against somebody else's request with the same text in other fields, and against repeats
// that are not recognised.
TEST_CASE("A fingerprint holds for a request's repeats and for no other request")
{
    GatewayRequest asked;
    asked.method = "POST";
    asked.target = "/a?b=1";
    asked.host = "h";
    asked.body = "text";
    const Fingerprint first = fingerprintOf(asked, "acme");
    asked.attemptId = "another";
    asked.host = "H";
    REQUIRE(fingerprintOf(asked, "acme") == first);
    REQUIRE(fingerprintOf(asked, "other") != first);
    REQUIRE(fingerprintFromText(toText(first)) == first);
    REQUIRE_FALSE(fingerprintFromText("not a fingerprint"));
    asked.target = "/a?b=";
    asked.body = "1text";
    REQUIRE(fingerprintOf(asked, "acme") != first);
}
