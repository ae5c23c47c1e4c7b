#include <catch2/catch.hpp>

#include "Version/ExpertMapCache.h"

using namespace wisteria;

namespace {

const ExpertProfile profile{.sets = 1, .expertsPerSet = 4, .expertsPerRank = 2};
constexpr std::size_t ranks = 2;

RankCommand changesFrom(std::uint64_t base, std::uint64_t version,
                        const std::vector<RankMapChange> &changes)
{
    RankCommand command{.order = {.kind = RankOrderKind::Prepare, .version = version}};
    command.base = base;
    command.changes = changes;
    return command;
}

} // namespace

TEST_CASE("Changes go on from the first map, and from maps that were ordered")
{
    ExpertMapCache cache;
    const auto first = resolveMap(cache, profile, ranks, changesFrom(0, 5, {{0, 1, {1, 2}}}));
    REQUIRE(first.value() == RankMap{{{0, 2}, {1, 2}}});
    const auto second = resolveMap(cache, profile, ranks, changesFrom(5, 6, {{0, 0, {0, 3}}}));
    REQUIRE(second.value() == RankMap{{{0, 3}, {1, 2}}});
}

TEST_CASE("Changes from an unknown map, or that do not fit it, are told so")
{
    ExpertMapCache cache;
    REQUIRE(resolveMap(cache, profile, ranks, changesFrom(7, 8, {})).error().kind
            == ErrorKind::NotFound);
    REQUIRE(resolveMap(cache, profile, ranks, changesFrom(0, 8, {{0, 9, {}}})).error().kind
            == ErrorKind::BadInput);
    REQUIRE_FALSE(hasMap(cache, {}, 0));
    REQUIRE_FALSE(hasMap(cache, profile, 8));
}

// After some switches that were given up, each further map travels whole to each of 72 ranks and
// fills the leader's link: sidecars had forgotten the map in force, which had the lowest version.
TEST_CASE("The map in force is never forgotten")
{
    ExpertMapCache cache;
    REQUIRE(resolveMap(cache, profile, ranks, changesFrom(0, 5, {})).has_value());
    cache.inForce = 5;
    for (std::uint64_t version = 6; version < 20; ++version)
        REQUIRE(resolveMap(cache, profile, ranks, changesFrom(5, version, {})).has_value());
    REQUIRE(hasMap(cache, profile, 5));
    REQUIRE(cache.byVersion.size() == 4);
}
