#pragma once

#include <algorithm>
#include <cstdint>

#include "Process/Time.h"

namespace wisteria {

/// Bounds of the retries that all gateways may send to one service together in any window.
struct RetryBounds
{
    /// Retries for each request.
    double ratio = 0.1;
    /// Retries besides, of all gateways.
    double slack = 10;
    milliseconds window{10'000};
    /// Gateways that share the slack, as far as is told; 0 while nothing is.
    std::uint32_t gatewaysTold = 0;
};

/// Gateways that are reckoned with until it is told how many there are, as in a large fleet.
constexpr double gatewaysUntilTold = 40;
/// Gateways that are reckoned with at least, and for each one that is told of: VMs may be added in
/// the middle of a window. A static share holds in any partition without a message.
constexpr double gatewaysAtLeast = 10;
constexpr double gatewaysForEach = 1.25;

/// Takes in how many gateways a sidecar hears of. One that is cut off from some hears of fewer, so
/// the number never falls.
inline void noteGateways(RetryBounds &bounds, std::uint32_t told)
{
    bounds.gatewaysTold = std::max(bounds.gatewaysTold, told);
}

/// Gateways that the slack is divided by.
inline double gatewaysReckoned(const RetryBounds &bounds)
{
    if (bounds.gatewaysTold == 0)
        return gatewaysUntilTold;
    return std::max(gatewaysAtLeast, bounds.gatewaysTold * gatewaysForEach);
}

/// Starts of one gateway within a window, each of which begins with a full share.
constexpr double startsAtMost = 2;

/// One gateway's own share of a service's retries: each request earns `ratio`, and time earns the
/// share of the slack. What is saved is bounded, so that no window sees more than twice a share.
struct RetryShare
{
    double tokens = 0;
    TimePoint refilledAt;
    bool started = false;
};

/// Slack that one gateway may hold at a time.
inline double slackShare(const RetryBounds &bounds)
{
    return bounds.slack / gatewaysReckoned(bounds) / startsAtMost;
}

/// Most that is saved up: a whole retry at least, or among many gateways none could send any.
inline double mostSaved(const RetryBounds &bounds)
{
    return std::max(1.0, slackShare(bounds));
}

inline void refill(RetryShare &share, const RetryBounds &bounds, TimePoint now)
{
    const double slack = slackShare(bounds);
    if (!share.started) {
        share = {.tokens = slack, .refilledAt = now, .started = true};
        return;
    }
    const std::chrono::duration<double> passed = now - share.refilledAt;
    const std::chrono::duration<double> window = bounds.window;
    share.refilledAt = now;
    share.tokens =
        std::min(mostSaved(bounds), share.tokens + slack * passed.count() / window.count());
}

/// Notes a caller's request to the service.
inline void noteRequest(RetryShare &share, const RetryBounds &bounds, TimePoint now)
{
    refill(share, bounds, now);
    share.tokens = std::min(mostSaved(bounds), share.tokens + bounds.ratio);
}

/// Takes one retry.
/// @return False when the share holds none.
inline bool takeRetry(RetryShare &share, const RetryBounds &bounds, TimePoint now)
{
    refill(share, bounds, now);
    if (share.tokens < 1)
        return false;
    share.tokens -= 1;
    return true;
}

} // namespace wisteria
