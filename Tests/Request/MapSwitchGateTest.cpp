#include "Request/AgentGate.h"

#include <catch2/catch.hpp>

using namespace wisteria;

// A rank waits for the outcome of a map switch, and the log is down, so it may wait long. A request
// that is let in would wait with it and miss its deadline; refused as not run, it can go elsewhere.
TEST_CASE("A rank that waits for a map switch refuses requests as not run")
{
    GateState state;
    state.configured = true;
    state.service.set_name("quotations");
    state.service.set_queue_bound(4);
    state.declared.set_concurrency(1);
    v1::RunHead head;
    head.set_request_id("request");
    head.set_service("quotations");
    head.set_idempotent(true);
    head.set_remaining_ms(1000);
    const TimePoint now(seconds(100));
    state.mapStalled = true;
    const GateActions refused = runArrived(state, 1, head, now, WallTime(seconds(100)));
    REQUIRE(refused.size() == 1);
    const auto &verdict = std::get<RefuseAttempt>(refused.front()).verdict;
    CHECK(verdict.kind() == v1::VERDICT_KIND_NOT_RUN);
    CHECK(verdict.reason() == v1::REASON_MAP_SWITCH);
    CHECK(verdict.retry_after_ms() > 0);
    state.mapStalled = false;
    const GateActions taken = runArrived(state, 2, head, now, WallTime(seconds(100)));
    REQUIRE(taken.size() == 1);
    CHECK(std::holds_alternative<StartBackend>(taken.front()));
}
