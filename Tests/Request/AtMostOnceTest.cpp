#include <catch2/catch.hpp>

#include "Request/KeyHashing.h"
#include "Request/RequestWorld.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

/// A world with one home for every key, and direct access to its gate.
struct OneHome
{
    RequestWorld world;
    AdmissionState &admission;
    StreamId lastStream = 1000;

    explicit OneHome(const RequestGuards &guards = {})
        : world({.agents = 1, .guards = guards}), admission(world.agents[0].admission)
    { }

    v1::RunHead head(const CallerRequest &request, std::uint32_t callerAttempt)
    {
        v1::RunHead head;
        head.set_request_id(request.id);
        head.set_attempt(1);
        head.set_service(request.service);
        head.set_organisation(request.organisation);
        head.set_remaining_ms(600);
        head.set_key(request.key);
        head.set_caller_attempt(callerAttempt);
        head.set_fingerprint(request.fingerprint);
        return head;
    }

    AdmissionAction arrive(const v1::RunHead &head)
    {
        const AdmissionActions actions =
            runArrived(admission, ++lastStream, head, world.now, world.wall());
        REQUIRE(actions.size() == 1);
        return actions.front();
    }

    v1::Verdict refused(const v1::RunHead &head)
    {
        const AdmissionAction action = arrive(head);
        REQUIRE(std::holds_alternative<RefuseAttempt>(action));
        return std::get<RefuseAttempt>(action).verdict;
    }

    void runToEnd(const v1::RunHead &head, const std::optional<std::string> &body)
    {
        REQUIRE(std::holds_alternative<StartBackend>(arrive(head)));
        backendEnded(admission, lastStream, {BackendEnd::Answered, 200, "text/plain", body},
                     world.now);
    }
};

} // namespace

// A clerk is told "not run" and orders again elsewhere; then the first order is drafted too.
// Order: try 1 is stuck in a slow entry, try 2 reaches the home while its backend server is down
// and is refused, the backend server returns, try 1 arrives at last. Cause: the home forgot that it
// had answered for the key.
TEST_CASE("A try older than a refused one never runs")
{
    for (const bool guarded : {true, false}) {
        RequestGuards guards;
        guards.refusedTries = guarded;
        OneHome home(guards);
        const CallerRequest order = home.world.keyedRequest("order");
        backendHealth(home.admission, false, home.world.now);
        CHECK(home.refused(home.head(order, 2)).kind() == v1::VERDICT_KIND_NOT_RUN);
        backendHealth(home.admission, true, home.world.now);
        const AdmissionAction late = home.arrive(home.head(order, 1));
        CHECK(std::holds_alternative<RefuseAttempt>(late) == guarded);
        if (guarded)
            CHECK(std::holds_alternative<StartBackend>(home.arrive(home.head(order, 3))));
    }
}

// A courier's door release is answered with another's door.
// Order: a release runs and its answer is kept; the same key comes with another body, or from
// another organisation.
// Cause: keys are chosen by callers and may collide or be reused.
TEST_CASE("A kept answer goes only to the same request of the same organisation")
{
    OneHome home;
    const CallerRequest door = home.world.keyedRequest("door 7");
    home.runToEnd(home.head(door, 1), "opened 7");
    const AdmissionAction again = home.arrive(home.head(door, 2));
    REQUIRE(std::holds_alternative<ReplayAnswer>(again));
    CHECK(std::get<ReplayAnswer>(again).body == "opened 7");
    v1::RunHead upper = home.head(door, 2);
    for (char &digit : *upper.mutable_key())
        digit = static_cast<char>(std::toupper(digit));
    CHECK(std::holds_alternative<ReplayAnswer>(home.arrive(upper)));
    v1::RunHead otherBody = home.head(door, 1);
    otherBody.set_fingerprint(42);
    CHECK(home.refused(otherBody).reason() == v1::REASON_BAD_REQUEST);
    CHECK(home.refused(otherBody).kind() == v1::VERDICT_KIND_OUTCOME_UNKNOWN);
    v1::RunHead otherOrganisation = home.head(door, 1);
    otherOrganisation.set_organisation("other");
    CHECK(std::holds_alternative<StartBackend>(home.arrive(otherOrganisation)));
}

TEST_CASE("A repeat of what ran without a kept answer is told so")
{
    OneHome home;
    const CallerRequest order = home.world.keyedRequest("order");
    home.runToEnd(home.head(order, 1), std::nullopt);
    CHECK(home.refused(home.head(order, 2)).kind() == v1::VERDICT_KIND_ALREADY_RUN);
}

// An order line is doubled although its key was remembered for a while.
// Order: an order runs, so many others follow that its key is forgotten, the caller repeats it.
// Cause: memory is bounded.
TEST_CASE("A key forgotten for lack of memory never runs again")
{
    OneHome home;
    const CallerRequest first = home.world.keyedRequest("first");
    home.runToEnd(home.head(first, 1), "done");
    for (std::size_t i = 0; i < maxKeys; ++i) {
        home.world.now += milliseconds(1);
        rememberKey(home.admission.keys, keyId(home.world.wall(), "org", std::to_string(i)));
    }
    CHECK(home.admission.keys.records.size() == maxKeys);
    CHECK(home.refused(home.head(first, 2)).kind() == v1::VERDICT_KIND_OUTCOME_UNKNOWN);
    CHECK(home.refused(home.head(first, 2)).reason() == v1::REASON_KEY_TOO_OLD);
}

