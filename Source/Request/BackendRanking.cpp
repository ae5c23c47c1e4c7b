#include "Request/BackendRanking.h"

#include <algorithm>

#include <boost/container_hash/hash.hpp>

namespace wisteria {

namespace {

/// Loads that differ by less than this fraction of the slots count as equal.
constexpr double tieTolerance = 0.02;
/// Cost of using another failure domain, as a fraction of the slots: about one request at a server
/// with eleven slots. Traffic between domains is expensive and adds latency.
constexpr double crossDomainPenalty = 0.09;

} // namespace

double RankedBackend::cost() const
{
    return load + (otherDomain ? crossDomainPenalty : 0);
}

bool RankedBackend::isBetterThan(const RankedBackend &other) const
{
    if (overFreeShare != other.overFreeShare)
        return !overFreeShare;
    if (avoided != other.avoided)
        return !avoided;
    if (isCold != other.isCold)
        return !isCold;
    return cost() < other.cost() - tieTolerance;
}

void dropSlow(std::vector<RankedBackend> &candidates, TimePoint now, milliseconds loadLifetime)
{
    const auto slow = [&](const RankedBackend &candidate) {
        return slowdownOf(*candidate.state, now, loadLifetime) >= moveAtSlowdown;
    };
    if (!std::all_of(candidates.begin(), candidates.end(), slow))
        std::erase_if(candidates, slow);
}

void dropFullBesideCold(std::vector<RankedBackend> &candidates, double maxLoad)
{
    const bool allAvoided = std::all_of(candidates.begin(), candidates.end(),
                                        [](const RankedBackend &one) { return one.avoided; });
    const auto coldWithSlot = [&](const RankedBackend &candidate) {
        return candidate.isCold && candidate.avoided == allAvoided && candidate.hasSlot(maxLoad);
    };
    if (std::none_of(candidates.begin(), candidates.end(), coldWithSlot))
        return;
    std::erase_if(candidates, [maxLoad](const RankedBackend &candidate) {
        return !candidate.hasSlot(maxLoad);
    });
}

const RankedBackend *anyBeyondFreeShare(const std::vector<RankedBackend> &candidates,
                                        double maxLoad, TimePoint now, milliseconds loadLifetime,
                                        double randomUnit)
{
    std::vector<const RankedBackend *> suitable;
    for (const RankedBackend &candidate : candidates) {
        const BackendState &state = *candidate.state;
        const double oneRequest = slowdownOf(state, now, loadLifetime) / state.entry.slots;
        const bool hasTwoSlots = candidate.load + oneRequest <= maxLoad;
        if (candidate.overFreeShare && hasTwoSlots && !candidate.avoided && !candidate.isCold)
            suitable.push_back(&candidate);
    }
    const auto isNear = [](const RankedBackend *candidate) { return !candidate->otherDomain; };
    if (std::any_of(suitable.begin(), suitable.end(), isNear))
        std::erase_if(suitable, [&isNear](const auto *candidate) { return !isNear(candidate); });
    if (suitable.empty())
        return nullptr;
    const auto index = static_cast<std::size_t>(randomUnit * static_cast<double>(suitable.size()));
    return suitable[std::min(index, suitable.size() - 1)];
}

const RankedBackend *designatedOf(const std::vector<RankedBackend> &candidates, std::uint64_t hash,
                                  double maxLoad)
{
    const RankedBackend *designated = nullptr;
    std::size_t highest = 0;
    for (const RankedBackend &candidate : candidates) {
        if (!candidate.hasSlot(maxLoad))
            continue;
        std::size_t score = 0;
        boost::hash_combine(score, hash);
        boost::hash_combine(score, candidate.state->entry.id);
        const bool better = designated == nullptr
            || (candidate.avoided == designated->avoided ? score > highest : !candidate.avoided);
        if (!better)
            continue;
        designated = &candidate;
        highest = score;
    }
    return designated;
}

const RankedBackend *bestOf(const std::vector<RankedBackend> &candidates, double randomUnit)
{
    if (candidates.empty())
        return nullptr;
    const auto start =
        static_cast<std::size_t>(randomUnit * static_cast<double>(candidates.size()));
    const RankedBackend *best = &candidates[start % candidates.size()];
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const RankedBackend &next = candidates[(start + i) % candidates.size()];
        if (next.isBetterThan(*best))
            best = &next;
    }
    return best;
}

} // namespace wisteria
