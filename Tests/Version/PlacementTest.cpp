#include "Version/Placement.h"

#include <cmath>
#include <limits>
#include <numeric>
#include <random>

#include <catch2/catch.hpp>

#include "Version/PlacementGreedy.h"
#include "Version/PlacementSearch.h"
#include "Version/SkewLowerBound.h"

using namespace wisteria;

namespace {

constexpr milliseconds interval(60000);

RankGroup makeGroup(std::uint32_t ranks, std::uint32_t slots, std::uint32_t experts)
{
    RankGroup group;
    group.ranks.assign(ranks, RankCapacity{slots, 0, 1.0});
    group.layers = 2;
    group.experts = experts;
    group.expertBytes = 1000;
    group.storeBytesPerSecond = 1e6;
    group.stepTime = milliseconds(5);
    group.skewWeight = 0.8;
    group.costWeight = 0.2;
    return group;
}

PlacementState startedState(const RankGroup &group)
{
    ExpertMap map;
    map.layers.assign(group.layers, initialLayerMap(group));
    return initialPlacement(group, map).value();
}

/// Returns random loads with a heavy tail. Uses the engine without a distribution, because the
/// numbers of distributions depend on the standard library.
std::vector<double> drawLoads(std::uint32_t experts, std::mt19937_64 &engine)
{
    std::vector<double> loads;
    for (std::uint32_t i = 0; i < experts; ++i)
        loads.push_back(1.0 / (1.0 + static_cast<double>(engine() % 64)));
    return loads;
}

std::vector<double> addNoise(std::vector<double> loads, double noise, std::mt19937_64 &engine)
{
    for (double &load : loads) {
        double sum = 0;
        for (int i = 0; i < 12; ++i)
            sum += static_cast<double>(engine() >> 11) * 0x1p-53;
        load *= std::max(0.0, 1.0 + noise * (sum - 6.0));
    }
    return loads;
}

void reportAll(const RankGroup &group, PlacementState &state, const std::vector<double> &loads,
               TimePoint at)
{
    for (std::uint32_t layer = 0; layer < group.layers; ++layer)
        REQUIRE(addLoadReport(group, state, {at, layer, loads}));
}

} // namespace

TEST_CASE("The maps of every policy respect the slots and place each expert at least once")
{
    std::mt19937_64 engine(11);
    for (int round = 0; round < 40; ++round) {
        const auto ranks = static_cast<std::uint32_t>(2 + engine() % 15);
        const auto slots = static_cast<std::uint32_t>(1 + engine() % 6);
        const auto spare = static_cast<std::uint32_t>(engine() % ranks);
        RankGroup group = makeGroup(ranks, slots, std::max(slots, ranks * slots - spare));
        group.ranks.front().speed = 0.6;
        for (const char *name : {"static", "greedy", "periodic", "wisteria"}) {
            const PlacementPolicy policy = placementPolicyFromName(name).value();
            PlacementState state = startedState(group);
            for (int report = 0; report < 24; ++report) {
                const TimePoint now = TimePoint() + report * interval;
                reportAll(group, state, drawLoads(group.experts, engine), now);
                const PlacementDecision decision = decidePlacement(policy, group, state, now);
                for (const LayerDecision &layer : decision.layers) {
                    if (!layer.next)
                        continue;
                    REQUIRE(checkLayerMap(group, *layer.next));
                    REQUIRE(layer.moves == countMoves(state.layers[layer.layer].map, *layer.next));
                }
                endSwitch(state, decision, true);
            }
        }
    }
}

TEST_CASE("The same reports give the same decisions")
{
    const RankGroup group = makeGroup(8, 5, 32);
    PlacementState first = startedState(group);
    PlacementState second = startedState(group);
    std::mt19937_64 engine(5);
    for (int report = 0; report < 40; ++report) {
        const TimePoint now = TimePoint() + report * interval;
        const std::vector<double> loads = drawLoads(group.experts, engine);
        for (PlacementState *state : {&first, &second}) {
            reportAll(group, *state, loads, now);
            endSwitch(*state, decidePlacement(PlacementPolicy::CostAware, group, *state, now),
                      true);
        }
        for (std::uint32_t layer = 0; layer < group.layers; ++layer)
            REQUIRE(first.layers[layer].map == second.layers[layer].map);
    }
}

