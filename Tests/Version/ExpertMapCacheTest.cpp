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

TEST_CASE("Changes apply to the initial map and to maps of earlier orders")
{
    ExpertMapCache cache;
    const auto first = resolveMap(cache, profile, ranks, changesFrom(0, 5, {{0, 1, {1, 2}}}));
    REQUIRE(first.value() == RankMap{{{0, 2}, {1, 2}}});
    const auto second = resolveMap(cache, profile, ranks, changesFrom(5, 6, {{0, 0, {0, 3}}}));
    REQUIRE(second.value() == RankMap{{{0, 3}, {1, 2}}});
}

TEST_CASE(
    "Changes to a map that is not cached, and changes that do not fit their base, are refused")
{
    ExpertMapCache cache;
    REQUIRE(resolveMap(cache, profile, ranks, changesFrom(7, 8, {})).error().kind
            == ErrorKind::NotFound);
    REQUIRE(resolveMap(cache, profile, ranks, changesFrom(0, 8, {{0, 9, {}}})).error().kind
            == ErrorKind::BadInput);
    REQUIRE_FALSE(hasMap(cache, {}, 0));
    REQUIRE_FALSE(hasMap(cache, profile, 8));
}

// After several abandoned switches, every new map is sent complete to each of 72 ranks and
// saturates the leader's link: sidecars had evicted the map in force, because it had the lowest
// version.
TEST_CASE("The map in force is never evicted")
{
    ExpertMapCache cache;
    REQUIRE(resolveMap(cache, profile, ranks, changesFrom(0, 5, {})).has_value());
    cache.inForce = 5;
    for (std::uint64_t version = 6; version < 20; ++version)
        REQUIRE(resolveMap(cache, profile, ranks, changesFrom(5, version, {})).has_value());
    REQUIRE(hasMap(cache, profile, 5));
    REQUIRE(cache.byVersion.size() == 4);
}
