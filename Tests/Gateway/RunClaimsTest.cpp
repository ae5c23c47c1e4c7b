#include <vector>

#include <catch2/catch.hpp>

#include "Request/RunClaims.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(1000)};
const Fingerprint suspect{{1}};
const std::vector<Fingerprint> suspects = {suspect};

/// Two gateways that want to send a request with the same suspect.
struct TwoGateways
{
    /// Both claim at once, and each gets the other's message.
    void claimBoth(std::uint64_t firstTicket, std::uint64_t secondTicket)
    {
        claim(first, suspects, firstTicket, start);
        claim(second, suspects, secondTicket, start);
        const TimePoint received = start + milliseconds(5);
        applyClaim(first, suspect, secondTicket, claimTime, false, received);
        applyClaim(second, suspect, firstTicket, claimTime, false, received);
    }

    RunClaims first;
    RunClaims second;
};

} // namespace

// Guards against two gateways that send a suspect part at the same moment.
TEST_CASE("Of two gateways that claim a suspect at once, one sends a request with it")
{
    TwoGateways gateways;
    gateways.claimBoth(7, 3);
    const TimePoint settled = start + claimSettleTime;
    REQUIRE(claimsHoldAt(gateways.second, suspects, settled) == settled);
    REQUIRE(claimsHoldAt(gateways.first, suspects, settled) > settled);
    REQUIRE(claimedByOthersUntil(gateways.first, suspects, settled) > settled);
    REQUIRE(claimedByOthersUntil(gateways.second, suspects, settled) == settled);
}

TEST_CASE("A claim allows a run only after it had time to reach the others")
{
    RunClaims claims;
    REQUIRE(claim(claims, suspects, 1, start) == suspects);
    REQUIRE(claimsHoldAt(claims, suspects, start) == start + claimSettleTime);
    REQUIRE(claim(claims, suspects, 2, start + milliseconds(50)).empty());
    REQUIRE(claimsHoldAt(claims, suspects, start + milliseconds(50)) == start + claimSettleTime);
}

// Guards against a gateway that dies with a claim, so that nobody may ever send the suspect.
TEST_CASE("A claim that is not renewed ends, one that is renewed or shortened does as told")
{
    RunClaims claims;
    applyClaim(claims, suspect, 1, claimTime, false, start);
    REQUIRE(claimedByOthersUntil(claims, suspects, start) == start + claimTime);
    applyClaim(claims, suspect, 1, claimTime, false, start + seconds(2));
    REQUIRE(claimedByOthersUntil(claims, suspects, start + seconds(2))
            == start + seconds(2) + claimTime);
    applyClaim(claims, suspect, 1, claimAfterRun, false, start + seconds(3));
    REQUIRE(claimedByOthersUntil(claims, suspects, start + seconds(3))
            == start + seconds(3) + claimAfterRun);
    const TimePoint after = start + seconds(4);
    REQUIRE(claimedByOthersUntil(claims, suspects, after) == after);
    removeExpired(claims, after);
    REQUIRE(claims.bySuspect.empty());
}

// Guards against two gateways that answer each other's claims without end.
TEST_CASE("A gateway objects to claims of others only now and then")
{
    RunClaims claims;
    claim(claims, suspects, 1, start);
    int objections = 0;
    for (milliseconds at{0}; at < seconds(2); at += milliseconds(10))
        objections += mayObject(claims, suspect, start + at) ? 1 : 0;
    REQUIRE(objections == 39);
}

// Guards against a second run beside one that goes on, as the other gateway did not hear of it.
TEST_CASE("A gateway that runs a suspect does not give it up to a later claim")
{
    RunClaims claims;
    claim(claims, suspects, 9, start);
    REQUIRE_FALSE(applyClaim(claims, suspect, 1, claimTime, true, start + seconds(1)));
    REQUIRE(claimsHoldAt(claims, suspects, start + seconds(1)) == start + seconds(1));
}

// Guards against a copy that is sent while the server of the one before may still crash: its caller
// has left, and the run goes on.
TEST_CASE("After a run without a complete answer its own gateway waits as well")
{
    RunClaims claims;
    claim(claims, suspects, 1, start);
    const TimePoint ended = start + seconds(1);
    endOwnClaim(claims, suspect, claimAfterRun, ended);
    REQUIRE(claim(claims, suspects, 2, ended).empty());
    REQUIRE(claimsHoldAt(claims, suspects, ended) == ended + claimAfterRun);
    const TimePoint after = ended + claimAfterRun;
    REQUIRE(claim(claims, suspects, 3, after) == suspects);
    endOwnClaim(claims, suspect, milliseconds(0), after);
    REQUIRE(claim(claims, suspects, 4, after) == suspects);
}
