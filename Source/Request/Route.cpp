#include "Request/Route.h"

#include <algorithm>

namespace wisteria {

namespace {

double occupancy(const Candidate &candidate)
{
    const double busy = std::max(candidate.running + candidate.queued, candidate.outstanding);
    return busy / std::max<std::uint32_t>(candidate.concurrency, 1);
}

} // namespace

std::optional<std::size_t> chooseBackendServer(const std::vector<Candidate> &candidates,
                                               const std::vector<std::string> &tried)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (candidate.leaving || candidate.down)
            continue;
        if (std::find(tried.begin(), tried.end(), candidate.name) != tried.end())
            continue;
        if (!best || occupancy(candidate) < occupancy(candidates[*best]))
            best = i;
    }
    return best;
}

} // namespace wisteria
