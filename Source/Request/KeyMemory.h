#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "Process/Time.h"

namespace wisteria {

/// Largest answer that is stored for a repeat, in bytes.
constexpr std::size_t maxStoredAnswerBytes = 16 * 1024;
/// Bytes of all answers stored for repeats; the oldest are evicted first.
constexpr std::size_t maxStoredBytes = 8 * 1024 * 1024;
/// Keys that are recorded. Beyond it the oldest are evicted, and every key as old is refused.
constexpr std::size_t maxKeys = 50'000;

/// Keys further ahead of the owner's clock than this are refused without being recorded.
constexpr seconds maxRecordedLead{60};

/// An answer stored for repeats of its key.
struct StoredAnswer
{
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

/// State of a key at its owner.
enum class KeyPhase {
    Refused, ///< Never sent to the backend server.
    InFlight, ///< Queued or running.
    Ran, ///< Ran to its end.
    Unknown, ///< Was sent to the backend server, but its end was not seen.
};

/// One recorded key.
struct KeyRecord
{
    KeyPhase phase = KeyPhase::Refused;
    /// Number of the caller's latest try that was refused; this and earlier ones never run.
    std::uint32_t refusedTry = 0;
    /// Distinguishes a repeat from a different request under the same key.
    std::uint64_t fingerprint = 0;
    std::optional<StoredAnswer> answer;
};

/// Identity of a key: its creation time, so that the oldest sort first, then organisation and key,
/// so that no organisation gets another's answers.
using KeyId = std::pair<WallTime, std::string>;

/// Builds the identity of a key.
KeyId keyId(WallTime time, const std::string &organisation, const std::string &key);

/// Keys that this process handled as their owner. Bounded: an evicted key raises `floor`, so it is
/// refused and never runs again.
struct KeyMemory
{
    std::map<KeyId, KeyRecord> records;
    /// Keys of this time and older may have run without being recorded here.
    WallTime floor;
    /// Keys with a stored answer, oldest answer first.
    std::deque<KeyId> answerOrder;
    std::size_t answerBytes = 0;
};

/// The record of a key, created if absent. Evicts the oldest key when the memory is full.
KeyRecord &findOrAddKey(KeyMemory &memory, const KeyId &id);

/// The record of a key, or null.
KeyRecord *findKey(KeyMemory &memory, const KeyId &id);

/// Stores the answer of a recorded key for repeats if it has at most maxStoredAnswerBytes. Evicts
/// the oldest answers beyond maxStoredBytes.
void storeAnswer(KeyMemory &memory, const KeyId &id, StoredAnswer answer);

} // namespace wisteria
