#pragma once

#include "Process/Time.h"

namespace wisteria {

// Retries of an order by a sidecar to its own engine. An order may get no answer and be carried out
// seconds later, so a lost order can't be told from a late one; every order is idempotent. All
// ranks of a group wait for the last one, so a sidecar retries without waiting for the leader to
// resend.

/// Timeout of one attempt. An engine on the same VM answers within a few milliseconds.
constexpr milliseconds orderTimeout{40};
/// Attempts without an answer before it is left to the leader to send the order again. The more
/// ranks there are, the more attempts the unluckiest of them needs.
constexpr int maxOrderAttempts = 16;

/// Whether an order without an answer is sent once more after this many attempts.
constexpr bool shouldResend(int attemptsDone)
{
    return attemptsDone < maxOrderAttempts;
}

} // namespace wisteria
