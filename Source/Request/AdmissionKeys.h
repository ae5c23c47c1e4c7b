#pragma once

#include <optional>
#include <string>

#include "Peer.pb.h"
#include "Request/AgentAdmission.h"
#include "Request/KeyMemory.h"
#include "Request/RequestGuards.h"

namespace wisteria {

/// What the record of a key means for an attempt.
enum class KeyLookupKind { NotKnown, Replay, Refuse };

/// What the record of a key means for an attempt, with the answer or the verdict.
struct KeyLookup
{
    KeyLookupKind kind = KeyLookupKind::NotKnown;
    /// The stored answer, valid until the memory changes; for Replay only.
    const StoredAnswer *answer = nullptr;
    v1::VerdictKind verdict = v1::VERDICT_KIND_UNSPECIFIED;
    v1::Reason reason = v1::REASON_UNSPECIFIED;
    milliseconds retryAfter{0};
};

/// Looks the key up.
/// @return Replay with a stored answer, Refuse for a repeat that must not run, or NotKnown if
/// nothing recorded keeps the attempt from running.
KeyLookup lookUpKey(KeyMemory &memory, const KeyId &id, const v1::RunHead &head,
                    const RequestGuards &guards);

/// Records that this try of the key was refused, so that it never runs. A try that the caller does
/// not count can't be recorded, so an earlier one may still run later.
/// @return Whether it is proved that no try so far runs, so that the verdict may be NOT_RUN; for an
/// uncounted try only if the repeatsNeedProof guard is off.
bool refuseTry(KeyMemory &memory, const KeyId &id, const v1::RunHead &head,
               const RequestGuards &guards);

/// Records that the key's request was admitted: it is queued or runs.
void noteKeyInFlight(KeyMemory &memory, const KeyId &id, const v1::RunHead &head);

/// Records that the key's request ran to its end.
void noteKeyRan(KeyMemory &memory, const KeyId &id);

/// Records that the backend server never got the key's request.
void noteKeyNotRun(KeyMemory &memory, const KeyId &id);

/// Records that the run of the key was cut, so that it may have run.
void noteKeyUnknown(KeyMemory &memory, const KeyId &id);

/// Whether a key without a record may run here, and otherwise the reason and when to retry.
struct KeyEligibility
{
    bool mayRun = false;
    v1::Reason reason = v1::REASON_UNSPECIFIED;
    milliseconds retryAfter{0};
};

/// Returns whether a key without a record may run here.
/// @param time Creation time that the key carries.
KeyEligibility eligibilityOf(const AdmissionState &state, const std::string &key, WallTime time,
                             WallTime wall);

} // namespace wisteria
