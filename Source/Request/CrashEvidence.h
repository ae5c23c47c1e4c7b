#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Process/Time.h"
#include "Request/BackendRegistry.h"
#include "Request/CompletionTimes.h"
#include "Request/LastSends.h"
#include "Request/OrganisationIds.h"
#include "Request/ServerCrash.h"
#include "Request/UnprovenRequests.h"

namespace wisteria {

/// A request or prompt part that is sent to no backend server.
struct Quarantine
{
    TimePoint since;
    TimePoint until;
    /// What was in the same requests at each crash, so that any of them may be the cause. Only
    /// requests that have all of these are refused; others show which one it is.
    std::vector<Fingerprint> with{};
    /// When one request may show that the verdict is wrong.
    TimePoint nextTrialAt;
    std::uint32_t trials = 0;
};

/// The crashes at which a suspect was in flight.
struct SuspectCrashes
{
    /// Positions in CrashEvidence::crashes.
    std::vector<std::size_t> positions;
    /// The suspect is a request; otherwise a part of prompts.
    bool isRequest = false;
};

/// What is known of crashes and of the requests that may have caused them. A value type without
/// I/O.
///
/// A poison request crashes each backend server that begins to run it, and so does each request
/// with a poison part in its prompt. Nobody sees which of the requests in flight on a server
/// crashed it, so all requests and parts there are suspects. A suspect is judged by several
/// crashes: a poison one was in flight at each of them and never completes.
struct CrashEvidence
{
    /// Crashes of the last `crashLifetime`, in the order in which they became known.
    std::vector<ServerCrash> crashes;
    std::unordered_map<Fingerprint, SuspectCrashes, FingerprintHash> crashesOf;
    /// When requests and parts were last completed by any backend server. A crash before that does
    /// not count against them.
    CompletionTimes completions;
    /// Suspects whose crashes before a time an operator has ordered to forget.
    std::map<Fingerprint, TimePoint> releasedAt;
    std::map<Fingerprint, Quarantine> quarantined;
    /// Sends of restricted requests, and what others told of their crashes.
    std::unordered_map<Fingerprint, CopyAccount, FingerprintHash> accounts;
    /// Requests that may have crashed servers before this gateway started.
    UnprovenRequests unproven;
    /// Organisations in the fingerprints of requests.
    OrganisationIds organisationIds;
    /// Number of requests of each service that this gateway has seen completed.
    std::map<std::string, std::uint64_t> completedRequests;
};

/// How long a crash counts against the requests that were in flight there.
constexpr std::chrono::minutes crashLifetime{10};
/// How long a request stays quarantined. Extended while its caller goes on to send it.
constexpr std::chrono::minutes quarantineTime{60};
/// How long after its quarantine began one request of a suspect is tried, and after the last trial;
/// and how often. Each trial of a real poison request costs a backend server.
constexpr std::chrono::minutes trialInterval{5};
constexpr std::uint32_t maxTrials = 2;
/// Two reports about one process within this time are about the same crash. The list that tells
/// its restart from it is read about once a second.
constexpr milliseconds sameCrashTime{1500};
/// Bounds on the memory that callers can make a gateway use: several thousand suspects.
constexpr std::size_t maxCrashes = 512;
constexpr std::size_t maxQuarantined = 4096;

/// Whether a request or part may crash backend servers.
enum class Suspicion {
    None,
    Suspect, ///< Was in flight at a crash.
    /// Was in flight at two crashes, or a request that is restricted or unproven.
    RepeatedSuspect,
    Quarantined, ///< Crashed several backend servers, and is sent to none.
};

/// Adds a crash, or merges it with what is known of it. Reports may arrive late, twice and in any
/// order.
/// @return Whether it is the first report of this crash.
bool noteCrash(CrashEvidence &evidence, ServerCrash crash, TimePoint now);

/// Records that a backend server completed a request or a part, so that the crashes before `at` do
/// not count against it. Ends its quarantine.
/// @return Whether any crash counted against it until now.
bool noteCompletion(CrashEvidence &evidence, const Fingerprint &suspect, TimePoint at,
                    TimePoint now);

/// Counts a request of a service that this gateway has seen completed.
void countCompletion(CrashEvidence &evidence, const std::string &service);

/// Whether a crash of the server became known within the last `span`.
bool crashedWithin(const CrashEvidence &evidence, const std::string &server, milliseconds span,
                   TimePoint now);

/// Processes of backend servers that crashed of late.
std::vector<CrashedProcess> crashedProcesses(const CrashEvidence &evidence, TimePoint now);

/// When a backend server of the service crashed last; the earliest time if none is known.
TimePoint lastCrashOf(const CrashEvidence &evidence, const std::string &service);

/// Returns how suspect a request or part is by itself, apart from a quarantine.
Suspicion suspicionOf(const CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now);

/// Returns how suspect a request is for itself and its parts. A quarantined one that is to be tried
/// counts as a repeated suspect.
Suspicion suspicionOf(const CrashEvidence &evidence, const RequestIdentity &request, TimePoint now);

/// Returns what a request is quarantined for: itself or a part; nothing if it is not.
std::optional<Fingerprint> quarantineReason(const CrashEvidence &evidence,
                                            const RequestIdentity &request, TimePoint now);

/// Returns the suspects of a request of which only one run is allowed at a time, over all gateways:
/// suspect parts, which come with many requests at once, repeated suspects, and whatever is tried.
std::vector<Fingerprint> exclusiveSuspects(const CrashEvidence &evidence,
                                           const RequestIdentity &request, TimePoint now);

/// Quarantines a suspect, or extends its quarantine.
void quarantine(CrashEvidence &evidence, const Fingerprint &suspect, TimePoint until,
                TimePoint now);

/// Records that a request is tried although the suspect is quarantined.
/// @return False if the suspect is not quarantined.
bool noteTrial(CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now);

/// Ends the quarantine of a suspect and forgets its crashes: an operator's order.
void release(CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now);

/// Whether anything that was in flight at the crash is still suspect because of it.
bool isOpen(const CrashEvidence &evidence, const ServerCrash &crash, TimePoint now);

/// Returns what was in flight at a crash and is known to have been completed, before or after.
std::vector<Fingerprint> provenSoundAt(const CrashEvidence &evidence, const ServerCrash &crash);

/// Whether a request may be suspect or quarantined, so that fingerprints have to be computed.
bool hasSuspects(const CrashEvidence &evidence);

/// Removes what has expired.
/// @return Suspects whose quarantine has ended.
std::vector<Fingerprint> removeExpired(CrashEvidence &evidence, TimePoint now);

} // namespace wisteria
