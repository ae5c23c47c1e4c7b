#include <csignal>
#include <future>

#include <catch2/catch.hpp>
#include <curl/curl.h>

#include "Programs/Bench/LoadWorker.h"
#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

LoadPlan stormPlan(const TestSystem &system, bool keyed)
{
    LoadPlan plan;
    plan.urls = {system.callerUrl(0, "quotations"), system.callerUrl(1, "quotations")};
    plan.headers = {"Wisteria-Organisation: north-wholesale", "Wisteria-Deadline-Ms: 3000"};
    plan.body = "mark %";
    plan.keyed = keyed;
    plan.connections = 16;
    plan.requests = 4000;
    plan.interval = std::chrono::nanoseconds(1000000);
    plan.markPrefix = keyed ? "keyed-" : "plain-";
    return plan;
}

std::future<LoadTally> storm(const TestSystem &system, bool keyed)
{
    return std::async(std::launch::async, [plan = stormPlan(system, keyed)] {
        LoadWorker worker(plan);
        return worker.run();
    });
}

/// Requests sent by then tell where in the storm the test is.
void waitForAnswers(const TestSystem &system, double answers)
{
    // Entries count by labels, so the agents' sum of runs is asked instead.
    eventually([&] { return system.totalRuns() >= answers; }, seconds(30));
}

} // namespace

// Everything that can happen on a bad day, in one run: two entries before 16 backend servers, an
// agent dies and comes back, another freezes for a while, connections are cut and swallowed, and
// one agent is replaced as planned, while keyed and plain requests go on.
TEST_CASE("A storm of faults crosses no answers and runs no key twice")
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    TestSystem system({.entries = 2, .backendServers = 16, .links = true});
    system.waitForKeys();
    auto keyed = storm(system, true);
    auto plain = storm(system, false);
    waitForAnswers(system, 500);
    system.agent(0).kill();
    system.agent(1).signal(SIGSTOP);
    system.link(2).cut();
    waitForAnswers(system, 1500);
    system.link(3).hold(true);
    system.restartAgent(0);
    system.agent(4).signal(SIGTERM);
    waitForAnswers(system, 2500);
    system.agent(1).signal(SIGCONT);
    system.link(3).hold(false);
    system.link(5).cut();
    CHECK(system.agent(4).waitForExit() == 0);
    LoadTally sum = keyed.get();
    const LoadTally plainTally = plain.get();
    const auto answered = plainTally.outcomes.at("answer");
    addTally(sum, plainTally);
    INFO(renderTally(sum, seconds(1)).dump(2));
    CHECK(sum.crossed == 0);
    CHECK(system.mostRunsOfAKey() == 1);
    CHECK(answered >= 3900);
    for (const auto &[name, count] : sum.outcomes) {
        INFO(name);
        CHECK((name == "answer" || name.starts_with("not_run/") || name.starts_with("unknown/")
               || name == "cut"));
    }
}

// One request crashes each backend server that runs it, and its caller sends it for ever, through
// both entries. Unchecked it would take down the whole pool one by one.
TEST_CASE("A killer request takes down at most three backend servers")
{
    TestSystem system({.entries = 2, .backendServers = 16});
    int deaths = 0;
    int refused = 0;
    int innocents = 0;
    for (int round = 0; round < 60; ++round) {
        system.ask(static_cast<std::size_t>(round % 2),
                   {.body = R"({"crash":true})", .deadline = seconds(2)});
        for (std::size_t i = 0; i < 16; ++i) {
            if (!system.backend(i).hasEnded())
                continue;
            ++deaths;
            system.restartBackend(i);
        }
        for (std::size_t entry = 0; entry < 2; ++entry) {
            ++innocents;
            refused += system.ask(entry, {.body = "innocent"}).status == 200 ? 0 : 1;
        }
    }
    INFO(deaths << " deaths, " << refused << " of " << innocents << " innocents refused");
    CHECK(deaths >= 1);
    CHECK(deaths <= 3);
    CHECK(refused * 100 < innocents);
}
