#pragma once

#include "Process/Time.h"

namespace wisteria {

// How a sidecar repeats an order to its own engine. Orders may get no answer and be carried out
// seconds later; one that was lost can't be told from one that is late, and each order bears to be
// carried out twice. All ranks of a group wait for the last one, so a sidecar goes on by itself
// rather than wait for the leader to ask again.

/// An engine on the same VM answers within some milliseconds.
constexpr milliseconds orderTimeout{40};
/// Tries while there is no answer; then the leader asks again. The more ranks there are, the more
/// tries the unluckiest of them needs.
constexpr int maxOrderAttempts = 16;

/// Whether an order that got no answer is given once more.
constexpr bool shouldResend(int attemptsDone)
{
    return attemptsDone < maxOrderAttempts;
}

} // namespace wisteria
