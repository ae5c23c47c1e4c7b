#pragma once

#include <cstdint>

#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// The list of engines that a sidecar goes by. A plain value.
struct KnownEngines
{
    EngineList list;
    /// Of the list; 0 before the first one.
    std::uint64_t digest = 0;
    TimePoint askedAt;
};

/// Pause between two questions for a list. Gateways learn of a change up to a read of the store
/// apart, so for a while their hellos name two lists in turn, and each would be asked for.
constexpr milliseconds listAskPause{300};

/// Whether the gateway whose hello names this list is to be asked for it.
inline bool shouldAskForList(const KnownEngines &known, std::uint64_t named, TimePoint now)
{
    return named != known.digest && now - known.askedAt >= listAskPause;
}

inline void noteListAsked(KnownEngines &known, TimePoint now)
{
    known.askedAt = now;
}

inline void takeList(KnownEngines &known, const EngineList &list)
{
    known.list = list;
    known.digest = digestOf(list);
}

} // namespace wisteria
