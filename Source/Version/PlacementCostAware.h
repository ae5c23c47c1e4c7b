#pragma once

#include <cstdint>
#include <vector>

#include "Version/Placement.h"

namespace wisteria {

/// Decides for the cost-aware policy, named "wisteria": moves experts only when the gain until
/// the loads drift justifies the cost, and when noise does not explain the gain. The work of one
/// call is bounded; layers with the largest possible gain are processed first.
/// @param stagingCapacity Replicas that each rank can stage; empty when unlimited.
PlacementDecision decideCostAware(const RankGroup &group, const PlacementState &state,
                                  std::vector<std::uint32_t> stagingCapacity);

} // namespace wisteria
