#pragma once

#include <cstdint>
#include <map>

#include "Process/Error.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Complete maps of the group (RankMap, not ExpertMap) by version, from the orders to prepare that
/// a sidecar received. The changes of later orders apply to them. A value type without I/O.
struct ExpertMapCache
{
    std::map<std::uint64_t, RankMap> byVersion;
    /// Version in force at the sidecar's rank; its map is never evicted.
    std::uint64_t inForce = 0;
};

/// Returns whether the complete map of a version is available. The map of version 0 is computed
/// from the profile.
bool hasMap(const ExpertMapCache &cache, const ExpertProfile &profile, std::uint64_t version);

/// Returns the complete map of an order to prepare and caches it. Where the order has changes
/// instead of a map, they are applied to the map of its base version.
/// @param ranks Size of the group.
/// @return NotFound when the base map is not in the cache, as after a restart; the leader sends the
/// complete map when it repeats the order. BadInput when the changes don't fit the base map.
Result<RankMap> resolveMap(ExpertMapCache &cache, const ExpertProfile &profile, std::size_t ranks,
                           const RankCommand &command);

} // namespace wisteria
