#pragma once

#include <cmath>
#include <optional>

#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// What a sidecar last told the gateways of its engine's load. A plain value.
struct SentLoad
{
    std::optional<EngineLoad> load;
    TimePoint at;
};

/// Pause between two loads that differ. Gateways place requests by them.
constexpr milliseconds loadReportInterval{100};
/// Pause between two that are alike: two of them may get lost before gateways take the load for
/// unknown.
constexpr milliseconds unchangedLoadInterval{300};
/// Paces that differ by less decide nothing.
constexpr double slowdownResolution = 0.1;

/// Whether the gateways would place requests otherwise if they knew the load.
inline bool differs(const EngineLoad &sent, const EngineLoad &load)
{
    EngineLoad sameSlowdown = load;
    sameSlowdown.slowdown = sent.slowdown;
    return sameSlowdown != sent || std::abs(load.slowdown - sent.slowdown) >= slowdownResolution;
}

/// Whether the gateways are to be told now.
///
/// Most loads are the same as a tenth of a second before, and each goes to every gateway: their
/// number grows with gateways times engines. A group that opens or closes is told at once, as
/// requests wait for it or are sent there in vain.
inline bool shouldReport(const SentLoad &sent, const EngineLoad &load, TimePoint now)
{
    if (!sent.load || sent.load->open != load.open)
        return true;
    return now - sent.at
        >= (differs(*sent.load, load) ? loadReportInterval : unchangedLoadInterval);
}

} // namespace wisteria
