#include <catch2/catch.hpp>

#include "Programs/Gateway/EvidenceSharing.h"
#include "Request/CrashEvidence.h"
#include "Request/EvidenceGap.h"

using namespace wisteria;

namespace {

const TimePoint start{seconds(1000)};
const WallTime knownUntil{seconds(1'700'000'000)};
constexpr milliseconds longAfterStart = restartVisibleTime + milliseconds(1);

std::uint64_t bornAt(milliseconds afterKnown)
{
    return static_cast<std::uint64_t>((knownUntil + afterKnown).time_since_epoch().count());
}

/// A gap whose records were read at the start, long after the time written there.
EvidenceGap gapOf(const std::optional<WallTime> &known)
{
    EvidenceGap gap{.startedAt = start};
    noteRecordsRead(gap, {.knownUntil = known, .readAt = knownUntil + seconds(8)}, start);
    return gap;
}

BackendRegistry registryOf(std::uint64_t startedAt)
{
    BackendRegistry registry;
    registry.backends["i-1"].entry.service = "plain";
    registry.backends["i-1"].entry.startedAt = startedAt;
    return registry;
}

Fingerprint fingerprint(std::uint8_t number)
{
    Fingerprint made;
    made.bytes[0] = number;
    return made;
}

ServerCrash crashUnder(const Fingerprint &request, const std::string &server, TimePoint at)
{
    return {.server = server,
            .service = "plain",
            .at = at,
            .servers = 6,
            .running = {{.identity = {.request = request}}}};
}

} // namespace

TEST_CASE("Only services with a server started in the gap are in doubt once restarts are visible")
{
    const EvidenceGap gap = gapOf(knownUntil);
    const BackendRegistry before = registryOf(bornAt(-startTimeTolerance));
    const BackendRegistry within = registryOf(bornAt(milliseconds(1)));
    CHECK(servicesInDoubt(gap, before, start).size() == 1);
    CHECK(servicesInDoubt(gap, before, start + longAfterStart).empty());
    CHECK(servicesInDoubt(gap, within, start + longAfterStart).size() == 1);
    CHECK(servicesInDoubt(gap, registryOf(0), start + longAfterStart).size() == 1);
}

TEST_CASE("Nothing is in doubt at the very first start, nor after crashes count no more")
{
    const BackendRegistry registry = registryOf(bornAt(milliseconds(1)));
    CHECK(servicesInDoubt(gapOf(std::nullopt), registry, start).empty());
    EvidenceGap gap = gapOf(knownUntil);
    closeIfExpired(gap, crashLifetime, start + crashLifetime);
    CHECK_FALSE(gap.closed);
    closeIfExpired(gap, crashLifetime, start + crashLifetime + milliseconds(1));
    CHECK(servicesInDoubt(gap, registry, start).empty());
}

TEST_CASE("Nothing is in doubt after a restart of all gateways while the store answers")
{
    const bool callFailed = GENERATE(false, true);
    EvidenceGap gap{.startedAt = start};
    noteRecordsRead(
        gap,
        {.knownUntil = knownUntil, .readAt = knownUntil + maxRestartTime, .callFailed = callFailed},
        start);
    CHECK(gap.closed != callFailed);
}

// Guards against requests that a store which answers some calls only would stop.
TEST_CASE("No service is in doubt before the records are read")
{
    const EvidenceGap gap{.startedAt = start};
    CHECK(servicesInDoubt(gap, registryOf(bornAt(milliseconds(1))), start + seconds(60)).empty());
}

// Guards against three further crashes of a request that may have crashed servers before.
TEST_CASE("An unproven request is sent three times in all, its first copy included")
{
    const Fingerprint request = fingerprint(1);
    CrashEvidence evidence;
    noteUnproven(evidence, request, start);
    for (std::uint32_t copy = 0; copy < maxLastSends; ++copy) {
        const TimePoint at = start + copy * seconds(3);
        CAPTURE(copy);
        REQUIRE(hasLastSend(evidence, request, at));
        noteLastSend(evidence, request, copy, {.at = at});
        noteCrash(evidence, crashUnder(request, "i-" + std::to_string(copy), at + seconds(1)),
                  at + seconds(1));
        CHECK(isRestricted(evidence, request, at + seconds(1)));
    }
    CHECK_FALSE(hasLastSend(evidence, request, start + seconds(30)));
}

TEST_CASE("A gateway that was told of the crashes of an unproven request sends it no fourth time")
{
    const Fingerprint request = fingerprint(1);
    CrashEvidence evidence;
    noteUnproven(evidence, request, start);
    for (int i = 0; i < 3; ++i) {
        CHECK(hasLastSend(evidence, request, start + seconds(3)));
        noteCrash(evidence, crashUnder(request, "i-" + std::to_string(i), start + i * seconds(1)),
                  start + seconds(3));
    }
    CHECK_FALSE(hasLastSend(evidence, request, start + seconds(3)));
}

// Guards against sound requests that stay held back: those that complete, and those that servers
// answer with an error of the caller.
TEST_CASE("A request is not unproven any more once a server has completed or answered it")
{
    const Fingerprint request = fingerprint(1);
    CrashEvidence evidence;
    noteUnproven(evidence, request, start);
    CHECK(suspicionOf(evidence, request, start) == Suspicion::RepeatedSuspect);
    SECTION("completed")
    {
        noteCompletion(evidence, request, start, start);
        noteUnproven(evidence, request, start + seconds(1));
        CHECK_FALSE(isUnproven(evidence, request));
    }
    SECTION("answered")
    noteAnswered(evidence, request);
    CHECK(suspicionOf(evidence, request, start + seconds(1)) == Suspicion::None);
}

// Guards against a popular request that is refused at a gateway that starts in doubt, as it reads
// of the sends of the request but is not told that it has completed since.
TEST_CASE("What completes in doubt is told to a gateway that starts, and is not spent there")
{
    const Fingerprint request = fingerprint(1);
    const TimePoint completedAt = start + seconds(2);
    CrashEvidence evidence;
    noteUnproven(evidence, request, start);
    noteCompletion(evidence, request, completedAt, completedAt);
    const EvidenceSharing sharing(evidence, {});
    CrashEvidence later;
    for (const GroupMessage &message : sharing.allReports(completedAt + seconds(1))) {
        const auto &report = std::get<CompletionReport>(message);
        for (const FingerprintBytes &bytes : report.requests)
            noteCompletion(later, {bytes}, completedAt, completedAt + seconds(1));
    }
    noteCrash(later, crashUnder(request, "i-1", start), completedAt + seconds(2));
    for (std::uint32_t i = 0; i < maxLastSends; ++i)
        noteLastSend(later, request, i, {.at = start});
    noteUnproven(later, request, completedAt + seconds(2));
    CHECK_FALSE(isSpent(later, request, completedAt + seconds(2)));
    CHECK(suspicionOf(later, request, completedAt + seconds(2)) == Suspicion::None);
}

// Guards against callers that wait for nothing, and against a trial of a quarantined request that
// is refused while it waits for its turn.
TEST_CASE("Only an unproven request without sends left and without a verdict is spent")
{
    const Fingerprint request = fingerprint(1);
    CrashEvidence evidence;
    noteUnproven(evidence, request, start);
    noteCrash(evidence, crashUnder(request, "i-1", start), start);
    for (std::uint32_t i = 0; i < maxLastSends; ++i) {
        CHECK_FALSE(isSpent(evidence, request, start));
        noteLastSend(evidence, request, i, {.at = start});
    }
    CHECK(isSpent(evidence, request, start));
    SECTION("a trial")
    quarantine(evidence, request, start + quarantineTime, start);
    SECTION("three known crashes")
    {
        noteCrash(evidence, crashUnder(request, "i-2", start), start);
        noteCrash(evidence, crashUnder(request, "i-3", start), start);
    }
    CHECK_FALSE(isSpent(evidence, request, start));
}

// Guards against crashes that are granted anew when the doubt ends, ten minutes after the start.
TEST_CASE("A request that crashed a server while it was unproven stays restricted after the doubt")
{
    const Fingerprint crashing = fingerprint(1);
    const Fingerprint other = fingerprint(2);
    CrashEvidence evidence;
    noteUnproven(evidence, crashing, start);
    noteUnproven(evidence, other, start);
    noteCrash(evidence, crashUnder(crashing, "i-1", start), start);
    forgetUnproven(evidence, start + seconds(1));
    CHECK(isRestricted(evidence, crashing, start + seconds(1)));
    CHECK_FALSE(isUnproven(evidence, other));
}

TEST_CASE("Sends of an unproven request that ended without a crash count for a while only")
{
    const Fingerprint request = fingerprint(1);
    CrashEvidence evidence;
    noteUnproven(evidence, request, start);
    for (std::uint32_t i = 0; i < maxLastSends; ++i)
        noteLastSend(evidence, request, i, {.at = start});
    CHECK_FALSE(hasLastSend(evidence, request, start + seconds(1)));
    CHECK(hasLastSend(evidence, request, start + unprovenSendTime + milliseconds(1)));
    CHECK(restrictedRequests(evidence, start).empty());
}
