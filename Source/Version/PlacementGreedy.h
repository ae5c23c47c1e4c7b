#pragma once

#include <vector>

#include "Version/ExpertMap.h"

namespace wisteria {

/// A map from scratch: spare slots go to replicas of the experts with the most load a replica, then
/// the replicas are put, largest first, each on the rank that is least busy. Pays no heed to the
/// present map. Deterministic: ties go to the lower number.
LayerMap greedyLayerMap(const RankGroup &group, const std::vector<double> &loads);

/// As greedyLayerMap(), but a replica goes to a rank that holds its expert already, as long as that
/// rank's time stays within `ceiling`, relative to a balanced group's time.
LayerMap stickyLayerMap(const RankGroup &group, const std::vector<double> &loads,
                        const LayerMap &current, double ceiling);

} // namespace wisteria
