#include "Version/KeptMaps.h"

#include <utility>

namespace wisteria {

namespace {

/// Maps that are kept beside the one in force: the one being prepared, and some that were given up.
constexpr std::size_t keptBesideInForce = 3;

void forgetOldest(KeptMaps &maps)
{
    for (auto oldest = maps.byVersion.begin();
         oldest != maps.byVersion.end() && maps.byVersion.size() > keptBesideInForce + 1;) {
        if (oldest->first == maps.inForce)
            ++oldest;
        else
            oldest = maps.byVersion.erase(oldest);
    }
}

} // namespace

bool knowsMap(const KeptMaps &maps, const ExpertProfile &profile, std::uint64_t version)
{
    return version == 0 ? profile.sets > 0 : maps.byVersion.contains(version);
}

Result<RankMap> completeMap(KeptMaps &maps, const ExpertProfile &profile, std::size_t ranks,
                            const RankCommand &command)
{
    RankMap map = command.order.map;
    if (map.empty()) {
        if (!knowsMap(maps, profile, command.base)) {
            return failure(ErrorKind::NotFound,
                           "the map of version " + std::to_string(command.base)
                               + ", which the changes go on from, is not known here");
        }
        const RankMap base =
            command.base == 0 ? firstRankMap(profile, ranks) : maps.byVersion.at(command.base);
        BOOST_OUTCOME_TRY(changed, applyChanges(base, command.changes));
        map = std::move(changed);
    }
    maps.byVersion[command.order.version] = map;
    forgetOldest(maps);
    return map;
}

} // namespace wisteria
