#include "Request/OrganisationShares.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace wisteria {

namespace {

/// Fewer recent starts than this count as none: one start does after 9 s.
constexpr double minStarts = 0.01;

double decayed(const OrganisationShares::Starts &starts, TimePoint now)
{
    const std::chrono::duration<double> passed =
        std::max(now - starts.decayedAt, Clock::duration(0));
    const std::chrono::duration<double> constant = recentStartsDecay;
    return starts.count * std::exp(-(passed / constant));
}

/// Removes decayed organisations, at most once in `recentStartsDecay`.
void removeDecayed(OrganisationShares &shares, TimePoint now)
{
    if (now - shares.cleanedAt < recentStartsDecay)
        return;
    shares.cleanedAt = now;
    std::erase_if(shares.byOrganisation,
                  [now](const auto &item) { return decayed(item.second, now) < minStarts; });
}

} // namespace

void noteOrganisationStart(OrganisationShares &shares, const std::string &organisation,
                           TimePoint now)
{
    removeDecayed(shares, now);
    OrganisationShares::Starts &starts =
        shares.byOrganisation[std::hash<std::string>()(organisation)];
    starts.count = decayed(starts, now) + 1;
    starts.decayedAt = now;
}

double recentStarts(const OrganisationShares &shares, const std::string &organisation,
                    TimePoint now)
{
    const auto found = shares.byOrganisation.find(std::hash<std::string>()(organisation));
    if (found == shares.byOrganisation.end())
        return 0;
    const double starts = decayed(found->second, now);
    return starts < minStarts ? 0 : starts;
}

double startTagOf(const OrganisationShares &shares, const std::string &organisation,
                  std::size_t ownAhead, TimePoint now)
{
    return recentStarts(shares, organisation, now) + static_cast<double>(ownAhead);
}

std::size_t requestsAhead(const OrganisationShares &shares, const OrganisationCounts &waiting,
                          const std::string &organisation, TimePoint now)
{
    const auto own = waiting.find(organisation);
    const std::size_t ownAhead = own == waiting.end() ? 0 : own->second;
    const double ownStarts = recentStarts(shares, organisation, now);
    const double startTag = startTagOf(shares, organisation, ownAhead, now);
    std::size_t ahead = ownAhead;
    for (const auto &[other, count] : waiting) {
        const double starts = recentStarts(shares, other, now);
        if (other == organisation || starts > ownStarts)
            continue;
        // The requests of one organisation have the start tags `starts`, `starts` + 1 and so on.
        const auto earlier = static_cast<std::size_t>(std::floor(startTag - starts)) + 1;
        ahead += std::min(count, earlier);
    }
    return ahead;
}

} // namespace wisteria
