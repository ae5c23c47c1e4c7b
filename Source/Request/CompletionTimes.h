#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "Process/Time.h"
#include "Request/Fingerprint.h"

namespace wisteria {

/// Times by fingerprint, in two periods, so that those not renewed for longest are forgotten.
struct TimesOfTwoPeriods
{
    using Times = std::unordered_map<Fingerprint, TimePoint, FingerprintHash>;

    /// Times of the period that began at `recentSince`, and of the one before.
    Times recent;
    Times earlier;
    TimePoint recentSince;
};

/// When backend servers last completed each request and prompt part. Its memory is bounded.
///
/// Most requests complete once only, and must not push out the parts, which complete again and
/// again.
struct CompletionTimes
{
    TimesOfTwoPeriods once;
    TimesOfTwoPeriods recurring;
};

/// A period ends after this time or after so many fingerprints.
constexpr std::chrono::minutes completionPeriod{10};
constexpr std::size_t maxCompletionsPerPeriod = 4096;

/// Records that a backend server completed a request or part. Reports may arrive in any order.
void noteCompletionTime(CompletionTimes &times, const Fingerprint &completed, TimePoint at,
                        TimePoint now);

/// @return Nothing if no completion is known.
std::optional<TimePoint> lastCompletion(const CompletionTimes &times, const Fingerprint &asked);

/// Number of times that are kept.
std::size_t sizeOf(const CompletionTimes &times);

} // namespace wisteria
