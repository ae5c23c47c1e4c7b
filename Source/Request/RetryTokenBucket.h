#pragma once

#include <algorithm>
#include <cstdint>

#include "Process/Time.h"

namespace wisteria {

/// Bounds of the retries that all gateways may send to one service together in any window.
struct RetryQuota
{
    /// Retries for each request.
    double ratio = 0.1;
    /// Retries besides, of all gateways.
    double baseRetries = 10;
    milliseconds window{10'000};
    /// Gateways that share the slack, as far as is told; 0 while nothing is.
    std::uint32_t reportedGateways = 0;
};

/// Gateways that are reckoned with until it is told how many there are, as in a large fleet.
constexpr double defaultGateways = 40;
/// Gateways that are reckoned with at least, and for each one that is told of: VMs may be added in
/// the middle of a window. A static share holds in any partition without a message.
constexpr double minGateways = 10;
constexpr double gatewaysPerReported = 1.25;

/// Takes in how many gateways a sidecar hears of. One that is cut off from some hears of fewer, so
/// the number never falls.
inline void noteGateways(RetryQuota &quota, std::uint32_t reported)
{
    quota.reportedGateways = std::max(quota.reportedGateways, reported);
}

/// Gateways that the slack is divided by.
inline double assumedGateways(const RetryQuota &quota)
{
    if (quota.reportedGateways == 0)
        return defaultGateways;
    return std::max(minGateways, quota.reportedGateways * gatewaysPerReported);
}

/// Starts of one gateway within a window, each of which begins with a full share.
constexpr double maxStarts = 2;

/// One gateway's own share of a service's retries: each request earns `ratio`, and time earns the
/// share of the slack. What is saved is bounded, so that no window sees more than twice a share.
struct RetryTokenBucket
{
    double tokens = 0;
    TimePoint refilledAt;
    bool started = false;
};

/// Slack that one gateway may hold at a time.
inline double baseRetryShare(const RetryQuota &quota)
{
    return quota.baseRetries / assumedGateways(quota) / maxStarts;
}

/// Most that is saved up: a whole retry at least, or among many gateways none could send any.
inline double maxTokens(const RetryQuota &quota)
{
    return std::max(1.0, baseRetryShare(quota));
}

inline void refill(RetryTokenBucket &bucket, const RetryQuota &quota, TimePoint now)
{
    const double share = baseRetryShare(quota);
    if (!bucket.started) {
        bucket = {.tokens = share, .refilledAt = now, .started = true};
        return;
    }
    const std::chrono::duration<double> passed = now - bucket.refilledAt;
    const std::chrono::duration<double> window = quota.window;
    bucket.refilledAt = now;
    bucket.tokens =
        std::min(maxTokens(quota), bucket.tokens + share * passed.count() / window.count());
}

/// Notes a caller's request to the service.
inline void noteRequest(RetryTokenBucket &bucket, const RetryQuota &quota, TimePoint now)
{
    refill(bucket, quota, now);
    bucket.tokens = std::min(maxTokens(quota), bucket.tokens + quota.ratio);
}

/// Takes one retry.
/// @return False when the share holds none.
inline bool takeRetryToken(RetryTokenBucket &bucket, const RetryQuota &quota, TimePoint now)
{
    refill(bucket, quota, now);
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace wisteria
