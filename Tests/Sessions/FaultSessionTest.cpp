#include <csignal>

#include <catch2/catch.hpp>

#include "Sessions/TestSystem.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

const std::string heldBody = R"({"hold":"gate","tag":"held"})";
constexpr milliseconds shortDeadline(2000);
/// What a caller may wait beyond its deadline on a busy machine.
constexpr milliseconds slack(1500);

std::string outcomeOf(const HttpAnswer &answer)
{
    return answer.status == 200 ? "answer" : answer.json().value("outcome", "none");
}

/// Asks for a key until its end is known; a repeat may never run it, whatever it is told.
HttpAnswer repeatUntilAnswered(const TestSystem &system, std::size_t entry, CallerAsk ask)
{
    HttpAnswer answer;
    eventually(
        [&] {
            ++ask.attempt;
            answer = system.ask(entry, ask);
            return answer.status == 200;
        },
        milliseconds(4000));
    return answer;
}

} // namespace

// The clerk's quotation stops in the middle. The backend server died while it streamed; the clerk
// must see that the answer is cut, never a short one that looks whole.
TEST_CASE("A stream whose backend server dies is seen as cut")
{
    TestSystem system({.backendServers = 1});
    auto answer = system.askLater(0, {.body = R"({"stream":3,"hold":"gate"})"});
    system.backend(system.waitForHolder()).kill();
    const HttpAnswer cut = answer.get();
    CHECK_FALSE((cut.status == 200 && cut.whole));
}

// A door opens twice. The backend server dies after the lock was released and before it answered;
// the caller repeats the key, and the restarted backend server would run it again.
TEST_CASE("A keyed request whose backend server died is never run again")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    system.waitForKeys();
    const CallerAsk ask{.body = heldBody, .key = freshKey()};
    auto first = system.askLater(0, ask);
    const std::size_t holder = system.waitForHolder();
    system.backend(holder).kill();
    CHECK(outcomeOf(first.get()) == "unknown");
    system.restartBackend(holder);
    system.release("gate");
    for (int attempt = 2; attempt < 6; ++attempt) {
        CallerAsk repeat = ask;
        repeat.attempt = attempt;
        const HttpAnswer answer = system.ask(static_cast<std::size_t>(attempt % 2), repeat);
        CHECK(outcomeOf(answer) != "answer");
        CHECK(outcomeOf(answer) != "not_run");
    }
    CHECK(system.runs("keys", ask.key) == 0);
}

// The same door, but the agent dies: what it knew of the key is lost, and the repeat comes to its
// successor, which remembers nothing.
TEST_CASE("A keyed request whose agent died is never run again")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    system.waitForKeys();
    const CallerAsk ask{.body = heldBody, .key = freshKey()};
    auto first = system.askLater(0, ask);
    const std::size_t holder = system.waitForHolder();
    system.agent(holder).kill();
    CHECK(outcomeOf(first.get()) == "unknown");
    system.restartAgent(holder);
    system.release("gate");
    for (int attempt = 2; attempt < 8; ++attempt) {
        CallerAsk repeat = ask;
        repeat.attempt = attempt;
        const HttpAnswer answer = system.ask(static_cast<std::size_t>(attempt % 2), repeat);
        CHECK(outcomeOf(answer) != "not_run");
    }
    CHECK(system.runs("keys", ask.key) == 1);
}

// The caller's connection breaks with its entry, it repeats through the other entry while the
// first run still goes on, and gets the first run's answer in the end.
TEST_CASE("When an entry dies, the repeat through the other one gets the first run's answer")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    system.waitForKeys();
    const CallerAsk ask{.body = heldBody, .key = freshKey()};
    auto first = system.askLater(0, ask);
    system.waitForHolder();
    system.entry(0).kill();
    CHECK_FALSE(first.get().whole);
    CallerAsk repeat = ask;
    repeat.attempt = 2;
    CHECK(outcomeOf(system.ask(1, repeat)) != "not_run");
    system.release("gate");
    const HttpAnswer answer = repeatUntilAnswered(system, 1, repeat);
    CHECK(answer.status == 200);
    CHECK(answer.json().value("key", "") == ask.key);
    CHECK(system.runs("keys", ask.key) == 1);
}

// A VM stalls: its agent is frozen with a request inside. Its caller must not wait past its
// deadline, others must not notice, and after the thaw the late answer goes to nobody else.
TEST_CASE("A frozen agent costs its own caller a truthful refusal, and nobody else anything")
{
    TestSystem system({.entries = 2, .backendServers = 3});
    system.waitForKeys();
    const CallerAsk ask{.body = heldBody, .key = freshKey(), .deadline = shortDeadline};
    auto first = system.askLater(0, ask);
    const std::size_t holder = system.waitForHolder();
    system.agent(holder).signal(SIGSTOP);
    const HttpAnswer refusal = first.get();
    CHECK(outcomeOf(refusal) == "unknown");
    CHECK(refusal.took < shortDeadline + slack);
    for (int i = 0; i < 20; ++i) {
        const std::string body = "other " + std::to_string(i);
        const HttpAnswer other =
            system.ask(static_cast<std::size_t>(i % 2), {.body = body, .deadline = seconds(5)});
        CHECK(outcomeOf(other) == "answer");
        CHECK(other.json().value("echo", "") == body);
    }
    system.agent(holder).signal(SIGCONT);
    system.release("gate");
    for (int attempt = 2; attempt < 6; ++attempt) {
        CallerAsk repeat = ask;
        repeat.attempt = attempt;
        CHECK(outcomeOf(system.ask(1, repeat)) != "not_run");
    }
    CHECK(system.runs("keys", ask.key) == 1);
}

// The engine stalls and answers nothing more, but its process lives and so does its agent.
TEST_CASE("Nobody waits past the deadline for a stalled backend server")
{
    TestSystem system({.backendServers = 2, .concurrency = 2});
    system.backend(0).signal(SIGSTOP);
    int answered = 0;
    for (int i = 0; i < 12; ++i) {
        const HttpAnswer answer = system.ask(0, {.deadline = shortDeadline});
        CHECK(answer.status != 0);
        CHECK(answer.took < shortDeadline + slack);
        answered += answer.status == 200 ? 1 : 0;
    }
    CHECK(answered >= 9);
    system.backend(0).signal(SIGCONT);
}

// The log is down for an hour. Nobody who is being served may notice.
TEST_CASE("Requests go on while the log is down, slow or loses answers")
{
    TestSystem system({.entries = 2, .backendServers = 2});
    system.waitForKeys();
    const std::vector<nlohmann::json> faults = {
        {{"append", "down"}, {"read", "down"}},
        {{"append", "slow"}, {"read", "slow"}, {"slow_ms", 500}},
        {{"append", "lose_answer"}, {"read", "ok"}},
    };
    for (const auto &fault : faults) {
        system.setLogFaults(fault);
        for (std::size_t i = 0; i < 6; ++i) {
            CHECK(outcomeOf(system.ask(i % 2, {})) == "answer");
            CHECK(outcomeOf(system.ask(i % 2, {.key = freshKey()})) == "answer");
        }
    }
    system.log().kill();
    CHECK(outcomeOf(system.ask(0, {})) == "answer");
    CHECK(outcomeOf(system.ask(1, {.key = freshKey()})) == "answer");
}
