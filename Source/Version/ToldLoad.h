#pragma once

#include <cmath>
#include <optional>

#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// What a sidecar last told the gateways of its engine's load. A plain value.
struct ToldLoad
{
    std::optional<EngineLoad> load;
    TimePoint at;
};

/// Pause between two loads that differ. Gateways place requests by them.
constexpr milliseconds loadPeriod{100};
/// Pause between two that are alike: two of them may get lost before gateways take the load for
/// unknown.
constexpr milliseconds sameLoadPeriod{300};
/// Paces that differ by less decide nothing.
constexpr double paceStep = 0.1;

/// Whether the gateways would place requests otherwise if they knew the load.
inline bool differs(const EngineLoad &told, const EngineLoad &load)
{
    EngineLoad samePace = load;
    samePace.pace = told.pace;
    return samePace != told || std::abs(load.pace - told.pace) >= paceStep;
}

/// Whether the gateways are to be told now.
///
/// Most loads are the same as a tenth of a second before, and each goes to every gateway: their
/// number grows with gateways times engines. A group that opens or closes is told at once, as
/// requests wait for it or are sent there in vain.
inline bool isWorthTelling(const ToldLoad &told, const EngineLoad &load, TimePoint now)
{
    if (!told.load || told.load->open != load.open)
        return true;
    return now - told.at >= (differs(*told.load, load) ? loadPeriod : sameLoadPeriod);
}

} // namespace wisteria
