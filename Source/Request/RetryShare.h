#pragma once

#include <algorithm>

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
};

/// Gateways that may share the slack at once. Twice the five of the larger deployment, as VMs may
/// be added in the middle of a window. A static share holds in any partition without a message.
constexpr double gatewaysAtMost = 10;
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
    return bounds.slack / gatewaysAtMost / startsAtMost;
}

inline void refill(RetryShare &share, const RetryBounds &bounds, TimePoint now)
{
    const double most = slackShare(bounds);
    if (!share.started) {
        share = {.tokens = most, .refilledAt = now, .started = true};
        return;
    }
    const std::chrono::duration<double> passed = now - share.refilledAt;
    const std::chrono::duration<double> window = bounds.window;
    share.refilledAt = now;
    share.tokens = std::min(most, share.tokens + most * passed.count() / window.count());
}

/// Notes a caller's request to the service.
inline void noteRequest(RetryShare &share, const RetryBounds &bounds, TimePoint now)
{
    refill(share, bounds, now);
    share.tokens = std::min(slackShare(bounds), share.tokens + bounds.ratio);
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
