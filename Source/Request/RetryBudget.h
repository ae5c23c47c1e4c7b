#pragma once

namespace wisteria {

/// Maximum retries in a service's budget, and its value at process start.
constexpr double maxRetryBudget = 10.0;

/// Retry budget of a service at one entry; a gateway uses RetryTokenBucket instead. Each success
/// adds a fraction of a retry, each retry costs one. It prevents retry storms: if all backend
/// servers fail there are no successes, so retries soon stop.
struct RetryBudget
{
    double retries = maxRetryBudget;
};

/// Adds a fraction of a retry after a success.
/// @param ratio Retries per success, 0 to 1.
inline void earnRetry(RetryBudget &budget, double ratio)
{
    budget.retries = budget.retries + ratio;
    if (budget.retries > maxRetryBudget)
        budget.retries = maxRetryBudget;
}

/// Spends one retry.
/// @return False when the budget holds less than one retry.
inline bool spendRetry(RetryBudget &budget)
{
    if (budget.retries < 1.0)
        return false;
    budget.retries -= 1.0;
    return true;
}

} // namespace wisteria