// An agent's memory grows without end.
// Order: callers send keys that are refused, older or newer than any, or whose answers are tiny.
// Cause: refused tries and the order of answers are remembered too.
TEST_CASE("No kind of key makes the memory outgrow its bound")
{
    OneHome home;
    const WallTime wall = home.world.wall();
    for (std::size_t i = 0; i < maxKeys + 100; ++i) {
        const KeyId newer = keyId(wall + milliseconds(i), "org", "newer");
        rememberKey(home.admission.keys, newer);
        storeAnswer(home.admission.keys, newer, {200, "", ""});
        rememberKey(home.admission.keys, keyId(wall - milliseconds(i), "org", "older"));
    }
    CHECK(home.admission.keys.records.size() <= maxKeys);
    CHECK(home.admission.keys.answerOrder.size() <= maxKeys);
    CallerRequest ahead = home.world.keyedRequest("ahead");
    ahead.key = "ffffffff-ffff-7000-8000-000000000001";
    const std::size_t before = home.admission.keys.records.size();
    CHECK(home.refused(home.head(ahead, 1)).kind() == v1::VERDICT_KIND_OUTCOME_UNKNOWN);
    CHECK(home.admission.keys.records.size() == before);
}

TEST_CASE("Answers kept for repeats stay within their bound")
{
    OneHome home;
    const std::string body(maxStoredAnswerBytes - 100, 'x');
    for (int i = 0; i < 600; ++i) {
        const KeyId id = keyId(home.world.wall(), "org", std::to_string(i));
        rememberKey(home.admission.keys, id);
        storeAnswer(home.admission.keys, id, {200, "text/plain", body});
    }
    CHECK(home.admission.keys.answerBytes <= maxStoredBytes);
    CHECK(home.admission.keys.answerBytes > maxStoredBytes - maxStoredAnswerBytes);
}

// A door opens twice after an agent restarted.
// Order: a caller whose clock is fast releases a door, the agent restarts, the caller repeats; the
// key looks younger than the agent's start.
// Cause: the caller's clock.
TEST_CASE("A key ahead of the home's clock is not run")
{
    OneHome home;
    CallerRequest door = home.world.keyedRequest("door");
    home.world.now -= seconds(3);
    CHECK(home.refused(home.head(door, 1)).reason() == v1::REASON_KEY_UNPROVEN);
    home.world.now += seconds(2);
    // The caller was told that try 1 did not run, so only a new try may.
    CHECK(std::holds_alternative<RefuseAttempt>(home.arrive(home.head(door, 1))));
    CHECK(std::holds_alternative<StartBackend>(home.arrive(home.head(door, 2))));
}

// An order line is doubled although the configuration looks the same to its home.
// Order: the home is frozen; a server joins, takes the key, runs it and is removed; the home wakes
// and reads both changes at once; the caller repeats.
// Cause: a version that was in force elsewhere was never in force at the home.
TEST_CASE("Keys of a version that the home never saw are not run")
{
    for (const int versions : {1, 2}) {
        OneHome home;
        CallerRequest order = home.world.keyedRequest("order");
        for (int i = 0; i < versions; ++i) {
            ++home.world.config.version;
            v1::SeenChange &seen = home.world.config.seen["unseen-" + std::to_string(i)];
            seen.set_offset(home.world.config.version);
            seen.set_accepted(true);
        }
        setAdmissionConfiguration(home.admission, home.world.config, "server-0", home.world.now,
                                  home.world.wall());
        const AdmissionAction action = home.arrive(home.head(order, 2));
        CHECK(std::holds_alternative<StartBackend>(action) == (versions == 1));
    }
}

// A lock opens twice because the entry tried again.
// Order: the release was sent, the connection breaks, the entry has a retry budget.
// Cause: whether the release ran is not known.
TEST_CASE("A non-idempotent request that may have reached its home is not sent again")
{
    for (const bool idempotent : {true, false}) {
        for (const bool mayHaveReached : {true, false}) {
            RequestWorld world((WorldOptions()));
            const CallerRequest caller =
                idempotent ? world.idempotentRequest("door") : world.keyedRequest("door");
            RequestWorld::Entry &entry = world.entries[0];
            RequestState request;
            REQUIRE(std::holds_alternative<SendAttempt>(
                startRequest(entry.state, *entry.shared, request, caller, world.now)));
            const EntryAction next =
                attemptLost(entry.state, *entry.shared, request, mayHaveReached, world.now);
            CHECK(std::holds_alternative<SendAttempt>(next) == (idempotent || !mayHaveReached));
        }
    }
}

TEST_CASE("A key's time is read from a UUID version 7 only")
{
    CHECK(keyTime("018bcfe5-6800-7000-8000-000000000001") == WallTime(milliseconds(1700000000000)));
    for (const std::string bad :
         {"", "018bcfe5-6800-4000-8000-000000000001", "018bcfe5-6800-7000-c000-000000000001",
          "018bcfe5-6800-7000-8000-00000000000g", "018bcfe5668000700008000000000000001x"})
        CHECK(keyTime(bad) == std::nullopt);
}
