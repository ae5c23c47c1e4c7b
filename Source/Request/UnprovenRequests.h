#pragma once

#include <cstddef>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Process/Time.h"
#include "Request/Fingerprint.h"

namespace wisteria {

struct CrashEvidence;

/// Requests of services whose crashes before the gateway's start may be unknown, see EvidenceGap.
///
/// Such a request may have crashed three servers already. So one copy of it runs at a time over all
/// gateways, until a backend server completes it, and its first known crash restricts it. One that
/// was answered otherwise runs as ever, but its crashes count as before.
struct UnprovenRequests
{
    struct Request
    {
        TimePoint since;
        /// A backend server has answered it, but not with a success.
        bool answered = false;
    };

    std::unordered_map<Fingerprint, Request, FingerprintHash> requests;
    /// Requests that were completed after they were unproven. A gateway that starts meanwhile does
    /// not know that, but may read of their sends.
    std::unordered_set<Fingerprint, FingerprintHash> proven;
};

/// Bound on the memory that callers can make a gateway use.
constexpr std::size_t maxUnproven = 4096;
/// A send of an unproven request that has ended without a crash counts for so long.
constexpr milliseconds unprovenSendTime{5000};

/// Adds a request of a service in doubt, unless it has been completed.
void noteUnproven(CrashEvidence &evidence, const Fingerprint &request, TimePoint now);

/// Records that a backend server answered a request, but not with a success.
void noteAnswered(CrashEvidence &evidence, const Fingerprint &request);

/// Records that a request was completed.
void noteProven(CrashEvidence &evidence, const Fingerprint &request);

/// Returns requests that were completed after they were unproven, the last completed ones first.
std::vector<Fingerprint> lastProven(const CrashEvidence &evidence, std::size_t most);

/// Forgets the requests of which no crash is known, when no service is in doubt any more. One that
/// has crashed servers since must not begin anew.
void forgetUnproven(CrashEvidence &evidence, TimePoint now);

/// Whether a request was added and has neither been completed nor answered since.
bool isUnproven(const CrashEvidence &evidence, const Fingerprint &request);

/// Whether a request runs alone only because it is unproven: no crash of it is known.
bool isOnlyUnproven(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now);

/// Whether an unproven request has no sends left, and too few crashes are known for a verdict: it
/// can't be served before these are forgotten.
bool isSpent(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now);

} // namespace wisteria
