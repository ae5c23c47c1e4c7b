#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "Peer.pb.h"
#include "Process/Time.h"

namespace wisteria {

/// How long a fingerprint is suspect unless a good run clears it.
constexpr seconds suspicionTime{120};
/// How long a quarantined fingerprint is refused after it was last sent.
constexpr seconds quarantineTime{3600};
/// Time for which a backend server that is down stays designated for a suspect, so that entries
/// receive the report of its death first: two heartbeats at their shortest interval.
constexpr milliseconds suspectSettleTime{2000};
/// Fingerprints that one process records; those that expire soonest are evicted first.
constexpr std::size_t maxSuspects = 4096;
/// Fingerprints that one heartbeat carries, to stay within the bound on a daemon's control traffic.
constexpr std::size_t maxSuspectReports = 32;
/// Distinct deaths that are recorded for one fingerprint.
constexpr std::size_t maxDeaths = 16;

/// Whether a fingerprint may crash backend servers.
enum class Suspicion {
    None,
    Suspect, ///< Was in flight on a backend server that died. Runs only alone.
    Quarantined, ///< A backend server died while it ran alone. Refused.
};

/// Values of SuspectReport.deaths.
enum class ReportedSuspicion : std::uint32_t { Cleared = 0, Suspect = 1, Quarantined = 2 };

/// Deaths recorded for one fingerprint, and which of them a good run cleared. Up to maxDeaths,
/// reports are merged as set unions, so they may arrive late, twice and in any order. A quarantine
/// is never cleared and only expires.
struct SuspectRecord
{
    std::set<std::uint64_t> deaths;
    std::set<std::uint64_t> cleared;
    bool quarantined = false;
    TimePoint forgetAt;
};

/// Suspect and quarantined fingerprints that one process knows.
struct PoisonRequests
{
    std::map<std::uint64_t, SuspectRecord> records;
};

/// Returns whether the fingerprint is suspect or quarantined now.
Suspicion suspicionOf(const PoisonRequests &requests, std::uint64_t fingerprint, TimePoint now);

/// Records that a backend server died while the fingerprint ran there.
/// @param death Identity of the death; the same death recorded twice counts once.
/// @param alone Whether nothing else ran, in which case the fingerprint is quarantined.
void recordDeath(PoisonRequests &requests, std::uint64_t fingerprint, std::uint64_t death,
                 bool alone, TimePoint now);

/// Restarts the quarantine time because the fingerprint was sent again and refused. Otherwise a
/// caller that never stops repeating would crash another backend server at each expiry.
void renewQuarantine(PoisonRequests &requests, std::uint64_t fingerprint, TimePoint now);

/// Records that the fingerprint ran alone without a death: all deaths recorded so far are cleared.
void recordGoodRun(PoisonRequests &requests, std::uint64_t fingerprint);

/// Merges the report of another process.
void mergeSuspectReport(PoisonRequests &requests, const v1::SuspectReport &report, TimePoint now);

/// Up to maxSuspectReports reports for other processes: quarantined first, then suspect, then
/// cleared fingerprints.
std::vector<v1::SuspectReport> suspectReports(const PoisonRequests &requests, TimePoint now);

/// Removes expired records.
void forgetSuspects(PoisonRequests &requests, TimePoint now);

} // namespace wisteria
