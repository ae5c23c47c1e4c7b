#include <catch2/catch.hpp>

#include "Version/KeptMaps.h"

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
    KeptMaps maps;
    const auto first = completeMap(maps, profile, ranks, changesFrom(0, 5, {{0, 1, {1, 2}}}));
    REQUIRE(first.value() == RankMap{{{0, 2}, {1, 2}}});
    const auto second = completeMap(maps, profile, ranks, changesFrom(5, 6, {{0, 0, {0, 3}}}));
    REQUIRE(second.value() == RankMap{{{0, 3}, {1, 2}}});
}

TEST_CASE("Changes from an unknown map, or that do not fit it, are told so")
{
    KeptMaps maps;
    REQUIRE(completeMap(maps, profile, ranks, changesFrom(7, 8, {})).error().kind
            == ErrorKind::NotFound);
    REQUIRE(completeMap(maps, profile, ranks, changesFrom(0, 8, {{0, 9, {}}})).error().kind
            == ErrorKind::BadInput);
    REQUIRE_FALSE(knowsMap(maps, {}, 0));
    REQUIRE_FALSE(knowsMap(maps, profile, 8));
}

// After some switches that were given up, each further map travels whole to each of 72 ranks and
// fills the leader's link: sidecars had forgotten the map in force, which had the lowest version.
TEST_CASE("The map in force is never forgotten")
{
    KeptMaps maps;
    REQUIRE(completeMap(maps, profile, ranks, changesFrom(0, 5, {})).has_value());
    maps.inForce = 5;
    for (std::uint64_t version = 6; version < 20; ++version)
        REQUIRE(completeMap(maps, profile, ranks, changesFrom(5, version, {})).has_value());
    REQUIRE(knowsMap(maps, profile, 5));
    REQUIRE(maps.byVersion.size() == 4);
}
