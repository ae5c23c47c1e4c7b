#include <catch2/catch.hpp>

#include "Request/KeyHashing.h"
#include "Request/RequestWorld.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

/// A world in which one agent owns every key, with direct access to its admission control.
struct SingleOwner
{
    RequestWorld world;
    AdmissionState &admission;
    StreamId lastStream = 1000;

    explicit SingleOwner(const RequestGuards &guards = {})
        : world({.agents = 1, .guards = guards}), admission(world.agents[0].admission)
    { }

    v1::RunHead head(const CallerRequest &request, std::uint32_t callerTry)
    {
        v1::RunHead head;
        head.set_request_id(request.id);
        head.set_attempt(1);
        head.set_service(request.service);
        head.set_organisation(request.organisation);
        head.set_remaining_ms(600);
        head.set_key(request.key);
        head.set_caller_attempt(callerTry);
        head.set_fingerprint(request.fingerprint);
        return head;
    }

    AdmissionAction arrive(const v1::RunHead &head)
    {
        const AdmissionActions actions =
            attemptArrived(admission, ++lastStream, head, world.now, world.wall());
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

// Guards against an order that runs although its caller got "not run" and ordered again elsewhere.
// Try 1 is delayed in a slow entry. Try 2 reaches the owner while its backend server is down and is
// refused as not run. After the backend server returns, try 1 arrives, and an owner that did not
// record the refusal would run it.
TEST_CASE("A try older than a refused one never runs")
{
    for (const bool guarded : {true, false}) {
        RequestGuards guards;
        guards.refusedTries = guarded;
        SingleOwner owner(guards);
        const CallerRequest order = owner.world.keyedRequest("order");
        backendHealth(owner.admission, false, owner.world.now);
        CHECK(owner.refused(owner.head(order, 2)).kind() == v1::VERDICT_KIND_NOT_RUN);
        backendHealth(owner.admission, true, owner.world.now);
        const AdmissionAction late = owner.arrive(owner.head(order, 1));
        CHECK(std::holds_alternative<RefuseAttempt>(late) == guarded);
        if (guarded)
            CHECK(std::holds_alternative<StartBackend>(owner.arrive(owner.head(order, 3))));
    }
}

// Guards against a caller that gets the answer of a different request under the same key. Keys are
// chosen by callers, so a key may collide or be reused with another body or by another organisation
// while the answer of the first request is stored.
TEST_CASE("A stored answer is replayed only for the same request of the same organisation")
{
    SingleOwner owner;
    const CallerRequest door = owner.world.keyedRequest("door 7");
    owner.runToEnd(owner.head(door, 1), "opened 7");
    const AdmissionAction again = owner.arrive(owner.head(door, 2));
    REQUIRE(std::holds_alternative<ReplayAnswer>(again));
    CHECK(std::get<ReplayAnswer>(again).body == "opened 7");
    v1::RunHead upper = owner.head(door, 2);
    for (char &digit : *upper.mutable_key())
        digit = static_cast<char>(std::toupper(digit));
    CHECK(std::holds_alternative<ReplayAnswer>(owner.arrive(upper)));
    v1::RunHead otherBody = owner.head(door, 1);
    otherBody.set_fingerprint(42);
    CHECK(owner.refused(otherBody).reason() == v1::REASON_BAD_REQUEST);
    CHECK(owner.refused(otherBody).kind() == v1::VERDICT_KIND_OUTCOME_UNKNOWN);
    v1::RunHead otherOrganisation = owner.head(door, 1);
    otherOrganisation.set_organisation("other");
    CHECK(std::holds_alternative<StartBackend>(owner.arrive(otherOrganisation)));
}

TEST_CASE("A repeat of a request that ran is refused as already run if its answer is not stored")
{
    SingleOwner owner;
    const CallerRequest order = owner.world.keyedRequest("order");
    owner.runToEnd(owner.head(order, 1), std::nullopt);
    CHECK(owner.refused(owner.head(order, 2)).kind() == v1::VERDICT_KIND_ALREADY_RUN);
}

// Guards against an order that runs twice although its key was recorded. The memory of keys is
// bounded, so later keys evict it before the caller repeats the order.
TEST_CASE("An evicted key never runs again")
{
    SingleOwner owner;
    const CallerRequest first = owner.world.keyedRequest("first");
    owner.runToEnd(owner.head(first, 1), "done");
    for (std::size_t i = 0; i < maxKeys; ++i) {
        owner.world.now += milliseconds(1);
        findOrAddKey(owner.admission.keys, keyId(owner.world.wall(), "org", std::to_string(i)));
    }
    CHECK(owner.admission.keys.records.size() == maxKeys);
    CHECK(owner.refused(owner.head(first, 2)).kind() == v1::VERDICT_KIND_OUTCOME_UNKNOWN);
    CHECK(owner.refused(owner.head(first, 2)).reason() == v1::REASON_KEY_TOO_OLD);
}

// Guards against an agent's memory that grows without bound. Refused tries and the order of answers
// are recorded too, for keys older or newer than all others and for keys with tiny answers.
TEST_CASE("The memory of keys stays within its bound for every kind of key")
{
    SingleOwner owner;
    const WallTime wall = owner.world.wall();
    for (std::size_t i = 0; i < maxKeys + 100; ++i) {
        const KeyId newer = keyId(wall + milliseconds(i), "org", "newer");
        findOrAddKey(owner.admission.keys, newer);
        storeAnswer(owner.admission.keys, newer, {200, "", ""});
        findOrAddKey(owner.admission.keys, keyId(wall - milliseconds(i), "org", "older"));
    }
    CHECK(owner.admission.keys.records.size() <= maxKeys);
    CHECK(owner.admission.keys.answerOrder.size() <= maxKeys);
    CallerRequest ahead = owner.world.keyedRequest("ahead");
    ahead.key = "ffffffff-ffff-7000-8000-000000000001";
    const std::size_t before = owner.admission.keys.records.size();
    CHECK(owner.refused(owner.head(ahead, 1)).kind() == v1::VERDICT_KIND_OUTCOME_UNKNOWN);
    CHECK(owner.admission.keys.records.size() == before);
}

TEST_CASE("Answers stored for repeats stay within their bound")
{
    SingleOwner owner;
    const std::string body(maxStoredAnswerBytes - 100, 'x');
    for (int i = 0; i < 600; ++i) {
        const KeyId id = keyId(owner.world.wall(), "org", std::to_string(i));
        findOrAddKey(owner.admission.keys, id);
        storeAnswer(owner.admission.keys, id, {200, "text/plain", body});
    }
    CHECK(owner.admission.keys.answerBytes <= maxStoredBytes);
    CHECK(owner.admission.keys.answerBytes > maxStoredBytes - maxStoredAnswerBytes);
}

// Guards against a request that runs twice after an agent restarted. The caller's clock is fast, so
// its key looks newer than the agent's start when the caller repeats it after the restart.
TEST_CASE("A key ahead of the owner's clock is not run")
{
    SingleOwner owner;
    CallerRequest door = owner.world.keyedRequest("door");
    owner.world.now -= seconds(3);
    CHECK(owner.refused(owner.head(door, 1)).reason() == v1::REASON_KEY_UNPROVEN);
    owner.world.now += seconds(2);
    // Try 1 was refused as not run, so only a new try may run.
    CHECK(std::holds_alternative<RefuseAttempt>(owner.arrive(owner.head(door, 1))));
    CHECK(std::holds_alternative<StartBackend>(owner.arrive(owner.head(door, 2))));
}

// Guards against an order that runs twice although its owner sees the same set of servers as
// before. While the owner is frozen, a server joins, owns the key, runs it and is removed. The
// owner then reads both changes at once and gets the caller's repeat; the version in between was
// never in force there.
TEST_CASE("An owner that missed a version does not run keys that may have run elsewhere meanwhile")
{
    for (const int versions : {1, 2}) {
        SingleOwner owner;
        CallerRequest order = owner.world.keyedRequest("order");
        for (int i = 0; i < versions; ++i) {
            ++owner.world.config.version;
            v1::SeenChange &seen = owner.world.config.seen["unseen-" + std::to_string(i)];
            seen.set_offset(owner.world.config.version);
            seen.set_accepted(true);
        }
        setAdmissionConfiguration(owner.admission, owner.world.config, "server-0", owner.world.now,
                                  owner.world.wall());
        const AdmissionAction action = owner.arrive(owner.head(order, 2));
        CHECK(std::holds_alternative<StartBackend>(action) == (versions == 1));
    }
}

// Guards against a non-idempotent request that runs twice because the entry retries it. The
// connection breaks after the request was sent, so it is not known whether it ran, and the retry
// budget allows more.
TEST_CASE("A non-idempotent request that may have reached its owner is not sent again")
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

TEST_CASE("A key's creation time is read only from a UUID version 7")
{
    CHECK(keyTime("018bcfe5-6800-7000-8000-000000000001") == WallTime(milliseconds(1700000000000)));
    for (const std::string bad :
         {"", "018bcfe5-6800-4000-8000-000000000001", "018bcfe5-6800-7000-c000-000000000001",
          "018bcfe5-6800-7000-8000-00000000000g", "018bcfe5668000700008000000000000001x"})
        CHECK(keyTime(bad) == std::nullopt);
}
