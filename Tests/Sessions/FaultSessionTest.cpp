#include <csignal>

#include <catch2/catch.hpp>

#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

const std::string heldBody = R"({"hold":"gate","tag":"held"})";
constexpr milliseconds shortDeadline(2000);
/// How long after its deadline an answer may arrive on a busy machine.
constexpr milliseconds deadlineTolerance(1500);

std::string outcomeOf(const HttpAnswer &answer)
{
    return answer.status == 200 ? "answer" : answer.json().value("outcome", "none");
}

/// Repeats a keyed request until it is answered with 200 or 4 s have passed.
/// @return The last answer.
HttpAnswer repeatUntilAnswered(const TestSystem &system, std::size_t entry, TestRequest request)
{
    HttpAnswer answer;
    eventually(
        [&] {
            ++request.attempt;
            answer = system.send(entry, request);
            return answer.status == 200;
        },
        milliseconds(4000));
    return answer;
}

} // namespace

// A backend server dies while it streams an answer. The caller must see that the answer is cut off,
// never a short answer that looks complete.
TEST_CASE("A caller sees a stream as cut off when its backend server dies")
{
    TestSystem system({.backendServers = 1});
    auto answer = system.sendAsync(0, {.body = R"({"stream":3,"hold":"gate"})"});
    system.backend(system.waitForHeldRequest()).kill();
    const HttpAnswer cut = answer.get();
    CHECK_FALSE((cut.status == 200 && cut.complete));
}

// Guards against a request that runs twice, such as one that opens a door: the backend
// server dies after it ran the request and before it answered, the caller repeats the key, and the
// restarted backend server runs it again.
TEST_CASE("A keyed request whose backend server died is never run again")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    system.waitUntilKeysAccepted();
    const TestRequest request{.body = heldBody, .key = freshKey()};
    auto first = system.sendAsync(0, request);
    const std::size_t holder = system.waitForHeldRequest();
    system.backend(holder).kill();
    CHECK(outcomeOf(first.get()) == "unknown");
    system.restartBackend(holder);
    system.release("gate");
    for (int attempt = 2; attempt < 6; ++attempt) {
        TestRequest repeat = request;
        repeat.attempt = attempt;
        const HttpAnswer answer = system.send(static_cast<std::size_t>(attempt % 2), repeat);
        CHECK(outcomeOf(answer) != "answer");
        CHECK(outcomeOf(answer) != "not_run");
    }
    // The restarted backend server counts from 0, so any run would be a second one.
    CHECK(system.runs("keys", request.key) == 0);
}

// Guards against a second run when the agent dies: its record of the key is lost, and the repeat
// reaches the restarted agent, which has no record of it.
TEST_CASE("A keyed request whose agent died is never run again")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    system.waitUntilKeysAccepted();
    const TestRequest request{.body = heldBody, .key = freshKey()};
    auto first = system.sendAsync(0, request);
    const std::size_t holder = system.waitForHeldRequest();
    system.agent(holder).kill();
    CHECK(outcomeOf(first.get()) == "unknown");
    system.restartAgent(holder);
    system.release("gate");
    for (int attempt = 2; attempt < 8; ++attempt) {
        TestRequest repeat = request;
        repeat.attempt = attempt;
        const HttpAnswer answer = system.send(static_cast<std::size_t>(attempt % 2), repeat);
        CHECK(outcomeOf(answer) != "not_run");
    }
    CHECK(system.runs("keys", request.key) == 1);
}

// An entry dies while it forwards a request. The caller repeats the key through the other entry
// while the first run is still in progress, and must get that run's answer.
TEST_CASE("A repeat through another entry gets the first run's answer when an entry dies")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    system.waitUntilKeysAccepted();
    const TestRequest request{.body = heldBody, .key = freshKey()};
    auto first = system.sendAsync(0, request);
    system.waitForHeldRequest();
    system.entry(0).kill();
    CHECK_FALSE(first.get().complete);
    TestRequest repeat = request;
    repeat.attempt = 2;
    CHECK(outcomeOf(system.send(1, repeat)) != "not_run");
    system.release("gate");
    const HttpAnswer answer = repeatUntilAnswered(system, 1, repeat);
    CHECK(answer.status == 200);
    CHECK(answer.json().value("key", "") == request.key);
    CHECK(system.runs("keys", request.key) == 1);
}

// A VM stalls: its agent is stopped (SIGSTOP) with a request in flight. The caller must get
// an error with outcome "unknown" by its deadline, and other callers must get their own answers.
// After the agent resumes, its late answer must reach no other caller, and no repeat may be
// reported as not run.
TEST_CASE("A stalled agent makes its own request end as unknown and affects no other request")
{
    TestSystem system({.entries = 2, .backendServers = 3});
    system.waitUntilKeysAccepted();
    const TestRequest request{.body = heldBody, .key = freshKey(), .deadline = shortDeadline};
    auto first = system.sendAsync(0, request);
    const std::size_t holder = system.waitForHeldRequest();
    system.agent(holder).signal(SIGSTOP);
    const HttpAnswer refusal = first.get();
    CHECK(outcomeOf(refusal) == "unknown");
    CHECK(refusal.duration < shortDeadline + deadlineTolerance);
    for (int i = 0; i < 20; ++i) {
        const std::string body = "other " + std::to_string(i);
        const HttpAnswer other =
            system.send(static_cast<std::size_t>(i % 2), {.body = body, .deadline = seconds(5)});
        CHECK(outcomeOf(other) == "answer");
        CHECK(other.json().value("echo", "") == body);
    }
    system.agent(holder).signal(SIGCONT);
    system.release("gate");
    for (int attempt = 2; attempt < 6; ++attempt) {
        TestRequest repeat = request;
        repeat.attempt = attempt;
        CHECK(outcomeOf(system.send(1, repeat)) != "not_run");
    }
    CHECK(system.runs("keys", request.key) == 1);
}

// The backend server stops answering, but its process and its agent still run. Requests must end by
// their deadline, and most must be answered by the other backend server.
TEST_CASE("No caller waits past its deadline for a stalled backend server")
{
    TestSystem system({.backendServers = 2, .concurrency = 2});
    system.backend(0).signal(SIGSTOP);
    int answered = 0;
    for (int i = 0; i < 12; ++i) {
        const HttpAnswer answer = system.send(0, {.deadline = shortDeadline});
        CHECK(answer.status != 0);
        CHECK(answer.duration < shortDeadline + deadlineTolerance);
        answered += answer.status == 200 ? 1 : 0;
    }
    CHECK(answered >= 9);
    system.backend(0).signal(SIGCONT);
}

// An outage of the log must not affect requests, which need only the configuration in force.
TEST_CASE("Requests are answered while the log is down, slow or loses answers")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    system.waitUntilKeysAccepted();
    const std::vector<nlohmann::json> faults = {
        {{"append", "down"}, {"read", "down"}},
        {{"append", "slow"}, {"read", "slow"}, {"slow_ms", 500}},
        {{"append", "lose_answer"}, {"read", "ok"}},
    };
    for (const auto &fault : faults) {
        system.setLogFaults(fault);
        for (std::size_t i = 0; i < 6; ++i) {
            CHECK(outcomeOf(system.send(i % 2, {})) == "answer");
            CHECK(outcomeOf(system.send(i % 2, {.key = freshKey()})) == "answer");
        }
    }
    system.log().kill();
    CHECK(outcomeOf(system.send(0, {})) == "answer");
    CHECK(outcomeOf(system.send(1, {.key = freshKey()})) == "answer");
}
