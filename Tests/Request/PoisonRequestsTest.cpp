#include <algorithm>
#include <iostream>
#include <string>

#include <catch2/catch.hpp>

#include "Request/RequestWorld.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

constexpr seconds observationTime{30};
constexpr milliseconds otherInterval{5};
constexpr milliseconds poisonInterval{50};

enum class ResendPattern { AlternatingEntries, BothEntriesAtOnce, NewKeys };

struct Outcome
{
    int deaths = 0;
    int otherRequests = 0;
    int unanswered = 0;
};

/// Sends harmless requests to sixteen backend servers, while a caller keeps sending a request that
/// crashes every backend server that runs it.
Outcome runPoisonRequest(ResendPattern pattern, bool withPoison, milliseconds start)
{
    RequestWorld world({.agents = 16, .concurrency = 4, .queueBound = 16});
    world.serviceTime = milliseconds(50);
    const CallerRequest poison = world.idempotentRequest("killer");
    if (withPoison)
        world.poisonFingerprints.insert(poison.fingerprint);
    Outcome outcome;
    for (milliseconds at{0}; at < observationTime; at += otherInterval) {
        world.after(at, [&world, &outcome, at] {
            const auto number = at / otherInterval;
            const std::string content = "innocent " + std::to_string(number);
            const CallerRequest request =
                number % 4 == 0 ? world.keyedRequest(content) : world.idempotentRequest(content);
            ++outcome.otherRequests;
            world.submit(static_cast<int>(number % 2), request, false,
                         [&outcome](CallResult result) {
                             outcome.unanswered += result == CallResult::Answer ? 0 : 1;
                         });
        });
    }
    for (milliseconds at = start; at < observationTime; at += poisonInterval) {
        world.after(at, [&world, &poison, pattern, at] {
            const bool both = pattern == ResendPattern::BothEntriesAtOnce;
            for (int entry = 0; entry < 2; ++entry) {
                if (!both && (at / poisonInterval) % 2 != entry)
                    continue;
                CallerRequest again = pattern == ResendPattern::NewKeys
                    ? world.keyedRequest("killer")
                    : world.idempotentRequest("killer");
                again.fingerprint = poison.fingerprint;
                world.submit(entry, again);
            }
        });
    }
    world.run(observationTime + seconds(2));
    CHECK(world.violations().empty());
    outcome.deaths = world.backendDeaths;
    return outcome;
}

void checkPoisonRequest(ResendPattern pattern, const std::string &name)
{
    constexpr int runs = 10;
    int mostDeaths = 0;
    int unanswered = 0;
    int otherRequests = 0;
    for (int run = 0; run < runs; ++run) {
        const Outcome outcome = runPoisonRequest(pattern, true, milliseconds(1000 + 7 * run));
        mostDeaths = std::max(mostDeaths, outcome.deaths);
        unanswered += outcome.unanswered;
        otherRequests += outcome.otherRequests;
        CHECK(outcome.deaths >= 1);
        CHECK(outcome.deaths <= 3);
    }
    const int unansweredAnyway = runPoisonRequest(pattern, false, milliseconds(1000)).unanswered;
    std::cout << name << ": at most " << mostDeaths << " backend servers taken down in " << runs
              << " runs; " << unanswered << " of " << otherRequests
              << " other requests without an answer (" << unansweredAnyway
              << " in a run without the poison request)\n";
    CHECK(unanswered * 100 < otherRequests);
}

} // namespace

// Guards against one request that crashes one backend server after the other, so that other callers
// get no answers. Its caller, the entries' retries and other entries keep sending it, and the
// request that caused a death can't be distinguished from those that were only in flight.
TEST_CASE("A poison request through alternating entries crashes at most three backend servers")
{
    checkPoisonRequest(ResendPattern::AlternatingEntries, "one caller, alternating entries");
}

TEST_CASE("A poison request through both entries at once crashes at most three backend servers")
{
    checkPoisonRequest(ResendPattern::BothEntriesAtOnce, "both entries at once");
}

TEST_CASE("A non-idempotent poison request with new keys crashes at most three backend servers")
{
    checkPoisonRequest(ResendPattern::NewKeys, "non-idempotent, a new key each time");
}

// Guards against a quarantine that expires while the caller still repeats the poison request every
// minute, and the request crashes another backend server. A quarantine lasts for a limited time.
TEST_CASE("A quarantine holds as long as the request is repeated, and expires afterwards")
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

TEST_CASE("Suspect reports lead to the same suspicion in any order, late or twice")
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

TEST_CASE("Records of suspects are bounded and the newest are kept")
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
