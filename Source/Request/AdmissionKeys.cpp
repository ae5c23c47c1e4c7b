#include "Request/AdmissionKeys.h"

#include <algorithm>

#include "Request/KeyHashing.h"

namespace wisteria {

namespace {

constexpr milliseconds inFlightRetry{200};
constexpr milliseconds unprovenRetry{1'000};

KeyAnswer refuse(v1::VerdictKind verdict, v1::Reason reason, milliseconds retryAfter)
{
    return {KeyAnswerKind::Refuse, nullptr, verdict, reason, retryAfter};
}

KeyAnswer answerRan(const KeyRecord &record)
{
    if (record.answer)
        return {KeyAnswerKind::Replay, &*record.answer, {}, {}, milliseconds(0)};
    return refuse(v1::VERDICT_KIND_ALREADY_RUN, v1::REASON_UNSPECIFIED, milliseconds(0));
}

/// A try that was refused as "not run", or is older than one, must never run: its caller was told
/// so. It shows up again when a frame was delayed or delivered twice.
bool isRefusedTry(const KeyRecord &record, const v1::RunHead &head)
{
    return record.refusedTry > 0 && head.caller_attempt() <= record.refusedTry;
}

} // namespace

KeyAnswer recallKey(KeyMemory &memory, const KeyId &id, const v1::RunHead &head,
                    const RequestGuards &guards)
{
    const KeyRecord *record = findKey(memory, id);
    if (!record || !guards.keyMemory)
        return {};
    // Another request under a used key: it must not get the first one's answer. "Not run" covers
    // earlier tries too, so it is said only when the key did not run.
    if (record->fingerprint != head.fingerprint()) {
        const bool ran = record->phase != KeyPhase::Refused;
        return refuse(ran ? v1::VERDICT_KIND_OUTCOME_UNKNOWN : v1::VERDICT_KIND_NOT_RUN,
                      v1::REASON_BAD_REQUEST, milliseconds(0));
    }
    switch (record->phase) {
    case KeyPhase::Refused:
        if (guards.refusedTries && isRefusedTry(*record, head))
            return refuse(v1::VERDICT_KIND_NOT_RUN, v1::REASON_KEY_TOO_OLD, milliseconds(0));
        return {};
    case KeyPhase::InFlight:
        return refuse(v1::VERDICT_KIND_OUTCOME_UNKNOWN, v1::REASON_KEY_IN_FLIGHT, inFlightRetry);
    case KeyPhase::Ran:
        return answerRan(*record);
    case KeyPhase::Unknown:
        break;
    }
    return refuse(v1::VERDICT_KIND_OUTCOME_UNKNOWN, v1::REASON_BACKEND_DIED, milliseconds(0));
}

bool refuseTry(KeyMemory &memory, const KeyId &id, const v1::RunHead &head,
               const RequestGuards &guards)
{
    // Without a count of tries an earlier one may still be on its way and run later.
    if (head.caller_attempt() == 0) {
        keyDidNotRun(memory, id);
        return !guards.repeatsNeedProof;
    }
    KeyRecord &record = rememberKey(memory, id);
    record.phase = KeyPhase::Refused;
    record.fingerprint = head.fingerprint();
    record.refusedTry = std::max(record.refusedTry, head.caller_attempt());
    return true;
}

void keyInFlight(KeyMemory &memory, const KeyId &id, const v1::RunHead &head)
{
    KeyRecord &record = rememberKey(memory, id);
    record.phase = KeyPhase::InFlight;
    record.fingerprint = head.fingerprint();
}

void keyRan(KeyMemory &memory, const KeyId &id)
{
    if (KeyRecord *record = findKey(memory, id))
        record->phase = KeyPhase::Ran;
}

void keyDidNotRun(KeyMemory &memory, const KeyId &id)
{
    if (KeyRecord *record = findKey(memory, id))
        record->phase = KeyPhase::Refused;
}

void keyUnknown(KeyMemory &memory, const KeyId &id)
{
    if (KeyRecord *record = findKey(memory, id))
        record->phase = KeyPhase::Unknown;
}

KeyEligibility eligibilityOf(const AdmissionState &state, const std::string &key, WallTime time,
                             WallTime wall)
{
    const RequestGuards &guards = state.guards;
    const KeyRight right = rightTo(state.ownership, canonicalKey(key), time);
    if (guards.ownerOnly && (!state.configured || right == KeyRight::NotOwner))
        return {false, v1::REASON_NOT_HOME, inFlightRetry};
    if (guards.ownership && right == KeyRight::Unproven)
        return {false, v1::REASON_KEY_UNPROVEN, unprovenRetry};
    // A key ahead of our clock would look younger than our next start and could run again then.
    if (guards.keyFloor && time > wall + clockSkewAllowance)
        return {false, v1::REASON_KEY_UNPROVEN, std::min(time - wall, unprovenRetry)};
    const bool belowFloor = guards.keyFloor && time <= state.keys.floor;
    if (belowFloor || (guards.ownership && right == KeyRight::TooOld)) {
        const auto untilFloor = std::max(state.keys.floor - wall, milliseconds(0));
        return {false, v1::REASON_KEY_TOO_OLD, untilFloor};
    }
    return {true, v1::REASON_UNSPECIFIED, milliseconds(0)};
}

} // namespace wisteria
