#pragma once

#include <cmath>
#include <optional>

#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Load of its engine that a sidecar last sent to the gateways. A value type without I/O.
struct SentLoad
{
    std::optional<EngineLoad> load;
    /// When it was sent.
    TimePoint sentAt;
};

/// Minimum interval between two different loads of an engine (EngineLoad). Gateways choose backend
/// servers by them.
constexpr milliseconds loadReportInterval{100};
/// Interval between two equal loads: two of them may be lost before gateways treat the load as
/// unknown.
constexpr milliseconds unchangedLoadInterval{300};
/// Smaller differences in slowdown do not affect the choice of a backend server.
constexpr double slowdownResolution = 0.1;

/// Whether the load differs enough from the one sent to affect the gateways' choices.
inline bool differs(const EngineLoad &sent, const EngineLoad &load)
{
    EngineLoad sameSlowdown = load;
    sameSlowdown.slowdown = sent.slowdown;
    return sameSlowdown != sent || std::abs(load.slowdown - sent.slowdown) >= slowdownResolution;
}

/// Whether to send the load to the gateways now.
///
/// Most loads equal the one of a tenth of a second before, and each is sent to every gateway, so
/// the number of messages grows with gateways times engines. A group that opens or closes is
/// reported at once, because requests wait for it, or are sent to it and refused.
inline bool shouldReport(const SentLoad &sent, const EngineLoad &load, TimePoint now)
{
    if (!sent.load || sent.load->open != load.open)
        return true;
    return now - sent.sentAt
        >= (differs(*sent.load, load) ? loadReportInterval : unchangedLoadInterval);
}

} // namespace wisteria
