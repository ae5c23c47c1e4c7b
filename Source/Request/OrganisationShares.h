#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "Process/Time.h"

// Fair shares of scarce slots for the organisations that call through one gateway. The load that
// this answers: a surge of a large organisation, and callers that retry immediately, which would
// fill the queue ahead of a small organisation's requests.

namespace wisteria {

/// Time constant of the decay of an organisation's starts: an organisation that pauses this long
/// is treated nearly like a new one.
constexpr milliseconds recentStartsDecay{2000};

/// Recent starts by organisation at one gateway. A value type without I/O.
struct OrganisationShares
{
    struct Starts
    {
        /// First sends, decayed exponentially with the time constant `recentStartsDecay`.
        double count = 0;
        TimePoint decayedAt;
    };
    /// By hash of the name, which takes half of the memory of the names. Two organisations with
    /// one hash share their starts.
    std::unordered_map<std::size_t, Starts> byOrganisation;
    /// When decayed organisations were last removed.
    TimePoint cleanedAt;
};

/// Number of waiting requests by organisation.
using OrganisationCounts = std::unordered_map<std::string, std::size_t>;

/// Records that a request of an organisation got a slot, and removes decayed organisations.
void noteOrganisationStart(OrganisationShares &shares, const std::string &organisation,
                           TimePoint now);

/// Returns the organisation's recent starts.
double recentStarts(const OrganisationShares &shares, const std::string &organisation,
                    TimePoint now);

/// Returns the start tag of a waiting request, as in start-time fair queueing: the number of recent
/// starts that its organisation will have when the organisation's earlier requests have started. Of
/// the waiting requests of one priority, the one with the lowest start tag is dispatched first.
/// @param ownAhead Waiting requests of the same organisation that arrived earlier.
double startTagOf(const OrganisationShares &shares, const std::string &organisation,
                  std::size_t ownAhead, TimePoint now);

/// Returns how many waiting requests of one priority get a slot before a new request of an
/// organisation. Requests of an organisation with more recent starts are never among them.
std::size_t requestsAhead(const OrganisationShares &shares, const OrganisationCounts &waiting,
                          const std::string &organisation, TimePoint now);

} // namespace wisteria
