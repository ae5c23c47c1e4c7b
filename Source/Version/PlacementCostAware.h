#pragma once

#include <cstdint>
#include <vector>

#include "Version/Placement.h"

namespace wisteria {

/// The wisteria policy: moves what pays back within the time that the drift leaves, and nothing
/// that noise may feign. The work of one call is bounded; the layers with the most to gain come
/// first.
/// @param stagingCapacity Replicas that each rank can stage; empty when unbounded.
PlacementDecision decideCostAware(const RankGroup &group, const PlacementState &state,
                                  std::vector<std::uint32_t> stagingCapacity);

} // namespace wisteria
