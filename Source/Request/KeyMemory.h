#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "Process/Time.h"

namespace wisteria {

/// Largest answer that is kept for a repeat, in bytes.
constexpr std::size_t maxStoredAnswerBytes = 16 * 1024;
/// Bytes of all answers kept for repeats; the oldest give way.
constexpr std::size_t maxStoredBytes = 8 * 1024 * 1024;
/// Keys remembered; when full, the oldest are forgotten and every key as old is refused.
constexpr std::size_t maxKeys = 50'000;

/// Keys further ahead of the home's clock than this are refused without being remembered.
constexpr seconds rememberAhead{60};

/// An answer kept for repeats of its key.
struct StoredAnswer
{
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

/// What became of a key at its home.
enum class KeyPhase {
    Refused, ///< Never handed to the backend server.
    InFlight, ///< Queued or running.
    Ran, ///< Ran to its end.
    Unknown, ///< Was handed to the backend server and no end was seen.
};

/// One remembered key.
struct KeyRecord
{
    KeyPhase phase = KeyPhase::Refused;
    /// Highest of the caller's tries that was refused; this and older ones never run.
    std::uint32_t refusedTry = 0;
    /// Tells a repeat from another request under the same key.
    std::uint64_t fingerprint = 0;
    std::optional<StoredAnswer> answer;
};

/// Identity of a key: its time first, so that the oldest come first; then organisation and key, so
/// that no organisation sees another's answers.
using KeyId = std::pair<WallTime, std::string>;

/// Builds the identity of a key.
KeyId keyId(WallTime time, const std::string &organisation, const std::string &key);

/// Keys that this process handled as their home. Bounded: what is forgotten raises `floor`, so a
/// forgotten key is refused and never runs again.
struct KeyMemory
{
    std::map<KeyId, KeyRecord> records;
    /// Keys of this time and older may have run without being remembered here.
    WallTime floor;
    std::deque<KeyId> answerOrder;
    std::size_t answerBytes = 0;
};

/// The record of a key, created when absent. Forgets the oldest keys when the memory is full.
KeyRecord &rememberKey(KeyMemory &memory, const KeyId &id);

/// The record of a key, or null.
KeyRecord *findKey(KeyMemory &memory, const KeyId &id);

/// Keeps an answer for repeats if it is small enough; older answers give way.
void storeAnswer(KeyMemory &memory, const KeyId &id, StoredAnswer answer);

} // namespace wisteria