// Answers slow down repeatedly without cause: load reports only jitter, but after each jitter
// another map seems better, and moves that gain nothing keep the weight store busy.
TEST_CASE("Noise without drift causes no move after the first switch")
{
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        const RankGroup group = makeGroup(16, 5, 64);
        PlacementState state = startedState(group);
        std::mt19937_64 engine(seed);
        const std::vector<double> expected = drawLoads(group.experts, engine);
        std::vector<int> switches(group.layers, 0);
        for (int report = 0; report < 600; ++report) {
            const TimePoint now = TimePoint() + report * interval;
            reportAll(group, state, addNoise(expected, 0.08, engine), now);
            const PlacementDecision decision =
                decidePlacement(PlacementPolicy::CostAware, group, state, now);
            for (const LayerDecision &layer : decision.layers)
                switches[layer.layer] += layer.next ? 1 : 0;
            endSwitch(state, decision, true);
        }
        CHECK(switches == std::vector<int>(group.layers, 1));
    }
}

// Waiting times double for hours: one expert becomes hot, and the smoothed estimate follows so
// slowly that its rank stays the straggler.
TEST_CASE("Load of a suddenly hot expert is balanced within three reports")
{
    const RankGroup group = makeGroup(16, 5, 64);
    PlacementState state = startedState(group);
    std::mt19937_64 engine(3);
    std::vector<double> expected = drawLoads(group.experts, engine);
    const ExpertId coldest = static_cast<ExpertId>(
        std::min_element(expected.begin(), expected.end()) - expected.begin());
    for (int report = 0; report < 103; ++report) {
        if (report == 100)
            expected[coldest] = 2.0;
        const TimePoint now = TimePoint() + report * interval;
        reportAll(group, state, addNoise(expected, 0.08, engine), now);
        endSwitch(state, decidePlacement(PlacementPolicy::CostAware, group, state, now), true);
    }
    CHECK(layerSkew(group, state.layers[0].map, expected) < 1.15);
}

// A rank overheats and slows down. Every step of the group waits for it until it gets less load.
TEST_CASE("A slow rank gets less load")
{
    RankGroup group = makeGroup(8, 5, 32);
    PlacementState state = startedState(group);
    std::mt19937_64 engine(9);
    const std::vector<double> loads = drawLoads(group.experts, engine);
    for (int report = 0; report < 30; ++report) {
        if (report == 15)
            group.ranks[3].speed = 0.5;
        const TimePoint now = TimePoint() + report * interval;
        reportAll(group, state, addNoise(loads, 0.02, engine), now);
        endSwitch(state, decidePlacement(PlacementPolicy::CostAware, group, state, now), true);
    }
    CHECK(layerSkew(group, state.layers[0].map, loads) < 1.1);
}

// A rank runs out of memory in the middle of a switch, because the decision ignored that the new
// weights are staged beside the old ones.
TEST_CASE("Staged weights fit into the memory beside those in use")
{
    RankGroup group = makeGroup(8, 5, 32);
    for (const std::uint64_t freeReplicas : {0, 2, 5}) {
        for (RankCapacity &rank : group.ranks)
            rank.memoryBytes = (group.layers * rank.slots + freeReplicas) * group.expertBytes;
        for (const PlacementPolicy policy : {PlacementPolicy::Greedy, PlacementPolicy::CostAware}) {
            PlacementState state = startedState(group);
            std::mt19937_64 engine(21);
            for (int report = 0; report < 20; ++report) {
                const TimePoint now = TimePoint() + report * interval;
                reportAll(group, state, drawLoads(group.experts, engine), now);
                const PlacementDecision decision = decidePlacement(policy, group, state, now);
                for (std::size_t rank = 0; rank < group.ranks.size(); ++rank) {
                    std::size_t staged = 0;
                    for (const LayerDecision &layer : decision.layers) {
                        if (layer.next) {
                            staged += missingExperts(state.layers[layer.layer].map.ranks[rank],
                                                     layer.next->ranks[rank])
                                          .size();
                        }
                    }
                    REQUIRE(staged <= freeReplicas);
                }
                endSwitch(state, decision, true);
            }
        }
    }
}

