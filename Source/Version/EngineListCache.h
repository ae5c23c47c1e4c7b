#pragma once

#include <cstdint>

#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// The list of engines that a sidecar goes by. A plain value.
struct EngineListCache
{
    EngineList list;
    /// Of the list; 0 before the first one.
    std::uint64_t digest = 0;
    TimePoint requestedAt;
};

/// Pause between two questions for a list. Gateways learn of a change up to a read of the store
/// apart, so for a while their hellos name two lists in turn, and each would be asked for.
constexpr milliseconds listRequestInterval{300};

/// Whether the gateway whose hello names this list is to be asked for it.
inline bool shouldRequestList(const EngineListCache &cache, std::uint64_t named, TimePoint now)
{
    return named != cache.digest && now - cache.requestedAt >= listRequestInterval;
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
