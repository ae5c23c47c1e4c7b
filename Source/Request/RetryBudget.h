#pragma once

namespace wisteria {

/// Retries that a service's budget holds at most, and has when the process starts.
constexpr double maxRetryBudget = 10.0;

/// Budget of retries: each success earns a share, each retry costs one. Against retry storms: when
/// the fleet is sick there are no successes, so retries soon stop.
struct RetryBudget
{
    double retries = maxRetryBudget;
};

/// Earns the budget a share of a retry.
/// @param ratio Retries per success, 0 to 1.
inline void earnRetry(RetryBudget &budget, double ratio)
{
    budget.retries = budget.retries + ratio;
    if (budget.retries > maxRetryBudget)
        budget.retries = maxRetryBudget;
}

/// Spends one retry.
/// @return False when the budget holds none.
inline bool spendRetry(RetryBudget &budget)
{
    if (budget.retries < 1.0)
        return false;
    budget.retries -= 1.0;
    return true;
}

} // namespace wisteria
