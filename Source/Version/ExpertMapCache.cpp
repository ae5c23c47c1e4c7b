#include "Version/ExpertMapCache.h"

#include <utility>

namespace wisteria {

namespace {

/// Maps that are kept besides the one in force: the one being prepared and some abandoned ones.
constexpr std::size_t maxOtherMaps = 3;

void evictOldest(ExpertMapCache &cache)
{
    for (auto oldest = cache.byVersion.begin();
         oldest != cache.byVersion.end() && cache.byVersion.size() > maxOtherMaps + 1;) {
        if (oldest->first == cache.inForce)
            ++oldest;
        else
            oldest = cache.byVersion.erase(oldest);
    }
}

} // namespace

bool hasMap(const ExpertMapCache &cache, const ExpertProfile &profile, std::uint64_t version)
{
    return version == 0 ? profile.sets > 0 : cache.byVersion.contains(version);
}

Result<RankMap> resolveMap(ExpertMapCache &cache, const ExpertProfile &profile, std::size_t ranks,
                           const RankCommand &command)
{
    RankMap map = command.order.map;
    if (map.empty()) {
        if (!hasMap(cache, profile, command.base)) {
            return failure(ErrorKind::NotFound,
                           "the base map, version " + std::to_string(command.base)
                               + ", is not in the cache");
        }
        const RankMap base =
            command.base == 0 ? firstRankMap(profile, ranks) : cache.byVersion.at(command.base);
        BOOST_OUTCOME_TRY(changed, applyChanges(base, command.changes));
        map = std::move(changed);
    }
    cache.byVersion[command.order.version] = map;
    evictOldest(cache);
    return map;
}

} // namespace wisteria
