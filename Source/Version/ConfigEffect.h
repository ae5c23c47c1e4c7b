#pragma once

#include <string>
#include <vector>

#include "Version/ConfigState.h"

namespace wisteria {

/// Far-reaching effects of a change: it more than halves a service's capacity or an organisation's
/// quota, cuts callers off, or creates a removed object again.
struct ChangeEffects
{
    /// One sentence for operators per far-reaching effect, in a fixed order.
    std::vector<std::string> farReaching;
    /// Digest that the operator repeats to confirm a far-reaching change; empty if there is no such
    /// effect. It covers the change and its effects, so a confirmation is void once the
    /// configuration has changed such that the effects differ.
    std::string digest;
};

/// Returns the far-reaching effects of a change on a state.
ChangeEffects effectsOf(const ConfigState &state, const v1::ChangeRecord &change);

} // namespace wisteria
