#pragma once

#include <chrono>

#include "Process/Time.h"

namespace wisteria {

// How often a gateway asks the platform's store. Each call is paid for and counts against a rate
// that all VMs share, so it asks as seldom as the platform's bounds allow.

/// An answer of the store takes some milliseconds; one that is slow still comes within this time.
/// A connection that fell silent is noticed after it.
constexpr milliseconds storeAnswerTimeout{700};
/// Pause after the first failed call.
constexpr milliseconds storeInitialBackoff{100};

/// Longest pause after failed calls. A call that began just before the store came back and the
/// longest pause together stay within 1.1 s: a version that was acknowledged as the store came back
/// is to be in force 2 s later.
constexpr milliseconds storeMaxBackoff{400};

/// Part of the time within which a leaving server must get no new requests that may pass between
/// two reads of the list. An answer that is lost, and the read after it, still fit into the rest.
constexpr double backendsFraction = 0.45;
/// The same for a configuration and the longest read that waits for one. A change is told at once;
/// the wait counts only when its connection falls silent.
constexpr double configurationFraction = 0.75;

/// Pause between two reads of the list of servers, which changes with every heartbeat of each.
inline milliseconds backendsPollInterval(milliseconds drainTime)
{
    return std::chrono::duration_cast<milliseconds>(drainTime * backendsFraction);
}

/// How long the store may hold a read of the configuration that finds no change.
inline milliseconds configurationWait(milliseconds configurationTime)
{
    return std::chrono::duration_cast<milliseconds>(configurationTime * configurationFraction);
}

} // namespace wisteria
