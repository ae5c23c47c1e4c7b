#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Process/Time.h"
#include "Request/Fingerprint.h"

namespace wisteria {

/// Which gateway may send requests with each suspect. A value type without I/O.
///
/// Requests with a part that crashes servers come at all gateways at once. If each gateway sent one
/// of them, each would crash a server before the first crash is known everywhere. So a gateway
/// claims a suspect, tells the others, and sends only if no earlier claim arrives for a moment.
/// Lost messages allow two runs at once at worst.
struct RunClaims
{
    struct Claim
    {
        /// Of two claims of the same time, the one with the lower ticket holds.
        std::uint64_t ticket = 0;
        bool own = false;
        /// The run has ended without a complete answer. Nobody sends until the claim ends, this
        /// gateway included: the backend server may run on and crash.
        bool afterRun = false;
        TimePoint since;
        TimePoint until;
        /// When the other gateways were last told of an own claim.
        TimePoint toldAt{};
    };

    std::unordered_map<Fingerprint, Claim, FingerprintHash> bySuspect;
};

/// How long a claim has to be known before it allows a run: a message between gateways.
constexpr milliseconds claimSettleTime{100};
/// How long a claim holds unless it is renewed. Bounds the wait for a gateway that dies.
constexpr milliseconds claimTime{3000};
/// How long a claim holds after its run ended without a complete answer: until the others know
/// whether the server crashed.
constexpr milliseconds claimAfterRun{500};
/// Least time between two objections to claims of others. Without it, two gateways that both hold a
/// claim, since messages were lost, would answer each other without end.
constexpr milliseconds objectionInterval{50};
/// Bound on the memory that callers can make a gateway use.
constexpr std::size_t maxClaims = 4096;

/// Whether another gateway holds any of the suspects; then until when, otherwise `now`.
TimePoint claimedByOthersUntil(const RunClaims &claims, const std::vector<Fingerprint> &suspects,
                               TimePoint now);

/// Claims suspects that no other gateway holds.
/// @return Those that were not claimed before, which the other gateways have to be told of.
std::vector<Fingerprint> claim(RunClaims &claims, const std::vector<Fingerprint> &suspects,
                               std::uint64_t ticket, TimePoint now);

/// Until when any gateway, this one included, holds one of the suspects; otherwise `now`.
TimePoint claimsHoldUntil(const RunClaims &claims, const std::vector<Fingerprint> &suspects,
                          TimePoint now);

/// Whether this gateway holds claims of all suspects for long enough to send a request with them;
/// otherwise when it will, unless another gateway objects.
TimePoint claimsHoldAt(const RunClaims &claims, const std::vector<Fingerprint> &suspects,
                       TimePoint now);

/// Extends this gateway's claim while its run goes on.
void renewOwnClaim(RunClaims &claims, const Fingerprint &suspect, TimePoint now);
/// Ends this gateway's claim after its run.
/// @param holds How much longer it keeps all gateways from sending.
void endOwnClaim(RunClaims &claims, const Fingerprint &suspect, milliseconds holds, TimePoint now);

/// Applies the claim of another gateway, or the end or extension of one.
/// @param runsHere Whether a request with the suspect runs at this gateway.
/// @return False if this gateway's own claim goes before, so that the other has to be told.
bool applyClaim(RunClaims &claims, const Fingerprint &suspect, std::uint64_t ticket,
                milliseconds holds, bool runsHere, TimePoint now);

/// Whether the other gateways are to be told again of this gateway's claim, which goes before that
/// of another one.
bool mayObject(RunClaims &claims, const Fingerprint &suspect, TimePoint now);

/// Forgets claims that no longer hold.
void removeExpired(RunClaims &claims, TimePoint now);

} // namespace wisteria
