#include <array>
#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include "Version/CountsAggregation.h"
#include "Version/DemandPlacement.h"
#include "Version/RelayPlan.h"

using namespace wisteria;

namespace {

constexpr std::size_t rankCount = 63;
const ExpertProfile profile{.sets = 8,
                            .expertsPerSet = 252,
                            .expertsPerRank = 5,
                            .copiesPerMap = 2,
                            .copyMilliseconds = 14};

CountsReply toldBy(std::uint64_t epoch, std::vector<std::uint64_t> counts)
{
    return {.group = "g", .epoch = epoch, .ranks = 1, .passes = 1, .counts = std::move(counts)};
}

/// Prompts whose content decides which experts they choose: some topics, each with favourites.
class Prompts
{
public:
    explicit Prompts(std::uint64_t seed) : random_(seed)
    {
        for (auto &topic : topics_) {
            topic.resize(profile.sets * profile.expertsPerSet);
            std::uniform_real_distribution<double> draw(0.001, 1);
            for (double &like : topic)
                like = std::pow(draw(random_), -0.7);
        }
    }

    /// Counts of one rank in a tenth of a second: the rest of a prompt of one topic at a time.
    std::vector<std::uint64_t> countsOfRank()
    {
        const std::vector<double> &topic = topics_.at(random_() % topics_.size());
        constexpr double scale = 20;
        std::vector<std::uint64_t> counts;
        for (const double like : topic)
            counts.push_back(static_cast<std::uint64_t>(like * scale));
        return counts;
    }

    /// What all topics together choose in the long run.
    ExpertDemand demand() const
    {
        ExpertDemand demand;
        demand.loads.assign(profile.sets, std::vector<double>(profile.expertsPerSet, 0));
        for (const auto &topic : topics_) {
            for (std::size_t i = 0; i < topic.size(); ++i)
                demand.loads[i / profile.expertsPerSet][i % profile.expertsPerSet] += topic[i];
        }
        return demand;
    }

private:
    std::mt19937_64 random_;
    std::array<std::vector<double>, 9> topics_;
};

/// Skew, under the demand of the long run, of the map that follows the first counts of so many
/// ranks after a shift.
double skewFromCountsOf(std::size_t ranks, std::uint64_t seed)
{
    Prompts prompts(seed);
    const std::vector<double> slowdowns(rankCount, 1.0);
    CountsAggregation aggregation{.requester = {}, .since = {}, .awaited = ranks, .sum = {}};
    for (std::size_t rank = 0; rank < ranks; ++rank)
        addCounts(aggregation, toldBy(1, prompts.countsOfRank()));
    ExpertDemand demand;
    addCounts(demand, profile, aggregation.sum.counts);
    RankMap map = firstRankMap(profile, rankCount);
    for (int change = 0; change < 3; ++change) {
        const auto proposal = proposeMap(profile, demand, map, slowdowns, {});
        if (proposal)
            map = proposal->map;
    }
    return demandSkew(prompts.demand(), map, slowdowns);
}

} // namespace

TEST_CASE("Counts of all ranks lead to better maps than those of a few")
{
    // Treasurers see drafts pause although the map has changed. Each rank reads one prompt at a
    // time, and each prompt has favourites of its own; the leader heard eight of 63 ranks and
    // followed those few prompts, with a map that was wrong for all the others.
    constexpr std::uint64_t seeds = 5;
    double few = 0;
    double all = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        few += skewFromCountsOf(8, seed) / seeds;
        all += skewFromCountsOf(rankCount, seed) / seeds;
    }
    CAPTURE(few, all);
    REQUIRE(all < few - 0.3);
    REQUIRE(all < 1.5);
}

TEST_CASE("A sum of counts is told when all have answered, or after a while")
{
    const TimePoint start{};
    CountsAggregation aggregation{
        .requester = {1, 1}, .since = start, .timeout = ownAnswerTime, .awaited = 2, .sum = {}};
    REQUIRE_FALSE(isDue(aggregation, start));
    addCounts(aggregation, toldBy(1, {1, 2}));
    REQUIRE_FALSE(isDue(aggregation, start));
    REQUIRE(isDue(aggregation, start + ownAnswerTime));
    addCounts(aggregation, toldBy(1, {10, 20}));
    REQUIRE(isDue(aggregation, start));
    REQUIRE(aggregation.sum.ranks == 2);
    REQUIRE(aggregation.sum.counts == std::vector<std::uint64_t>{11, 22});
}

TEST_CASE("A rank that knows no counts, or those of an earlier group, doesn't spoil a sum")
{
    CountsAggregation aggregation{.requester = {1, 1}, .since = {}, .awaited = 4, .sum = {}};
    addCounts(aggregation, toldBy(1, {7, 7}));
    // The group has formed anew.
    addCounts(aggregation, toldBy(2, {1, 2}));
    addCounts(aggregation, toldBy(1, {9, 9}));
    addCounts(aggregation, toldBy(2, {}));
    REQUIRE(aggregation.sum.epoch == 2);
    REQUIRE(aggregation.sum.ranks == 2);
    REQUIRE(aggregation.sum.counts == std::vector<std::uint64_t>{1, 2});
    REQUIRE(isDue(aggregation, {}));
}

// A sidecar crashes and its rank goes without orders for a second. It had asked itself for counts
// while it led, another one led by the time they were due, and the sum went back into the list of
// sums that was being gone through.
TEST_CASE("Sums that are due are out of the list before they are told")
{
    const TimePoint start{};
    std::vector<CountsAggregation> aggregations;
    aggregations.push_back({.requester = {1, 1},
                            .since = start,
                            .timeout = ownAnswerTime,
                            .awaited = 0,
                            .sum = toldBy(1, {5})});
    aggregations.push_back(
        {.requester = {2, 1}, .since = start, .timeout = ownAnswerTime, .awaited = 3, .sum = {}});
    aggregations.push_back({.requester = {3, 1},
                            .since = start,
                            .timeout = ownAnswerTime,
                            .awaited = 0,
                            .sum = toldBy(1, {6})});
    for (const CountsAggregation &due : takeDue(aggregations, start)) {
        REQUIRE(aggregations.size() == 1);
        // Told to the process itself, it comes back to the list.
        addCounts(aggregations.front(), due.sum);
    }
    REQUIRE(aggregations.front().requester == Endpoint{2, 1});
    REQUIRE(aggregations.front().sum.counts == std::vector<std::uint64_t>{11});
    REQUIRE(takeDue(aggregations, start).empty());
    REQUIRE(takeDue(aggregations, start + ownAnswerTime).size() == 1);
    REQUIRE(aggregations.empty());
}
