#include <algorithm>
#include <iostream>
#include <string>

#include <catch2/catch.hpp>

#include "Request/RequestWorld.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

constexpr seconds observed{30};
constexpr milliseconds innocentEvery{5};
constexpr milliseconds killerEvery{50};

enum class KillerWay { OneCaller, BothEntriesAtOnce, NewKeys };

struct Outcome
{
    int deaths = 0;
    int innocents = 0;
    int refused = 0;
};

/// Sixteen backend servers under innocent load, and a caller that sends a killer for ever.
Outcome runKiller(KillerWay way, bool withKiller, milliseconds start)
{
    RequestWorld world({.agents = 16, .concurrency = 4, .queueBound = 16});
    world.serviceTime = milliseconds(50);
    const CallerRequest killer = world.idempotentRequest("killer");
    if (withKiller)
        world.killers.insert(killer.fingerprint);
    Outcome outcome;
    for (milliseconds at{0}; at < observed; at += innocentEvery) {
        world.after(at, [&world, &outcome, at] {
            const auto number = at / innocentEvery;
            const std::string content = "innocent " + std::to_string(number);
            const CallerRequest request =
                number % 4 == 0 ? world.keyedRequest(content) : world.idempotentRequest(content);
            ++outcome.innocents;
            world.submit(static_cast<int>(number % 2), request, false, [&outcome](Told told) {
                outcome.refused += told == Told::Answer ? 0 : 1;
            });
        });
    }
    for (milliseconds at = start; at < observed; at += killerEvery) {
        world.after(at, [&world, &killer, way, at] {
            const bool both = way == KillerWay::BothEntriesAtOnce;
            for (int entry = 0; entry < 2; ++entry) {
                if (!both && (at / killerEvery) % 2 != entry)
                    continue;
                CallerRequest again = way == KillerWay::NewKeys ? world.keyedRequest("killer")
                                                                : world.idempotentRequest("killer");
                again.fingerprint = killer.fingerprint;
                world.submit(entry, again);
            }
        });
    }
    world.run(observed + seconds(2));
    CHECK(world.breaches().empty());
    outcome.deaths = world.backendDeaths;
    return outcome;
}

void checkKiller(KillerWay way, const std::string &name)
{
    constexpr int runs = 10;
    int most = 0;
    int refused = 0;
    int innocents = 0;
    for (int run = 0; run < runs; ++run) {
        const Outcome outcome = runKiller(way, true, milliseconds(1000 + 7 * run));
        most = std::max(most, outcome.deaths);
        refused += outcome.refused;
        innocents += outcome.innocents;
        CHECK(outcome.deaths >= 1);
        CHECK(outcome.deaths <= 3);
    }
    const int refusedAnyway = runKiller(way, false, milliseconds(1000)).refused;
    std::cout << name << ": at most " << most << " backend servers taken down in " << runs
              << " runs; " << refused << " of " << innocents << " innocents without an answer ("
              << refusedAnyway << " in a run without the killer)\n";
    CHECK(refused * 100 < innocents);
}

} // namespace

// A buyer's odd request takes down one backend server after the other, and clerks get no answers.
// Order: the request crashes each backend server that runs it; its caller, the entries' retries and
// other entries send it again, at once and for ever.
// Cause: what was in flight at a death is not told from what caused it.
TEST_CASE("One killer through alternating entries takes down at most three backend servers")
{
    checkKiller(KillerWay::OneCaller, "one caller, alternating entries");
}

TEST_CASE("One killer through both entries at once takes down at most three backend servers")
{
    checkKiller(KillerWay::BothEntriesAtOnce, "both entries at once");
}

TEST_CASE("One non-idempotent killer with new keys takes down at most three backend servers")
{
    checkKiller(KillerWay::NewKeys, "non-idempotent, a new key each time");
}

// The killer's caller never gives up, and the conviction lapses while it still sends.
// Order: conviction, then a repeat every minute for a day.
// Cause: convictions are kept for a time only.
TEST_CASE("A conviction holds for as long as the request is repeated, and lapses afterwards")
{
    const TimePoint start{seconds(1000)};
    PoisonRequests requests;
    recordDeath(requests, 7, 1, true, start);
    TimePoint now = start;
    for (int minute = 0; minute < 24 * 60; ++minute) {
        now += std::chrono::minutes(1);
        REQUIRE(suspicionOf(requests, 7, now) == Suspicion::Quarantined);
        renewQuarantine(requests, 7, now);
    }
    CHECK(suspicionOf(requests, 7, now + quarantineTime) == Suspicion::None);
}

TEST_CASE("Suspect reports give the same standing in any order, late or twice")
{
    const TimePoint start{seconds(1000)};
    PoisonRequests agent;
    recordDeath(agent, 7, 1, false, start);
    const auto suspected = suspectReports(agent, start);
    recordGoodRun(agent, 7);
    const auto cleared = suspectReports(agent, start);
    for (const bool clearedFirst : {true, false}) {
        PoisonRequests entry;
        for (const auto &reports :
             {clearedFirst ? cleared : suspected, suspected, clearedFirst ? suspected : cleared}) {
            for (const v1::SuspectReport &report : reports)
                mergeSuspectReport(entry, report, start);
        }
        CHECK(suspicionOf(entry, 7, start) == Suspicion::None);
        recordDeath(entry, 7, 2, false, start);
        CHECK(suspicionOf(entry, 7, start) == Suspicion::Suspect);
    }
}

TEST_CASE("The memory of suspects is bounded and keeps the newest")
{
    TimePoint now{seconds(1000)};
    PoisonRequests requests;
    for (std::uint64_t fingerprint = 0; fingerprint < maxSuspects + 10; ++fingerprint) {
        now += milliseconds(1);
        recordDeath(requests, fingerprint, fingerprint, false, now);
    }
    CHECK(requests.records.size() == maxSuspects);
    CHECK(suspicionOf(requests, maxSuspects + 9, now) == Suspicion::Suspect);
    CHECK(suspectReports(requests, now).size() == maxSuspectReports);
    for (std::uint64_t death = 0; death < 3 * maxDeaths; ++death) {
        recordDeath(requests, 7, death, false, now);
        CHECK(suspicionOf(requests, 7, now) == Suspicion::Suspect);
        if (death % 5 == 0)
            recordGoodRun(requests, 7);
    }
    CHECK(requests.records.at(7).deaths.size() <= maxDeaths);
}
