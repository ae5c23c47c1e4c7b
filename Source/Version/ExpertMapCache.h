#pragma once

#include <cstdint>
#include <map>

#include "Process/Error.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Whole maps by version, as a sidecar was ordered to prepare them: changes go on from them. A
/// plain value.
struct ExpertMapCache
{
    std::map<std::uint64_t, RankMap> byVersion;
    /// Version in force at the own rank; its map is never forgotten.
    std::uint64_t inForce = 0;
};

/// Whether the whole map of a version is known. Version 0 is worked out from the profile.
bool hasMap(const ExpertMapCache &cache, const ExpertProfile &profile, std::uint64_t version);

/// The whole map of an order to prepare, put together from its changes where it came as those, and
/// kept for the next ones.
/// @param ranks Size of the group.
/// @return NotFound when the map that the changes go on from is not known, as after a start; the
/// leader sends the whole map when it asks again. BadInput when the changes don't fit it.
Result<RankMap> resolveMap(ExpertMapCache &cache, const ExpertProfile &profile, std::size_t ranks,
                           const RankCommand &command);

} // namespace wisteria
