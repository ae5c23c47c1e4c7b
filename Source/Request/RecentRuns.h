#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "Process/Time.h"

namespace wisteria {

/// How long the last runs of a service took that got a complete answer, from the send to its end.
struct RecentRuns
{
    /// Number of runs that are kept.
    static constexpr std::size_t kept = 64;

    std::array<milliseconds, kept> times{};
    /// Number of runs so far; the oldest kept one is overwritten next.
    std::size_t count = 0;
};

void noteRun(RecentRuns &runs, milliseconds time);

/// Returns the time within which all but a few of the recent runs ended; twice the longest time if
/// only a few are known, and nothing if none is.
std::optional<milliseconds> usualRun(const RecentRuns &runs);

} // namespace wisteria
