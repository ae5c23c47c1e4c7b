#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Request/CrashEvidence.h"
#include "Request/CrashMoments.h"

namespace wisteria {

/// How far back crashes without a request count as signs of another cause.
constexpr seconds otherCauseTime{10};

/// Crashes that count against a request or part.
struct CrashRecord
{
    std::uint32_t crashes = 0;
    /// Those of moments at which the suspect was at a third or more of the crashed servers.
    std::uint32_t attributable = 0;
    /// Crashes that happened together are one moment, and one piece of evidence: a loss of power
    /// crashes many servers under a popular request.
    std::uint32_t moments = 0;
    /// Sum of how much each moment says about the suspect: 1 if one server crashed, 0 if all did.
    double weight = 0;
    TimePoint lastAt{};
    /// Other servers crashed around that time under no request that is as suspect as this one.
    /// Something else crashes servers too, so that coincidences are likely.
    bool otherCause = false;
    /// Backend servers have completed it before.
    bool provenSound = false;
    bool isRequest = false;
};

/// Returns the crashes that count against a suspect.
CrashRecord crashRecordOf(const CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now);

/// Whether the evidence suffices for a quarantine: three moments that the suspect alone explains.
/// If something else crashes servers too, or if it has completed before, five moments for a part,
/// and five crashes for a request, of which one copy runs at a time from the third one on. Crashes
/// of many servers weigh less, so that what was in flight when all lose power is never quarantined
/// for it.
bool isPoison(const CrashRecord &record);

/// Whether a suspect would be quarantined unless something else crashed servers too.
bool isPoisonByItself(const CrashRecord &record);

/// Returns what is to be quarantined next and is not yet; nothing if there is none. Quarantine it
/// before the next call: it explains crashes that speak against others.
/// @param settled Leaves out suspects whose last moment may not be known as a whole yet.
std::optional<Fingerprint> newPoison(const CrashEvidence &evidence, bool settled, TimePoint now);

/// Returns the requests and parts against which three crashes or more count.
std::vector<Fingerprint> repeatedlyInFlight(const CrashEvidence &evidence, TimePoint now);

/// When the moment of the last crash that counts against a suspect is over, so that a verdict can
/// take all crashes of it into account.
inline TimePoint verdictTime(const CrashRecord &record)
{
    return record.lastAt + foundDownTime;
}

/// Returns the record of some of the crashes at which a suspect was in flight.
CrashRecord recordOf(const CrashEvidence &evidence, const CrashList &crashes,
                     const Fingerprint &suspect, TimePoint now);

/// Returns the crashes that count against a suspect, the earliest first.
CrashList countedCrashes(const CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now);

/// Leaves out the crashes that something quarantined explains.
CrashList withoutExplained(const CrashEvidence &evidence, CrashList crashes,
                           const Fingerprint &suspect);

/// Whether something in flight at a crash explains it: it is quarantined, or it has never completed
/// and at least so many moments count against it.
bool isExplained(const CrashEvidence &evidence, const ServerCrash &crash, std::uint32_t moments,
                 TimePoint now);

/// Whether backend servers have completed a suspect.
bool isProvenSound(const CrashEvidence &evidence, const Fingerprint &suspect);

/// Crashes before this time do not count against a suspect.
TimePoint clearedUntil(const CrashEvidence &evidence, const Fingerprint &suspect);

} // namespace wisteria
