#include "Process/BackendHealth.h"

#include <catch2/catch.hpp>

using namespace wisteria;

// Failure: a poison request is retried on the next backend server without being suspected. The
// backend server answers a health check, the request crashes it, and the agent reads the check's
// answer after the connection loss. That answer describes the time before the crash.
TEST_CASE("A check that began before a connection was lost does not prove the server healthy")
{
    HealthCheckState state{.inProgress = true};
    CHECK_FALSE(noteLoss(state));
    CHECK_FALSE(finishCheck(state, BackendCallEnd::Complete).has_value());
    state.inProgress = true;
    CHECK(finishCheck(state, BackendCallEnd::NotConnected) == BackendCondition::Dead);
}

TEST_CASE("The result of a check that began after a connection was lost is used")
{
    HealthCheckState state;
    CHECK(noteLoss(state));
    state.inProgress = true;
    CHECK(finishCheck(state, BackendCallEnd::Complete) == BackendCondition::Up);
}

TEST_CASE("A check that times out or gets no answer means stalled, a lost connection means dead")
{
    HealthCheckState state{.inProgress = true};
    CHECK(finishCheck(state, BackendCallEnd::Malformed) == BackendCondition::Stalled);
    state.inProgress = true;
    CHECK(finishCheck(state, BackendCallEnd::TimedOut) == BackendCondition::Stalled);
    state.inProgress = true;
    CHECK(finishCheck(state, BackendCallEnd::ConnectionLost) == BackendCondition::Dead);
}
