#include <iostream>

#include <catch2/catch.hpp>

#include "Request/RequestWorld.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

/// A world of which the test drives one entry directly.
struct OneEntry
{
    RequestWorld world{WorldOptions()};
    EntryState &state = world.entries[0].state;
    EntryShared &shared = *world.entries[0].shared;

    EntryAction start(RequestState &request, milliseconds deadline = milliseconds(0))
    {
        CallerRequest caller = world.idempotentRequest("lookup");
        caller.deadline = deadline;
        return startRequest(state, shared, request, caller, world.now);
    }

    EntryAction refuse(RequestState &request, v1::Reason reason)
    {
        v1::Verdict verdict;
        verdict.set_kind(v1::VERDICT_KIND_NOT_RUN);
        verdict.set_reason(reason);
        return apply(request, verdict);
    }

    EntryAction accept(RequestState &request, std::uint32_t status)
    {
        v1::Verdict verdict;
        verdict.set_kind(v1::VERDICT_KIND_ACCEPTED);
        verdict.set_http_status(status);
        return apply(request, verdict);
    }

private:
    EntryAction apply(RequestState &request, const v1::Verdict &verdict)
    {
        v1::AgentFrame frame;
        frame.set_request_id(request.request.id);
        frame.set_attempt(request.attempt);
        *frame.mutable_verdict() = verdict;
        return applyFrame(state, shared, request, frame, world.now);
    }
};

v1::RunHead headWith(std::uint32_t priority, milliseconds remaining)
{
    v1::RunHead head;
    head.set_service(serviceName);
    head.set_priority(priority);
    head.set_remaining_ms(remaining.count());
    head.set_idempotent(true);
    return head;
}

const StartBackend &started(const AdmissionActions &actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<StartBackend>(actions.front()));
    return std::get<StartBackend>(actions.front());
}

v1::Reason refusedFor(const AdmissionActions &actions)
{
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<RefuseAttempt>(actions.front()));
    return std::get<RefuseAttempt>(actions.front()).verdict.reason();
}

} // namespace

// Guards against a retry storm. Every agent refuses because of overload and every entry retries as
// often as it may, so that each request becomes three and retries multiply the overload.
TEST_CASE("Retries without successes stop when their budget is spent")
{
    OneEntry entry;
    int attempts = 0;
    for (int i = 0; i < 100; ++i) {
        RequestState request;
        EntryAction action = entry.start(request);
        while (std::holds_alternative<SendAttempt>(action)) {
            ++attempts;
            action = entry.refuse(request, v1::REASON_QUEUE_FULL);
        }
        CHECK(std::get<Refusal>(action).end == EndKind::NotRun);
        CHECK(std::get<Refusal>(action).reason == v1::REASON_QUEUE_FULL);
    }
    CHECK(attempts == 100 + static_cast<int>(maxRetryBudget));
}

// Guards against an answer that no backend server can have given, which an agent passes on.
TEST_CASE("An agent's verdict whose status is none of HTTP's means that the outcome is unknown")
{
    for (const std::uint32_t status : {0U, 99U, 101U, 199U, 600U, 4294967295U}) {
        CAPTURE(status);
        OneEntry entry;
        RequestState request;
        EntryAction action = entry.start(request);
        while (std::holds_alternative<SendAttempt>(action))
            action = entry.accept(request, status);
        REQUIRE(std::holds_alternative<Refusal>(action));
        CHECK(std::get<Refusal>(action).end == EndKind::OutcomeUnknown);
    }
    OneEntry entry;
    RequestState request;
    entry.start(request);
    CHECK(std::get<StartAnswer>(entry.accept(request, 404)).httpStatus == 404);
}

