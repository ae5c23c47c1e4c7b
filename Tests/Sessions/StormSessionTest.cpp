#include <csignal>
#include <future>

#include <catch2/catch.hpp>
#include <curl/curl.h>

#include "Programs/Bench/LoadWorker.h"
#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

LoadPlan makeLoadPlan(const TestSystem &system, bool keyed)
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

std::future<LoadTally> startLoad(const TestSystem &system, bool keyed)
{
    return std::async(std::launch::async, [plan = makeLoadPlan(system, keyed)] {
        LoadWorker worker(plan);
        return worker.run();
    });
}

/// Waits until the backend servers have run this many requests, so that faults are injected at
/// fixed points of the load.
void waitForRuns(const TestSystem &system, double runs)
{
    // metric() can't read the entries' counters, which have labels, so runs are summed instead.
    eventually([&] { return system.totalRuns() >= runs; }, seconds(30));
}

} // namespace

// Many faults in one run with two entries and 16 backend servers, under load of keyed and
// idempotent requests: an agent dies and restarts, another is stopped for a while, connections are
// cut or stalled, and one agent is shut down as planned.
TEST_CASE("No answer goes to another request and no key runs twice under many faults at once")
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    TestSystem system({.entries = 2, .backendServers = 16, .useProxies = true});
    system.waitUntilKeysAccepted();
    auto keyed = startLoad(system, true);
    auto plain = startLoad(system, false);
    waitForRuns(system, 500);
    system.agent(0).kill();
    system.agent(1).signal(SIGSTOP);
    system.proxy(2).cut();
    waitForRuns(system, 1500);
    system.proxy(3).stall(true);
    system.restartAgent(0);
    system.agent(4).signal(SIGTERM);
    waitForRuns(system, 2500);
    system.agent(1).signal(SIGCONT);
    system.proxy(3).stall(false);
    system.proxy(5).cut();
    CHECK(system.agent(4).waitForExit() == 0);
    LoadTally sum = keyed.get();
    const LoadTally plainTally = plain.get();
    const auto answered = plainTally.outcomes.at("answer");
    addTally(sum, plainTally);
    INFO(renderTally(sum, seconds(1)).dump(2));
    CHECK(sum.crossed == 0);
    CHECK(system.maxRunsPerKey() == 1);
    CHECK(answered >= 3900);
    for (const auto &[name, count] : sum.outcomes) {
        INFO(name);
        CHECK((name == "answer" || name.starts_with("not_run/") || name.starts_with("unknown/")
               || name == "cut"));
    }
}

// A poison request crashes each backend server that runs it, and its caller repeats it endlessly
// through both entries. Without quarantine it would crash all backend servers one by one.
TEST_CASE("A poison request causes at most three crashes, and other requests are answered")
{
    TestSystem system({.entries = 2, .backendServers = 16});
    int crashes = 0;
    int failed = 0;
    int otherRequests = 0;
    for (int round = 0; round < 60; ++round) {
        system.send(static_cast<std::size_t>(round % 2),
                    {.body = R"({"crash":true})", .deadline = seconds(2)});
        for (std::size_t i = 0; i < 16; ++i) {
            if (!system.backend(i).hasEnded())
                continue;
            ++crashes;
            system.restartBackend(i);
        }
        for (std::size_t entry = 0; entry < 2; ++entry) {
            ++otherRequests;
            failed += system.send(entry, {.body = "innocent"}).status == 200 ? 0 : 1;
        }
    }
    INFO(crashes << " crashes, " << failed << " of " << otherRequests << " other requests failed");
    CHECK(crashes >= 1);
    CHECK(crashes <= 3);
    CHECK(failed * 100 < otherRequests);
}
