#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Process/Time.h"
#include "Request/Fingerprint.h"
#include "Request/ServerCrash.h"

namespace wisteria {

struct CrashEvidence;

/// A send of a restricted request.
struct LastSend
{
    TimePoint at;
    /// False once it is known that the request never reached a backend server.
    bool delivered = true;
};

/// Copies of one request that ended with their backend servers, and what was sent of it since.
///
/// A verdict weighs evidence, and whatever fails beside a request may keep it open: other requests
/// that crash servers, servers lost at the same moment, an earlier completion. So the number of
/// sends is bounded apart from verdicts. Once three copies have ended in crashes, the request is
/// restricted: until a backend server completes it, it is sent three times more, one copy at a time
/// over all gateways. Nothing else that is known raises these numbers.
struct CopyAccount
{
    /// Copies that ended until `countedAt`, as others told. What this gateway knows of the crashes
    /// themselves is counted from these.
    std::uint32_t endedCopies = 0;
    TimePoint countedAt{};
    std::map<SendId, LastSend> lastSends{};
};

/// Copies that have to end in crashes until a request is restricted. One suffices if the request is
/// unproven, and its copies that ended are then taken off its last sends.
constexpr std::uint32_t maxEndedCopies = 3;
/// Sends of a restricted request until one completes.
constexpr std::uint32_t maxLastSends = 3;
/// Pause before a last send, for each one that went before.
constexpr milliseconds pausePerLastSend{1000};
/// Bound on the memory that callers can make a gateway use.
constexpr std::size_t maxAccounts = 4096;

/// Number of copies of a request that ended in crashes since it was last completed or released.
/// Zero for parts of prompts.
std::uint32_t endedCopiesOf(const CrashEvidence &evidence, const Fingerprint &request,
                            TimePoint now);

/// Whether only the last sends of a request are left, or none.
bool isRestricted(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now);

/// Number of sends of a request since it is restricted.
std::uint32_t lastSendsOf(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now);

/// Whether a restricted or unproven request may be sent once more.
bool hasLastSend(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now);

/// When a restricted request may be sent next, as far as its last sends are concerned.
///
/// A send that a server refuses, or breaks off, has reached it and stays counted. A group that has
/// lost a server does so with all that it gets until it is whole again. So the fewer sends are
/// left, the longer the next one waits after the last one and after the last crash; otherwise a
/// sound request would spend all of them on one such time.
/// @param lastCrashAt When a server of the request's service crashed last.
TimePoint lastSendDueAt(const CrashEvidence &evidence, const Fingerprint &request,
                        TimePoint lastCrashAt, TimePoint now);

/// Records a send of a restricted request, or that it has not reached a backend server. May be
/// called in any order and several times for one send.
void noteLastSend(CrashEvidence &evidence, const Fingerprint &request, SendId id,
                  const LastSend &send);

/// Records that a send of a restricted request has reached no backend server.
/// @return Whether the send was known.
bool withdrawLastSend(CrashEvidence &evidence, const Fingerprint &request, SendId id);

/// Adds what another gateway, or the store, knows of a request.
void mergeAccount(CrashEvidence &evidence, const Fingerprint &request, const CopyAccount &known,
                  TimePoint now);

/// Returns what is known of a request, for other gateways.
CopyAccount accountOf(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now);

/// Returns the restricted requests.
std::vector<Fingerprint> restrictedRequests(const CrashEvidence &evidence, TimePoint now);

/// Forgets accounts that no longer count.
void removeExpiredAccounts(CrashEvidence &evidence, TimePoint now);

} // namespace wisteria
