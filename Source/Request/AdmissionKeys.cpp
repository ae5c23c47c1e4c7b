#include "Request/AdmissionKeys.h"

#include <algorithm>

#include "Request/KeyHashing.h"

namespace wisteria {

namespace {

constexpr milliseconds inFlightRetry{200};
constexpr milliseconds unprovenRetry{1'000};

KeyLookup refuse(v1::VerdictKind verdict, v1::Reason reason, milliseconds retryAfter)
{
    return {KeyLookupKind::Refuse, nullptr, verdict, reason, retryAfter};
}

KeyLookup lookupOfRanKey(const KeyRecord &record)
{
    if (record.answer)
        return {KeyLookupKind::Replay, &*record.answer, {}, {}, milliseconds(0)};
    return refuse(v1::VERDICT_KIND_ALREADY_RUN, v1::REASON_UNSPECIFIED, milliseconds(0));
}

/// Whether this try or a later one was refused as NOT_RUN. Such a try must never run, since its
/// caller got that verdict; it arrives again when a frame was delayed or delivered twice.
bool isRefusedTry(const KeyRecord &record, const v1::RunHead &head)
{
    return record.refusedTry > 0 && head.caller_attempt() <= record.refusedTry;
}

} // namespace

KeyLookup lookUpKey(KeyMemory &memory, const KeyId &id, const v1::RunHead &head,
                    const RequestGuards &guards)
{
    const KeyRecord *record = findKey(memory, id);
    if (!record || !guards.keyMemory)
        return {};
    // A different request under a used key must not get the first one's answer. NOT_RUN covers
    // earlier tries too, so it is the verdict only if the key did not run.
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
        return lookupOfRanKey(*record);
    case KeyPhase::Unknown:
        break;
    }
    return refuse(v1::VERDICT_KIND_OUTCOME_UNKNOWN, v1::REASON_BACKEND_DIED, milliseconds(0));
}

bool refuseTry(KeyMemory &memory, const KeyId &id, const v1::RunHead &head,
               const RequestGuards &guards)
{
    // If the caller does not count its tries, an earlier one may still be in transit and run later.
    if (head.caller_attempt() == 0) {
        noteKeyNotRun(memory, id);
        return !guards.repeatsNeedProof;
    }
    KeyRecord &record = findOrAddKey(memory, id);
    record.phase = KeyPhase::Refused;
    record.fingerprint = head.fingerprint();
    record.refusedTry = std::max(record.refusedTry, head.caller_attempt());
    return true;
}

void noteKeyInFlight(KeyMemory &memory, const KeyId &id, const v1::RunHead &head)
{
    KeyRecord &record = findOrAddKey(memory, id);
    record.phase = KeyPhase::InFlight;
    record.fingerprint = head.fingerprint();
}

void noteKeyRan(KeyMemory &memory, const KeyId &id)
{
    if (KeyRecord *record = findKey(memory, id))
        record->phase = KeyPhase::Ran;
}

void noteKeyNotRun(KeyMemory &memory, const KeyId &id)
{
    if (KeyRecord *record = findKey(memory, id))
        record->phase = KeyPhase::Refused;
}

void noteKeyUnknown(KeyMemory &memory, const KeyId &id)
{
    if (KeyRecord *record = findKey(memory, id))
        record->phase = KeyPhase::Unknown;
}

KeyEligibility eligibilityOf(const AdmissionState &state, const std::string &key, WallTime time,
                             WallTime wall)
{
    const RequestGuards &guards = state.guards;
    const OwnershipStatus status = ownershipStatus(state.ownership, canonicalKey(key), time);
    if (guards.ownerOnly && (!state.configured || status == OwnershipStatus::NotOwner))
        return {false, v1::REASON_NOT_HOME, inFlightRetry};
    if (guards.ownership && status == OwnershipStatus::Unproven)
        return {false, v1::REASON_KEY_UNPROVEN, unprovenRetry};
    // A key ahead of our clock would look newer than this process's next start and could run again
    // after it.
    if (guards.keyFloor && time > wall + clockSkewAllowance)
        return {false, v1::REASON_KEY_UNPROVEN, std::min(time - wall, unprovenRetry)};
    const bool belowFloor = guards.keyFloor && time <= state.keys.floor;
    if (belowFloor || (guards.ownership && status == OwnershipStatus::TooOld)) {
        const auto untilFloor = std::max(state.keys.floor - wall, milliseconds(0));
        return {false, v1::REASON_KEY_TOO_OLD, untilFloor};
    }
    return {true, v1::REASON_UNSPECIFIED, milliseconds(0)};
}

} // namespace wisteria
