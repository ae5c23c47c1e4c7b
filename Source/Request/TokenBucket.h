#pragma once

#include <algorithm>

#include "Process/Time.h"

namespace wisteria {

/// Tokens that refill at a rate up to a capacity.
struct TokenBucket
{
    double tokens = 0;
    /// Tokens a second.
    double rate = 0;
    double capacity = 0;
    TimePoint refilledAt;
};

/// Refills the bucket up to now.
inline void refill(TokenBucket &bucket, TimePoint now)
{
    if (now <= bucket.refilledAt)
        return;
    const std::chrono::duration<double> passed = now - bucket.refilledAt;
    bucket.tokens = std::min(bucket.capacity, bucket.tokens + bucket.rate * passed.count());
    bucket.refilledAt = now;
}

} // namespace wisteria
