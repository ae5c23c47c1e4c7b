#pragma once

#include <chrono>
#include <cstddef>

#include "Process/Time.h"

namespace wisteria {

// Polling of the platform's store by a gateway. Each call is charged for and counts against a rate
// limit that all VMs share, so a gateway polls as rarely as the platform's time bounds allow.

/// Timeout of a call. An answer of the store takes some milliseconds, and a slow one arrives within
/// this time. A connection without an answer after it counts as dead.
constexpr milliseconds storeAnswerTimeout{700};
/// Longest body of an answer, sixteen times what the store sends of its records in one call: a
/// longer one has perhaps no end.
constexpr std::size_t maxStoreAnswerBytes = 16777216;
/// Backoff after the first failed call.
constexpr milliseconds storeInitialBackoff{100};

/// Maximum backoff after failed calls. The timeout of a call that began just before the store
/// recovered and this backoff together take at most 1.1 s: a version that is acknowledged at the
/// recovery must be in force 2 s later.
constexpr milliseconds storeMaxBackoff{400};

/// Backoff after failed reads of the list, and how long one read may be unanswered before a second
/// one is sent beside it. Both limit for how long it is unknown whether a server has left, and
/// since when the store is back after an outage.
constexpr milliseconds backendsMaxBackoff{250};
constexpr milliseconds backendsHedgeDelay{250};

/// Fraction of the drain time that may pass between two reads of the list. A draining server must
/// get no new requests after the drain time; a lost answer and the read after it still fit into the
/// rest of it.
constexpr double backendsFraction = 0.45;
/// Fraction of the configuration time that a read may wait for a new configuration. The store
/// reports a change at once; the wait matters only if the connection fails silently.
constexpr double configurationFraction = 0.75;

/// Interval between the begins of two reads of the list of servers, which changes with each
/// server's heartbeats.
inline milliseconds backendsPollInterval(milliseconds drainTime)
{
    return std::chrono::duration_cast<milliseconds>(drainTime * backendsFraction);
}

/// How long the store may hold a read of the configuration that finds no change.
inline milliseconds configurationLongPollTime(milliseconds configurationTime)
{
    return std::chrono::duration_cast<milliseconds>(configurationTime * configurationFraction);
}

} // namespace wisteria
