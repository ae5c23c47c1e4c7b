#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Request/CrashRecord.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(1000)};
constexpr std::uint32_t serverCount = 16;

Fingerprint named(std::uint8_t kind, std::uint8_t number)
{
    Fingerprint fingerprint;
    fingerprint.bytes = {kind, number};
    return fingerprint;
}

const Fingerprint sharedPart = named(1, 1);
const Fingerprint badPart = named(1, 2);
const Fingerprint companion = named(1, 3);

/// Gateways' knowledge of one service in virtual time. Each request is another one.
struct Service
{
    RequestIdentity request(std::vector<Fingerprint> parts)
    {
        return {.request = named(2, ++lastRequest), .parts = std::move(parts)};
    }

    /// A server crashes; prompts with these parts are in flight there.
    void crash(milliseconds at, const std::vector<std::vector<Fingerprint>> &prompts)
    {
        ServerCrash crash{.server = "s" + std::to_string(++lastServer),
                          .startedAt = lastServer,
                          .service = "s",
                          .at = start + at,
                          .servers = serverCount};
        for (const std::vector<Fingerprint> &parts : prompts)
            crash.running.push_back({.identity = request(parts)});
        noteCrash(evidence, crash, start + at);
    }

    void complete(milliseconds at, const std::vector<Fingerprint> &parts)
    {
        countCompletion(evidence, "s");
        for (const Fingerprint &part : parts)
            noteCompletion(evidence, part, start + at, start + at);
    }

    void judge(milliseconds at)
    {
        while (const auto found = newPoison(evidence, true, start + at))
            quarantine(evidence, *found, start + at + quarantineTime, start + at);
    }

    Suspicion of(const std::vector<Fingerprint> &parts, milliseconds at)
    {
        return suspicionOf(evidence, request(parts), start + at);
    }

    CrashEvidence evidence;
    std::uint8_t lastRequest = 0;
    std::uint64_t lastServer = 0;
};

} // namespace

// Guards against a part that crashes one server after the other under requests that are no two
// alike, and against the refusal of all requests that share its companions, as nothing completes
// between two crashes.
TEST_CASE("A part that never completed is quarantined after three crashes, those beside it are not")
{
    Service service;
    service.complete(milliseconds(0), {sharedPart, companion});
    for (int i = 1; i <= 3; ++i) {
        service.crash(seconds(4 * i), {{sharedPart, badPart, companion}, {sharedPart}});
        service.judge(seconds(4 * i) + foundDownTime);
    }
    REQUIRE(service.of({badPart}, seconds(20)) == Suspicion::Quarantined);
    REQUIRE(service.of({sharedPart, companion}, seconds(20)) == Suspicion::None);
    for (int i = 4; i <= 9; ++i) {
        service.crash(seconds(4 * i), {{sharedPart, badPart, companion}});
        service.judge(seconds(4 * i) + foundDownTime);
    }
    REQUIRE(service.of({sharedPart, companion}, seconds(40)) == Suspicion::None);
}

// Guards against a sound part that is refused because it was in flight with the bad one only, so
// that nothing told them apart.
TEST_CASE("Parts that nothing tells apart are refused together only, until one of them shows it")
{
    Service service;
    for (int i = 1; i <= 3; ++i)
        service.crash(seconds(4 * i), {{badPart, companion}});
    service.judge(seconds(15));
    REQUIRE(service.of({badPart, companion}, seconds(16)) == Suspicion::Quarantined);
    REQUIRE(service.of({companion}, seconds(16)) == Suspicion::RepeatedSuspect);
    REQUIRE(service.of({badPart}, seconds(16)) == Suspicion::RepeatedSuspect);
    SECTION("the companion completes")
    service.complete(seconds(17), {companion});
    SECTION("the bad part crashes a server alone")
    service.crash(seconds(17), {{badPart}});
    service.judge(seconds(20));
    REQUIRE(service.of({badPart}, seconds(20)) == Suspicion::Quarantined);
    service.complete(seconds(21), {companion});
    REQUIRE(service.of({companion}, seconds(21)) == Suspicion::None);
    REQUIRE(service.of({badPart}, seconds(21)) == Suspicion::Quarantined);
}

