#pragma once

#include <cstdint>

#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Engine list that a sidecar uses. A value type without I/O.
struct EngineListCache
{
    EngineList list;
    /// Digest of the list; 0 before the first list.
    std::uint64_t digest = 0;
    /// When a list was last requested.
    TimePoint requestedAt;
};

/// Minimum interval between two requests for a list. Gateways see a change up to one read of the
/// store apart, so for a while their hellos alternate between two lists, and without the interval
/// each hello would cause a request.
constexpr milliseconds listRequestInterval{300};

/// Whether to request the list from the gateway whose hello contained this digest.
inline bool shouldRequestList(const EngineListCache &cache, std::uint64_t listDigest, TimePoint now)
{
    return listDigest != cache.digest && now - cache.requestedAt >= listRequestInterval;
}

inline void noteListRequested(EngineListCache &cache, TimePoint now)
{
    cache.requestedAt = now;
}

inline void setList(EngineListCache &cache, const EngineList &list)
{
    cache.list = list;
    cache.digest = digestOf(list);
}

} // namespace wisteria
