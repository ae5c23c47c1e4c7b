#pragma once

#include <cstdint>

#include "Process/Error.h"
#include "Version/ConfigView.h"

namespace wisteria {

/// Bounds of what an operator may declare. They are part of the rules: a change to one needs a new
/// rules version, or readers of different releases would reach different verdicts on one record.
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

/// Checks the parts of a change that need no state: change id, operator, reason, names, and that
/// each object occurs once.
/// @return BadInput with the remedy.
Result<void> checkShape(const v1::ChangeRecord &change);

/// Checks one object without the rest of the configuration: numbers are in bounds and limits don't
/// contradict each other.
/// @return BadInput with the remedy.
Result<void> checkObject(const v1::Object &object);

/// Checks the changed objects against the rest of the configuration: referenced objects exist,
/// removed objects are not referenced any more, agent addresses are unique, and no backend server
/// moves to another service.
/// @return Conflict with the remedy.
Result<void> checkReferences(const ConfigState &before, const v1::ChangeRecord &change);

} // namespace wisteria
