#pragma once

#include <optional>
#include <string>

#include "Peer.pb.h"
#include "Request/AgentAdmission.h"
#include "Request/KeyMemory.h"
#include "Request/RequestGuards.h"

namespace wisteria {

/// What the memory of keys says to an attempt.
enum class KeyAnswerKind { NotKnown, Replay, Refuse };

/// What the memory of keys says to an attempt, in full.
struct KeyAnswer
{
    KeyAnswerKind kind = KeyAnswerKind::NotKnown;
    /// The kept answer, valid until the memory changes; for Replay only.
    const StoredAnswer *answer = nullptr;
    v1::VerdictKind verdict = v1::VERDICT_KIND_UNSPECIFIED;
    v1::Reason reason = v1::REASON_UNSPECIFIED;
    milliseconds retryAfter{0};
};

/// Looks the key up: a replay, a refusal of a repeat, or nothing known that keeps it from running.
KeyAnswer recallKey(KeyMemory &memory, const KeyId &id, const v1::RunHead &head,
                    const RequestGuards &guards);

/// Remembers that this try of the key was refused and so never runs.
/// @return Whether "not run" is proved for all tries so far, and so may be said.
bool refuseTry(KeyMemory &memory, const KeyId &id, const v1::RunHead &head,
               const RequestGuards &guards);

/// The key was taken: it is queued or runs.
void keyInFlight(KeyMemory &memory, const KeyId &id, const v1::RunHead &head);

/// The key ran to its end.
void keyRan(KeyMemory &memory, const KeyId &id);

/// The backend server never got the key's request.
void keyDidNotRun(KeyMemory &memory, const KeyId &id);

/// The key's run was cut: it may have run.
void keyUnknown(KeyMemory &memory, const KeyId &id);

/// Whether a key that is not remembered may run here.
struct KeyEligibility
{
    bool mayRun = false;
    v1::Reason reason = v1::REASON_UNSPECIFIED;
    milliseconds retryAfter{0};
};

/// Whether a key that is not remembered may run here.
KeyEligibility eligibilityOf(const AdmissionState &state, const std::string &key, WallTime time,
                             WallTime wall);

} // namespace wisteria