// Guards against many servers lost at one moment that count as many signs against what was in
// flight at all of them.
TEST_CASE("A loss of power is one sign against what was in flight, however many servers it takes")
{
    const std::uint32_t lost = GENERATE(4, 8, 16);
    Service service;
    for (int loss = 0; loss < 3; ++loss) {
        for (std::uint32_t i = 0; i < lost; ++i)
            service.crash(seconds(4 * loss) + milliseconds(5 * i), {{sharedPart}});
    }
    service.judge(seconds(20));
    CAPTURE(lost);
    REQUIRE(service.of({sharedPart}, seconds(20)) != Suspicion::Quarantined);
}

// Guards against a verdict on the first reports of a loss of power.
TEST_CASE("A verdict waits until all crashes of the moment may be known")
{
    Service service;
    for (int i = 1; i <= 3; ++i)
        service.crash(seconds(4 * i), {{badPart}});
    service.judge(seconds(12) + foundDownTime - milliseconds(1));
    REQUIRE(service.of({badPart}, seconds(13)) == Suspicion::RepeatedSuspect);
    service.judge(seconds(12) + foundDownTime);
    REQUIRE(service.of({badPart}, seconds(14)) == Suspicion::Quarantined);
}

// Guards against a refusal of all prompts when something else crashes a group's servers, again and
// again before anything completes, and against a part that has become poison for ever.
TEST_CASE("A part that has completed before is refused only if others complete and it does not")
{
    Service service;
    service.complete(milliseconds(0), {sharedPart, badPart});
    const bool othersComplete = GENERATE(false, true);
    CAPTURE(othersComplete);
    for (int i = 1; i <= 6; ++i) {
        service.crash(seconds(4 * i), {{sharedPart, badPart}});
        if (othersComplete)
            service.complete(seconds(4 * i + 2), {sharedPart});
        service.judge(seconds(4 * i + 3));
    }
    REQUIRE((service.of({badPart}, seconds(30)) == Suspicion::Quarantined) == othersComplete);
    REQUIRE(service.of({sharedPart}, seconds(30)) == Suspicion::None);
}

// Guards against an old completion that becomes known late and ends a quarantine, and against a
// verdict that nothing can end.
TEST_CASE("A quarantined part is tried twice an hour, and only a later completion releases it")
{
    Service service;
    for (int i = 1; i <= 3; ++i)
        service.crash(seconds(4 * i), {{badPart}});
    service.judge(seconds(14));
    const TimePoint verdict = start + seconds(14);
    noteCompletion(service.evidence, badPart, start + seconds(1), verdict + seconds(1));
    REQUIRE(service.of({badPart}, seconds(16)) == Suspicion::Quarantined);
    std::uint32_t tries = 0;
    for (milliseconds at = seconds(14); at < quarantineTime; at += seconds(10)) {
        if (service.of({badPart}, at) == Suspicion::Quarantined)
            continue;
        REQUIRE(at >= seconds(14) + trialInterval);
        REQUIRE(exclusiveSuspects(service.evidence, service.request({badPart}), start + at)
                == std::vector<Fingerprint>{badPart});
        noteTrial(service.evidence, badPart, start + at);
        ++tries;
    }
    REQUIRE(tries == maxTrials);
    service.complete(quarantineTime, {badPart});
    REQUIRE(service.of({badPart}, quarantineTime) == Suspicion::None);
}

// Guards against an attacker who makes gateways forget what is sound by sending new parts.
TEST_CASE("Parts that complete often are remembered among many others")
{
    CompletionTimes times;
    for (std::uint32_t i = 0; i < 20 * maxCompletionsPerPeriod; ++i) {
        const TimePoint now = start + milliseconds(i);
        Fingerprint other;
        other.bytes = {9, static_cast<std::uint8_t>(i), static_cast<std::uint8_t>(i >> 8),
                       static_cast<std::uint8_t>(i >> 16)};
        noteCompletionTime(times, other, now, now);
        if (i % 100 == 0)
            noteCompletionTime(times, sharedPart, now, now);
    }
    REQUIRE(lastCompletion(times, sharedPart).has_value());
    constexpr std::size_t periods = 4;
    REQUIRE(sizeOf(times) <= periods * maxCompletionsPerPeriod);
}
