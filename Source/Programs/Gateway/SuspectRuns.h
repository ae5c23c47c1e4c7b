#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "Request/RunClaims.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Runs of suspects for this gateway, and the claims by which one gateway at a time sends them. The
/// decisions are those of RunClaims.
class SuspectRuns
{
public:
    /// @param sendToAll Sends a message to all other gateways that are known.
    explicit SuspectRuns(std::function<void(const GroupMessage &)> sendToAll);
    SuspectRuns(const SuspectRuns &) = delete;
    SuspectRuns &operator=(const SuspectRuns &) = delete;

    /// Whether a request with the suspect runs for this gateway.
    bool runsHere(const Fingerprint &suspect) const { return running_.contains(suspect); }
    /// Whether a run of the suspect goes on, or has just ended, at any gateway.
    bool mayRun(const Fingerprint &suspect, TimePoint now) const;

    /// Claims suspects, of which one run is allowed at a time over all gateways.
    /// @return When a request with them may be sent; not after `now` if at once.
    TimePoint claim(const std::vector<Fingerprint> &suspects, TimePoint now);
    /// Records that a request with these suspects is sent.
    void begin(const std::vector<Fingerprint> &suspects);
    /// Records that it ended.
    /// @param holds How much longer all gateways wait with the suspect.
    void end(const Fingerprint &suspect, milliseconds holds, TimePoint now);

    /// Applies the claim of another gateway.
    void receive(const ClaimMessage &message, TimePoint now);
    /// Tells the other gateways of runs that go on, and forgets claims that have ended.
    void renew(TimePoint now);

private:
    void tell(const Fingerprint &suspect, milliseconds holds);

    std::function<void(const GroupMessage &)> sendToAll_;
    RunClaims claims_;
    /// Number of runs by suspect.
    std::map<Fingerprint, std::uint32_t> running_;
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace wisteria
