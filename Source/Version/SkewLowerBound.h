#pragma once

#include <vector>

#include "Version/ExpertMap.h"

namespace wisteria {

/// Returns a lower bound of the skew of any map of the group for these loads. It is the larger of
/// two bounds: the perfectly balanced group (1), and the smallest time T for which the replicas
/// that each expert needs to stay within T on the fastest ranks still fit into the slots. The best
/// map may have a higher skew, because the bound ignores that experts are indivisible.
double lowerBoundSkew(const RankGroup &group, const std::vector<double> &loads);

} // namespace wisteria
