#include "Version/PlacementStaging.h"

#include <random>

#include <catch2/catch.hpp>

#include "Version/PlacementGreedy.h"

using namespace wisteria;

namespace {

RankGroup makeGroup()
{
    RankGroup group;
    group.ranks.assign(6, RankCapacity{4, 0, 1.0});
    group.layers = 3;
    group.experts = 20;
    group.expertBytes = 700;
    group.storeBytesPerSecond = 9000;
    group.stepTime = milliseconds(5);
    group.skewWeight = 1;
    return group;
}

ExpertMap drawMap(const RankGroup &group, std::mt19937_64 &engine)
{
    ExpertMap map;
    for (std::uint32_t layer = 0; layer < group.layers; ++layer) {
        std::vector<double> loads;
        for (std::uint32_t expert = 0; expert < group.experts; ++expert)
            loads.push_back(1.0 + static_cast<double>(engine() % 50));
        map.layers.push_back(greedyLayerMap(group, loads));
    }
    return map;
}

} // namespace

TEST_CASE("A staging plan copies each missing replica once, within the store's rate")
{
    const RankGroup group = makeGroup();
    std::mt19937_64 engine(4);
    for (int round = 0; round < 30; ++round) {
        const ExpertMap current = drawMap(group, engine);
        const ExpertMap next = drawMap(group, engine);
        const StagingPlan plan = planStaging(group, current, next).value();
        std::size_t moves = 0;
        for (std::uint32_t layer = 0; layer < group.layers; ++layer)
            moves += countMoves(current.layers[layer], next.layers[layer]);
        REQUIRE(plan.transfers.size() == moves);
        ExpertMap loaded = current;
        milliseconds before(0);
        double bytes = 0;
        for (const StagedTransfer &transfer : plan.transfers) {
            loaded.layers[transfer.layer].ranks[transfer.rank].push_back(transfer.expert);
            REQUIRE(transfer.beginAfter >= before);
            before = transfer.endAfter;
            bytes += static_cast<double>(transfer.bytes);
            const double passed = std::chrono::duration<double>(transfer.endAfter).count();
            REQUIRE(bytes <= passed * group.storeBytesPerSecond + 1e-6);
        }
        REQUIRE(plan.duration == before);
        for (std::uint32_t layer = 0; layer < group.layers; ++layer)
            REQUIRE(countMoves(loaded.layers[layer], next.layers[layer]) == 0);
        REQUIRE(planStaging(group, current, next).value().transfers == plan.transfers);
    }
}

// A rank runs out of memory during staging, because the old weights are still in use beside the new
// ones. The switch must be refused before any weights are copied.
TEST_CASE("A switch is refused when a rank lacks the memory to stage it")
{
    RankGroup group = makeGroup();
    std::mt19937_64 engine(8);
    const ExpertMap current = drawMap(group, engine);
    const ExpertMap next = drawMap(group, engine);
    group.ranks[2].memoryBytes = group.layers * group.ranks[2].slots * group.expertBytes;
    const Result<StagingPlan> refused = planStaging(group, current, next);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().message.find("rank 2 needs ") == 0);
    CHECK(planStaging(group, current, current).value().transfers.empty());
    ExpertMap wrong = next;
    wrong.layers.pop_back();
    CHECK_FALSE(planStaging(group, current, wrong));
}
