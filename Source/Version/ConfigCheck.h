#pragma once

#include <cstdint>

#include "Process/Error.h"
#include "Version/ConfigView.h"

namespace wisteria {

/// Bounds of what an operator may declare. They are part of the rules: a change to one needs a new
/// rules version, or readers of different releases would judge one record differently.
namespace limits {
inline constexpr std::size_t nameLength = 63;
inline constexpr std::size_t whyLength = 400;
inline constexpr std::size_t changeIdLength = 64;
inline constexpr std::size_t changeIdLengthMin = 8;
inline constexpr int changesPerRecord = 10000;
inline constexpr std::uint32_t queueBound = 100000;
inline constexpr std::uint32_t deadlineMs = 3600 * 1000;
inline constexpr std::uint64_t bodyBytes = 64ull * 1024 * 1024;
inline constexpr std::uint32_t concurrency = 10000;
inline constexpr std::uint32_t priority = 9;
inline constexpr std::uint32_t attempts = 10;
inline constexpr std::uint32_t ranks = 4096;
inline constexpr double requestsPerSecond = 1e6;
/// A burst longer than this many seconds of the sustained rate makes the rate meaningless.
inline constexpr double burstSeconds = 600;
} // namespace limits

/// Checks what can be seen of a change without any state: identity, names, one entry an object.
/// @return BadInput with the remedy.
Result<void> checkShape(const v1::ChangeRecord &change);

/// Checks one object by itself: numbers in bounds, limits that don't contradict each other.
/// @return BadInput with the remedy.
Result<void> checkObject(const v1::Object &object);

/// Checks the changed objects against the rest of the configuration: names that must exist, names
/// that are still needed, addresses used twice.
/// @return Conflict with the remedy.
Result<void> checkReferences(const ConfigState &before, const v1::ChangeRecord &change);

} // namespace wisteria
