#pragma once

#include <cstdint>

#include <nlohmann/json.hpp>

#include "Process/Time.h"

namespace wisteria {

/// Claim records in the platform's log as a way to run keys at most once: the way not taken, kept
/// so that its figures can be reproduced.
struct ClaimRecipe
{
    std::uint32_t daemons = 340;
    double requestsPerSecond = 7500;
    /// How long a daemon gathers claims for one append (group commit).
    milliseconds window{10};
    /// Appends a second that the log takes.
    double appendsPerSecond = 400;
    /// One way to the log.
    milliseconds hop{1};
    seconds time{60};
    /// The log answers nothing from `outageFrom` for `outage`.
    seconds outageFrom{20};
    seconds outage{0};
    milliseconds deadline{1500};
    std::uint64_t seed = 1;
};

/// Replays the claims of a minute in virtual time: arrivals at random from the seed, one queue at
/// the log, each daemon's claims of one window in one append.
/// @return Appends wanted a second, delay added to a request in milliseconds, share of requests
/// that reach no verdict before their deadline.
nlohmann::json replayClaims(const ClaimRecipe &recipe);

} // namespace wisteria
