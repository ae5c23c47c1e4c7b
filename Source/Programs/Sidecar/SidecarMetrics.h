#pragma once

#include <cstdint>
#include <string>

#include "Process/Metrics.h"
#include "Process/Time.h"
#include "Version/RankReport.h"
#include "Version/RankSwitch.h"

namespace wisteria {

/// Counts a step of a switch of maps, as the group's leader sees it.
void countSwitchEvent(Metrics &metrics, const GroupSwitch &group, SwitchEvent event, TimePoint now);

/// @param result "done", or the kind of failure.
void countOrder(Metrics &metrics, RankOrderKind kind, const std::string &result);

/// State of a sidecar at the moment of a scrape.
struct SidecarState
{
    RankReport report{};
    /// Since the engine last answered.
    milliseconds reportAge{0};
    bool leading = false;
    std::size_t gateways = 0;
    std::uint64_t droppedLogLines = 0;
};

void setSidecarState(Metrics &metrics, const SidecarState &state);

} // namespace wisteria
