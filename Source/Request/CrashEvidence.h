#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Process/Time.h"
#include "Request/ServerCrash.h"

namespace wisteria {

/// What is known of crashes and of the requests that may have caused them. A value type without
/// I/O.
///
/// A poison request crashes each backend server that begins to run it. Nobody sees which of the
/// requests in flight on a server crashed it, so a request is judged by several crashes: a poison
/// request was in flight at each of them and never completes.
struct CrashEvidence
{
    /// Crashes of the last `crashLifetime`, in the order in which they became known.
    std::vector<ServerCrash> crashes;
    /// When requests were last completed by any backend server. A crash before that does not count
    /// against a request.
    std::map<Fingerprint, TimePoint> completedAt;
    /// Requests that are sent to no backend server, and until when.
    std::map<Fingerprint, TimePoint> quarantinedUntil;
};

/// How long a crash counts against the requests that were in flight there.
constexpr std::chrono::minutes crashLifetime{10};
/// How long a request stays quarantined. Extended while its caller goes on to send it.
constexpr std::chrono::minutes quarantineTime{60};
/// Two reports about one process within this time are about the same crash. The list that tells
/// its restart from it is read about once a second.
constexpr milliseconds sameCrashTime{1500};
/// Bounds on the memory that callers can make a gateway use: several thousand suspects.
constexpr std::size_t maxCrashes = 512;
constexpr std::size_t maxCompleted = 4096;
constexpr std::size_t maxQuarantined = 4096;

/// Whether a request may crash backend servers.
enum class Suspicion {
    None,
    Suspect, ///< Was in flight at a crash.
    RepeatedSuspect, ///< Was in flight at two crashes.
    Quarantined, ///< Crashed several backend servers, and is sent to none.
};

/// Crashes that count against a request.
struct CrashRecord
{
    std::uint32_t crashes = 0;
    /// Sum of how much each crash says about the request: 1 if no other server crashed at that
    /// time, 0 if all did.
    double weight = 0;
    TimePoint lastAt{};
    /// Other servers crashed around that time under no request that is as suspect as this one.
    /// Something else crashes servers too, so that coincidences are likely.
    bool otherCause = false;
};

/// Adds a crash, or merges it with what is known of it. Reports may arrive late, twice and in any
/// order.
/// @return Whether it is the first report of this crash.
bool noteCrash(CrashEvidence &evidence, ServerCrash crash, TimePoint now);

/// Records that a backend server completed a request, so that the crashes before `at` do not count
/// against it. Ends its quarantine.
/// @return Whether any crash counted against it until now.
bool noteCompletion(CrashEvidence &evidence, const Fingerprint &request, TimePoint at,
                    TimePoint now);

/// Whether a crash of the server became known within the last `span`.
bool crashedWithin(const CrashEvidence &evidence, const std::string &server, milliseconds span,
                   TimePoint now);

/// Returns the crashes that count against a request.
CrashRecord crashRecordOf(const CrashEvidence &evidence, const Fingerprint &request,
                          TimePoint now);

/// Whether the evidence suffices to quarantine a request: three crashes that it alone explains, or
/// five if something else crashes servers too. A crash together with others weighs less, so that a
/// request in flight on many servers that lose power at once is never quarantined for it.
bool isPoison(const CrashRecord &record);

/// Returns how suspect a request is now.
Suspicion suspicionOf(const CrashEvidence &evidence, const Fingerprint &request,
                      TimePoint now);

/// Quarantines a request, or extends its quarantine.
void quarantine(CrashEvidence &evidence, const Fingerprint &request, TimePoint until);

/// Ends the quarantine of a request and forgets its crashes: an operator's order.
void release(CrashEvidence &evidence, const Fingerprint &request, TimePoint now);

/// Returns the requests that are to be quarantined and are not yet.
std::vector<Fingerprint> newPoisonRequests(const CrashEvidence &evidence, TimePoint now);

/// Whether any request that was in flight at the crash is still suspect because of it.
bool isOpen(const CrashEvidence &evidence, const ServerCrash &crash, TimePoint now);

/// Whether a request may be suspect or quarantined, so that fingerprints have to be computed.
bool hasSuspects(const CrashEvidence &evidence);

/// Removes what has expired.
/// @return Requests whose quarantine has ended.
std::vector<Fingerprint> removeExpired(CrashEvidence &evidence, TimePoint now);

} // namespace wisteria
