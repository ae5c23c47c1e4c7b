#include "Process/BackendHealth.h"

#include <catch2/catch.hpp>

using namespace wisteria;

// A killer request goes on to the next backend server unsuspected. Order: a health check is
// answered, the request kills the backend server, and the check's answer is read after the broken
// connection. Cause: the check tells of the time before the death.
TEST_CASE("A check that was begun before a connection broke does not clear the backend server")
{
    HealthChecks checks{.underWay = true};
    CHECK_FALSE(checkAfterCut(checks));
    CHECK_FALSE(checkEnded(checks, BackendCallEnd::Complete).has_value());
    checks.underWay = true;
    CHECK(checkEnded(checks, BackendCallEnd::NotConnected) == BackendCondition::Dead);
}

TEST_CASE("A check that was begun after a connection broke is believed")
{
    HealthChecks checks;
    CHECK(checkAfterCut(checks));
    checks.underWay = true;
    CHECK(checkEnded(checks, BackendCallEnd::Complete) == BackendCondition::Up);
}

TEST_CASE("A late answer is a stall and no death")
{
    HealthChecks checks{.underWay = true};
    CHECK(checkEnded(checks, BackendCallEnd::TimedOut) == BackendCondition::Stalled);
    checks.underWay = true;
    CHECK(checkEnded(checks, BackendCallEnd::ConnectionLost) == BackendCondition::Dead);
}
