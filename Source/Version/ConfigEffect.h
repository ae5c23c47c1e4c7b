#pragma once

#include <string>
#include <vector>

#include "Version/ConfigState.h"

namespace wisteria {

/// What a change would do to callers and capacity beyond the fields it sets.
struct ChangeEffects
{
    /// Sentences for people, in a fixed order.
    std::vector<std::string> farReaching;
    /// Confirms a far-reaching change. Depends on the change and on these effects, so that a
    /// confirmation is void once the configuration has moved and the effects differ.
    std::string digest;
};

/// Works out the effects of a change on a state.
ChangeEffects effectsOf(const ConfigState &state, const v1::ChangeRecord &change);

} // namespace wisteria
