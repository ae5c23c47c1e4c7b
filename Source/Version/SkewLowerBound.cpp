#include "Version/SkewLowerBound.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wisteria {

namespace {

/// Halvings of the search interval; the result is exact to about twelve decimals.
constexpr int bisections = 40;

double fastestSpeed(const RankGroup &group)
{
    double fastest = 0;
    for (const RankCapacity &rank : group.ranks)
        fastest = std::max(fastest, rank.speed);
    return fastest;
}

bool fitsSlots(const RankGroup &group, const std::vector<double> &loads, double time)
{
    std::uint64_t slots = 0;
    for (const RankCapacity &rank : group.ranks)
        slots += rank.slots;
    const double perReplica = time * fastestSpeed(group);
    double needed = 0;
    for (const double load : loads) {
        const double replicas = std::max(1.0, std::ceil(load / perReplica));
        if (replicas > static_cast<double>(group.ranks.size()))
            return false;
        needed += replicas;
    }
    return needed <= static_cast<double>(slots);
}

} // namespace

double lowerBoundSkew(const RankGroup &group, const std::vector<double> &loads)
{
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (total <= 0)
        return 1.0;
    double speed = 0;
    for (const RankCapacity &rank : group.ranks)
        speed += rank.speed;
    const double balanced = total / speed;
    if (fitsSlots(group, loads, balanced))
        return 1.0;
    // The upper end always fits: one replica per expert is enough there.
    double low = balanced;
    double high = std::max(balanced, total / fastestSpeed(group));
    for (int i = 0; i < bisections; ++i) {
        const double middle = (low + high) / 2;
        (fitsSlots(group, loads, middle) ? high : low) = middle;
    }
    return low / balanced;
}

} // namespace wisteria
