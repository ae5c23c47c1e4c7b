#pragma once

#include <cstdint>
#include <string>

#include "Process/Metrics.h"
#include "Process/Time.h"
#include "Version/RankReport.h"
#include "Version/RankSwitch.h"

namespace wisteria {

/// Counts an event of a switch of expert maps. Sets the skews when a map is proposed and when it is
/// in force; in the latter case also records how long the switch held the group.
void countSwitchEvent(Metrics &metrics, const GroupSwitch &group, SwitchEvent event, TimePoint now);

/// Counts an order to the engine on the same VM.
/// @param result "done" or "failed".
void countOrder(Metrics &metrics, RankOrderKind kind, const std::string &result);

/// State of a sidecar at the moment of a scrape.
struct SidecarState
{
    RankReport report{};
    /// Time since the engine was last read with success.
    milliseconds reportAge{0};
    bool leading = false;
    /// Gateways that the engine's load is sent to.
    std::size_t gateways = 0;
    /// Since the process started.
    std::uint64_t droppedLogLines = 0;
};

void setSidecarState(Metrics &metrics, const SidecarState &state);

} // namespace wisteria
