#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "Peer.pb.h"
#include "Process/Time.h"

namespace wisteria {

/// How long a suspicion holds unless a good run clears it.
constexpr seconds suspicionTime{120};
/// How long a convicted fingerprint is refused after its last appearance.
constexpr seconds quarantineTime{3600};
/// Time after which every entry has heard of a death: several heartbeats.
constexpr milliseconds suspectSettleTime{2000};
/// Fingerprints that one process remembers; the ones soonest forgotten give way.
constexpr std::size_t maxSuspects = 4096;
/// Fingerprints that one heartbeat carries, to stay within a daemon's control traffic.
constexpr std::size_t maxSuspectReports = 32;
/// Deaths that are told apart for one fingerprint.
constexpr std::size_t maxDeaths = 16;

/// What is held against a fingerprint.
enum class Suspicion {
    None,
    Suspect, ///< In flight on a backend server that died; runs only alone.
    Quarantined, ///< A backend server died while it ran alone; refused.
};

/// Values of SuspectReport.deaths.
enum class ReportedStanding : std::uint32_t { Cleared = 0, Suspect = 1, Quarantined = 2 };

/// What is known of one fingerprint. Deaths and clearings are sets that only grow, so reports may
/// arrive late, twice and in any order.
struct SuspectRecord
{
    std::set<std::uint64_t> deaths;
    std::set<std::uint64_t> cleared;
    bool quarantined = false;
    TimePoint forgetAt;
};

/// Suspected and convicted fingerprints as one process knows them.
struct PoisonRequests
{
    std::map<std::uint64_t, SuspectRecord> records;
};

/// What is held against the fingerprint now.
Suspicion suspicionOf(const PoisonRequests &requests, std::uint64_t fingerprint, TimePoint now);

/// Records that a backend server died while the fingerprint ran there.
/// @param death Identity of the death; the same death recorded twice counts once.
/// @param alone Whether nothing else ran, which convicts.
void recordDeath(PoisonRequests &requests, std::uint64_t fingerprint, std::uint64_t death,
                 bool alone, TimePoint now);

/// A convicted fingerprint was sent again and refused: it stays convicted for as long again, or a
/// caller that repeats for ever would take down another backend server each time it is forgotten.
void renewQuarantine(PoisonRequests &requests, std::uint64_t fingerprint, TimePoint now);

/// Records a good run alone: every death known so far is cleared.
void recordGoodRun(PoisonRequests &requests, std::uint64_t fingerprint);

/// Takes in what another process reported.
void mergeSuspectReport(PoisonRequests &requests, const v1::SuspectReport &report, TimePoint now);

/// What to tell other processes: convicted first, then suspects, then cleared ones.
std::vector<v1::SuspectReport> suspectReports(const PoisonRequests &requests, TimePoint now);

/// Drops what is past its time.
void forgetSuspects(PoisonRequests &requests, TimePoint now);

} // namespace wisteria
