#pragma once

#include <vector>

#include <nlohmann/json.hpp>

#include "Process/Time.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// How much is declared while changes are measured.
struct ConfigSize
{
    std::uint32_t organisations = 0;
    std::uint32_t backendServers = 0;
};

/// The change that declares a routing policy, a service and as much else as asked for.
v1::ChangeRecord baseChange(const ConfigSize &size);

/// A change of the one service. Its id carries when it was sent, by the machine's monotonic clock.
/// @param version The version before.
/// @param last Whether followers stop at it.
v1::ChangeRecord nextChange(std::uint32_t index, Offset version, bool last, TimePoint now);

/// Adds the delays of the changes that came into force beyond `looked`.
/// @return Whether the last change is among them.
bool collectDelays(const ConfigState &state, Offset looked, TimePoint now,
                   std::vector<microseconds> &delays);

/// Number, median, 99th percentile and maximum of delays, in milliseconds.
nlohmann::json delaysJson(std::vector<microseconds> delays);

/// Sums up what followers printed: the worst of their delays and memory, the mean of their costs.
nlohmann::json summaryOf(const std::vector<nlohmann::json> &followers);

} // namespace wisteria
