#pragma once

#include <vector>

#include "Version/ExpertMap.h"

namespace wisteria {

/// Computes a map without regard to the current one: spare slots go to further replicas of the
/// experts with the most load per replica; then each replica, by descending load, is placed on the
/// least busy rank. Deterministic: ties go to the lower number.
LayerMap greedyLayerMap(const RankGroup &group, const std::vector<double> &loads);

/// Same as greedyLayerMap(), but a replica is placed on a rank that holds its expert in `current`,
/// as long as that rank's time stays within `ceiling` times the time of a balanced group.
LayerMap stickyLayerMap(const RankGroup &group, const std::vector<double> &loads,
                        const LayerMap &current, double ceiling);

} // namespace wisteria
