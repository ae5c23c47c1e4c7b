#pragma once

#include <vector>

#include "Version/ExpertMap.h"

namespace wisteria {

/// A skew that no map of the group can go below for these loads. It is the larger of two bounds:
/// the perfectly balanced group (1), and the least time T for which the replicas that each expert
/// needs to stay within T on the fastest ranks still fit into the slots. Real maps may stay above
/// it, as packing whole experts is not taken into account.
double lowerBoundSkew(const RankGroup &group, const std::vector<double> &loads);

} // namespace wisteria
