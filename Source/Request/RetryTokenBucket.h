#pragma once

#include <algorithm>
#include <cstdint>

#include "Process/Time.h"

namespace wisteria {

/// Limit of the retries that all gateways together may send to one service in any window.
struct RetryQuota
{
    /// Retries per request.
    double ratio = 0.1;
    /// Additional retries per window, shared by all gateways.
    double baseRetries = 10;
    milliseconds window{10'000};
    /// Reported number of gateways that share the base retries; 0 while none is reported.
    std::uint32_t reportedGateways = 0;
};

/// Number of gateways assumed before any report: that of a large fleet.
constexpr double defaultGateways = 40;
/// Lower bound of the assumed gateways, and assumed gateways per reported one. The number is
/// overestimated because VMs may be added in the middle of a window. A share that needs no messages
/// between gateways also holds in any network partition.
constexpr double minGateways = 10;
constexpr double gatewaysPerReported = 1.25;

/// Updates the gateway count from the report of a sidecar. The count never falls, because a sidecar
/// that is cut off from some gateways reports fewer.
inline void noteGateways(RetryQuota &quota, std::uint32_t reported)
{
    quota.reportedGateways = std::max(quota.reportedGateways, reported);
}

/// Returns the number of gateways that the base retries are divided by.
inline double assumedGateways(const RetryQuota &quota)
{
    if (quota.reportedGateways == 0)
        return defaultGateways;
    return std::max(minGateways, quota.reportedGateways * gatewaysPerReported);
}

/// Starts of one gateway within a window; each start begins with a full share.
constexpr double maxStarts = 2;

/// One gateway's token bucket for retries of a service. Each request adds `ratio` tokens, and each
/// window adds baseRetryShare() tokens. The bucket size is bounded, so that base retries in any
/// window are at most twice that share, if the share is at least one token.
struct RetryTokenBucket
{
    double tokens = 0;
    TimePoint refilledAt;
    bool started = false;
};

/// Returns the part of the base retries that one gateway holds at its start and earns per window:
/// half of an equal division, because it may start twice within a window.
inline double baseRetryShare(const RetryQuota &quota)
{
    return quota.baseRetries / assumedGateways(quota) / maxStarts;
}

/// Returns the bucket size: at least one token, otherwise none of many gateways could ever retry.
inline double maxTokens(const RetryQuota &quota)
{
    return std::max(1.0, baseRetryShare(quota));
}

/// Adds the share of the base retries for the time since the last refill. The first call fills the
/// bucket with a full share.
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

/// Adds the tokens that a caller's request to the service earns.
inline void noteRequest(RetryTokenBucket &bucket, const RetryQuota &quota, TimePoint now)
{
    refill(bucket, quota, now);
    bucket.tokens = std::min(maxTokens(quota), bucket.tokens + quota.ratio);
}

/// Takes one retry token.
/// @return False when the bucket holds less than one.
inline bool takeRetryToken(RetryTokenBucket &bucket, const RetryQuota &quota, TimePoint now)
{
    refill(bucket, quota, now);
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace wisteria
