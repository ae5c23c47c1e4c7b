#pragma once

#include "Version/ConfigEffect.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// Rules that this program writes, and the newest that it can judge by.
///
/// A record is judged by the rules that it names, on every release alike. What changes a verdict is
/// a policy with an OLD and a NEW way, and comes with the next rules version:
///   WP0001 (rules 2): a far-reaching change needs the digest of its dry run. OLD: it does not.
inline constexpr std::uint32_t newestRules = 2;
inline constexpr std::uint32_t oldestRules = 1;

/// Records that may lie between the position a change was prepared at and its own offset. Change
/// ids and removed names are remembered for as long, so their memory is bounded.
inline constexpr Offset changeWindow = 4096;

/// What the rules make of a change.
struct ChangeJudgement
{
    bool acceptable = false;
    /// Why not, and the remedy.
    std::string reason;
    /// Held back only for want of the digest in `effects`.
    bool needsConfirmation = false;
    ChangeEffects effects;
};

/// Judges a change that would stand at an offset of the log. Depends on its arguments alone.
ChangeJudgement judgeChange(const ConfigState &state, Offset offset,
                            const v1::ChangeRecord &change);

} // namespace wisteria
