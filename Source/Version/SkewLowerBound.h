#pragma once

#include <vector>

#include "Version/ExpertMap.h"

namespace wisteria {

/// Returns a lower bound of the skew of any map of the group for these loads: the smallest time T,
/// but at least that of a perfectly balanced group, divided by the latter; so it is at least 1. T
/// must be large enough that load / (T * fastest speed) replicas of each expert, rounded up, fit
/// into the slots. The best map may have a higher skew, because the bound ignores that experts are
/// indivisible.
double lowerBoundSkew(const RankGroup &group, const std::vector<double> &loads);

} // namespace wisteria