// Two switches would overlap: the next report arrives while the group still agrees on the first
// one.
TEST_CASE("No layer moves while a switch is in progress, and an aborted switch keeps the map")
{
    const RankGroup group = makeGroup(8, 5, 32);
    PlacementState state = startedState(group);
    const ExpertMap before{{state.layers[0].map, state.layers[1].map}};
    std::mt19937_64 engine(2);
    reportAll(group, state, drawLoads(group.experts, engine), TimePoint());
    const PlacementDecision decision =
        decidePlacement(PlacementPolicy::Greedy, group, state, TimePoint());
    REQUIRE(decision.hasNewMap());
    reportAll(group, state, drawLoads(group.experts, engine), TimePoint() + interval);
    const PlacementDecision second =
        decidePlacement(PlacementPolicy::Greedy, group, state, TimePoint() + interval);
    CHECK_FALSE(second.hasNewMap());
    CHECK(second.layers[0].stayReason == StayReason::SwitchPending);
    endSwitch(state, decision, false);
    CHECK(state.layers[0].map == before.layers[0]);
    const PlacementDecision third =
        decidePlacement(PlacementPolicy::Greedy, group, state, TimePoint() + 2 * interval);
    CHECK(third.hasNewMap());
}

TEST_CASE("Invalid load reports are refused and leave the state unchanged")
{
    const RankGroup group = makeGroup(4, 2, 8);
    PlacementState state = startedState(group);
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    const std::vector<LoadReport> wrong = {
        {TimePoint(), 7, std::vector<double>(8, 1.0)},
        {TimePoint(), 0, std::vector<double>(7, 1.0)},
        {TimePoint(), 0, std::vector<double>(8, -1.0)},
        {TimePoint(), 0, std::vector<double>(8, notANumber)},
    };
    for (const LoadReport &report : wrong) {
        const Result<void> result = addLoadReport(group, state, report);
        REQUIRE_FALSE(result);
        CHECK(result.error().kind == ErrorKind::BadInput);
    }
    CHECK(state.layers[0].estimate.reports == 0);
    const TimePoint late = TimePoint() + interval;
    REQUIRE(addLoadReport(group, state, {late, 0, std::vector<double>(8, 1.0)}));
    REQUIRE(addLoadReport(group, state, {TimePoint(), 0, std::vector<double>(8, 2.0)}));
    REQUIRE(addLoadReport(group, state, {late + interval, 0, std::vector<double>(8, 0.0)}));
    CHECK(state.layers[0].estimate.reports == 1);
}

TEST_CASE("Invalid groups are refused")
{
    RankGroup tooSmall = makeGroup(4, 2, 9);
    RankGroup noWeights = makeGroup(4, 2, 8);
    noWeights.skewWeight = noWeights.costWeight = 0;
    RankGroup noStore = makeGroup(4, 2, 8);
    noStore.storeBytesPerSecond = 0;
    RankGroup stopped = makeGroup(4, 2, 8);
    stopped.ranks[1].speed = 0;
    for (const RankGroup &group : {tooSmall, noWeights, noStore, stopped}) {
        const Result<void> checked = checkRankGroup(group);
        REQUIRE_FALSE(checked);
        CHECK(checked.error().message.find(';') != std::string::npos);
    }
}

TEST_CASE("No map has less skew than the lower bound, and the search never increases the skew")
{
    std::mt19937_64 engine(17);
    for (int round = 0; round < 50; ++round) {
        RankGroup group = makeGroup(8, 4, 26);
        group.ranks[engine() % 8].speed = 0.5;
        SearchProblem problem;
        problem.loads = drawLoads(group.experts, engine);
        SearchLimits limits;
        limits.maxMoves = 64;
        SearchBudget budget;
        const LayerMap current = initialLayerMap(group);
        const SearchResult found =
            improveLayerMap(group, current, current, problem, limits, budget);
        REQUIRE(checkLayerMap(group, found.map));
        CHECK(found.foundSkew <= found.currentSkew);
        const double bound = lowerBoundSkew(group, problem.loads);
        CHECK(layerSkew(group, found.map, problem.loads) >= bound - 1e-9);
        CHECK(layerSkew(group, greedyLayerMap(group, problem.loads), problem.loads)
              >= bound - 1e-9);
    }
}