TEST_CASE("An attempt carries the remaining time, and a request that can't meet its deadline is "
          "refused at once")
{
    OneEntry entry;
    RequestState request;
    const EntryAction first = entry.start(request, milliseconds(500));
    CHECK(std::get<SendAttempt>(first).head.remaining_ms() == 500);
    entry.world.now += milliseconds(200);
    const EntryAction second = entry.refuse(request, v1::REASON_LEAVING);
    CHECK(std::get<SendAttempt>(second).head.remaining_ms() == 300);
    v1::LoadReport load;
    load.set_running(1);
    load.set_queued(4);
    load.set_service_time_us(200'000);
    for (const std::string &name : heartbeatTargets(entry.state))
        observeLoad(entry.state, name, load, 1, entry.world.now);
    RequestState late;
    const EntryAction refused = entry.start(late, milliseconds(500));
    REQUIRE(std::holds_alternative<Refusal>(refused));
    CHECK(std::get<Refusal>(refused).end == EndKind::NotRun);
    CHECK(std::get<Refusal>(refused).reason == v1::REASON_DEADLINE);
    CHECK(std::get<Refusal>(refused).retryAfter > milliseconds(500));
    RequestState patient;
    CHECK(std::holds_alternative<SendAttempt>(entry.start(patient, seconds(5))));
}

TEST_CASE("A change of entries moves subsets at once and keeps the state of backend servers")
{
    RequestWorld world({.agents = 12});
    v1::Object object;
    object.mutable_routing_policy()->set_subset_size(3);
    world.config.objects[{v1::OBJECT_KIND_ROUTING_POLICY, "few"}].mutable_object()->CopyFrom(
        object);
    world.config.objects[{v1::OBJECT_KIND_SERVICE, serviceName}]
        .mutable_object()
        ->mutable_service()
        ->set_routing_policy("few");
    ++world.config.version;
    EntryState &state = world.entries[1].state;
    setConfiguration(state, *world.entries[1].shared, world.config, world.now);
    const auto before = heartbeatTargets(state);
    REQUIRE(before.size() == 3);
    v1::LoadReport load;
    load.set_leaving(true);
    for (const std::string &name : before)
        observeLoad(state, name, load, 1, world.now);
    setEntries(state, *world.entries[1].shared, {"entry-0", "entry-1", "entry-2"}, world.now);
    for (const Candidate &candidate : state.services.at(serviceName).candidates)
        CHECK(candidate.draining);
    setEntries(state, *world.entries[1].shared, {"entry-0", "entry-00", "entry-1"}, world.now);
    CHECK(heartbeatTargets(state) != before);
    setEntries(state, *world.entries[1].shared, {"entry-0", "entry-1"}, world.now);
    CHECK(heartbeatTargets(state) == before);
}

TEST_CASE("The agent's queue is bounded, ordered by priority and refuses attempts that can't meet "
          "their deadline")
{
    RequestWorld world({.agents = 1, .queueBound = 3});
    AdmissionState &admission = world.agents[0].admission;
    const auto arrive = [&](StreamId stream, std::uint32_t priority, milliseconds remaining) {
        return attemptArrived(admission, stream, headWith(priority, remaining), world.now,
                              world.wall());
    };
    const auto end = [&](StreamId stream) {
        world.now += milliseconds(100);
        return backendEnded(admission, stream, {BackendEnd::Answered, 200, "", std::nullopt},
                            world.now);
    };
    CHECK(started(arrive(1, 0, seconds(1))).stream == 1);
    CHECK(arrive(2, 0, seconds(1)).empty());
    CHECK(started(end(1)).stream == 2);
    CHECK(refusedFor(arrive(3, 0, milliseconds(150))) == v1::REASON_DEADLINE);
    CHECK(arrive(4, 1, seconds(1)).empty());
    CHECK(arrive(5, 2, seconds(1)).empty());
    CHECK(arrive(6, 1, seconds(1)).empty());
    CHECK(refusedFor(arrive(7, 3, seconds(1))) == v1::REASON_QUEUE_FULL);
    CHECK(started(end(2)).stream == 5);
    CHECK(started(end(5)).stream == 4);
    CHECK(started(end(4)).stream == 6);
}

// Guards against new callers that each wait until their deadline at a stalled backend server,
// although its agent could detect the stall: the process accepts requests, but does not answer its
// health check.
TEST_CASE("An agent with a stalled backend server refuses new work at once and reports it as down")
{
    RequestWorld world({.agents = 1});
    AdmissionState &admission = world.agents[0].admission;
    admission.backendStalled = true;
    CHECK(refusedFor(attemptArrived(admission, 1, headWith(0, seconds(1)), world.now, world.wall()))
          == v1::REASON_BACKEND_DOWN);
    CHECK(loadReport(admission).backend_down());
    admission.backendStalled = false;
    CHECK(started(attemptArrived(admission, 2, headWith(0, seconds(1)), world.now, world.wall()))
              .stream
          == 2);
}

// Guards against a planned shutdown that cuts a running request. SIGTERM arrives while one request
// runs and another is queued, and a process that does not wait for running requests ends.
TEST_CASE("A draining agent refuses queued and new attempts as not run, and completes running ones")
{
    RequestWorld world({.agents = 1});
    AdmissionState &admission = world.agents[0].admission;
    attemptArrived(admission, 1, headWith(0, seconds(1)), world.now, world.wall());
    attemptArrived(admission, 2, headWith(0, seconds(1)), world.now, world.wall());
    CHECK(refusedFor(beginDraining(admission, world.now)) == v1::REASON_LEAVING);
    CHECK(refusedFor(attemptArrived(admission, 3, headWith(0, seconds(1)), world.now, world.wall()))
          == v1::REASON_LEAVING);
    CHECK_FALSE(idle(admission));
    CHECK(loadReport(admission).leaving());
    CHECK(backendEnded(admission, 1, {BackendEnd::Answered, 200, "", std::nullopt}, world.now)
              .empty());
    CHECK(idle(admission));
}

// Guards against many callers that wait until their deadline because one backend server accepts
// requests and never answers, or because its agent is frozen. The connections of a stalled process
// stay open.
TEST_CASE("With a stalled backend server or agent fewer than 1% of callers get no answer")
{
    for (const bool agentFrozen : {false, true}) {
        RequestWorld world({.agents = 16, .concurrency = 4, .queueBound = 16});
        int unanswered = 0;
        int sent = 0;
        for (milliseconds at{0}; at < seconds(30); at += milliseconds(5)) {
            world.after(at, [&world, &unanswered, &sent] {
                ++sent;
                world.submit(sent % 2, world.idempotentRequest(std::to_string(sent)), false,
                             [&unanswered](CallResult result) {
                                 unanswered += result == CallResult::Answer ? 0 : 1;
                             });
            });
        }
        if (agentFrozen)
            world.freeze(world.agents[3].node, seconds(30));
        else
            world.backends[3].stalled = true;
        world.run(seconds(32));
        std::cout << (agentFrozen ? "frozen agent: " : "hung backend server: ") << unanswered
                  << " of " << sent << " callers without an answer\n";
        CHECK(world.violations().empty());
        CHECK(unanswered * 100 < sent);
    }
}
