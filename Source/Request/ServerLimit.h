#pragma once

#include <optional>

#include "Process/Time.h"

namespace wisteria {

/// What a backend server said last of how many requests it takes from all gateways together.
struct LimitWord
{
    /// Requests a second; nothing when it names no limit.
    std::optional<double> perSecond{};
    TimePoint heardAt{};
};

/// Takes in a word, unless a later one is known.
/// @return Whether that changes the limit.
inline bool takeWord(LimitWord &known, const LimitWord &word)
{
    if (word.heardAt < known.heardAt)
        return false;
    const bool changes = known.perSecond != word.perSecond;
    known = word;
    return changes;
}

} // namespace wisteria
