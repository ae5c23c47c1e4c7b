#pragma once

#include "Version/ConfigEffect.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// Newest rules version that this program can apply, and the one that it writes by default.
///
/// Every release validates a record by the rules version that the record names. A difference that
/// affects verdicts is a policy with an OLD and a NEW behaviour and needs a new rules version:
///   WP0001 (rules 2): a far-reaching change needs the digest of its dry run. OLD: it does not.
inline constexpr std::uint32_t newestRules = 2;
inline constexpr std::uint32_t oldestRules = 1;

/// Maximum distance between the log position that a change was prepared at and its own offset.
/// Change ids and removed names are kept for the same number of offsets, which bounds their memory.
inline constexpr Offset changeWindow = 4096;

/// Result of validating a change.
struct ChangeValidation
{
    bool acceptable = false;
    /// Why the change is not acceptable, and the remedy; empty if it is.
    std::string reason;
    /// Whether only the confirmation by the digest in `effects` is missing.
    bool needsConfirmation = false;
    ChangeEffects effects;
};

/// Validates a change whose record has the given offset in the log. Deterministic: depends only on
/// its arguments.
ChangeValidation validateChange(const ConfigState &state, Offset offset,
                                const v1::ChangeRecord &change);

} // namespace wisteria
