#include "Request/EntryRequest.h"

#include <catch2/catch.hpp>

using namespace wisteria;

// Guards against a caller that waits for a backend server whose VM is being removed. The platform
// lists the VM as leaving, but the next heartbeat of its agent, which is not informed yet, clears
// that state.
TEST_CASE("A backend server on a leaving VM gets no requests, whatever its agent reports")
{
    EntryState state;
    Candidate candidate;
    candidate.name = "b1";
    candidate.vm = "vm1";
    state.services["lookup"].candidates = {candidate};
    const TimePoint now{};
    observeVms(state, {"vm1"});
    observeLoad(state, "b1", v1::LoadReport(), 1, now);
    CHECK_FALSE(isEligible(state.services["lookup"].candidates[0], now));
    observeVms(state, {});
    CHECK(isEligible(state.services["lookup"].candidates[0], now));
}
