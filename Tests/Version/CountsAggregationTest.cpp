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

CountsReply replyFrom(std::uint64_t epoch, std::vector<std::uint64_t> counts)
{
    return {.group = "g", .epoch = epoch, .ranks = 1, .passes = 1, .counts = std::move(counts)};
}

/// Generates the counts of prompts from nine topics, each of which prefers different experts.
class Prompts
{
public:
    explicit Prompts(std::uint64_t seed) : random_(seed)
    {
        for (auto &topic : topics_) {
            topic.resize(profile.sets * profile.expertsPerSet);
            std::uniform_real_distribution<double> draw(0.001, 1);
            for (double &popularity : topic)
                popularity = std::pow(draw(random_), -0.7);
        }
    }

    /// Returns the counts of one rank in 100 ms: part of a single prompt, so of one topic.
    std::vector<std::uint64_t> countsOfRank()
    {
        const std::vector<double> &topic = topics_.at(random_() % topics_.size());
        constexpr double scale = 20;
        std::vector<std::uint64_t> counts;
        for (const double popularity : topic)
            counts.push_back(static_cast<std::uint64_t>(popularity * scale));
        return counts;
    }

    /// Returns the long-term demand of all topics together.
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

/// Returns the skew, under the long-term demand, of the map that is computed from the first counts
/// of `ranks` ranks after a shift.
double skewFromCountsOf(std::size_t ranks, std::uint64_t seed)
{
    Prompts prompts(seed);
    const std::vector<double> slowdowns(rankCount, 1.0);
    CountsAggregation aggregation{.requester = {}, .since = {}, .awaited = ranks, .sum = {}};
    for (std::size_t rank = 0; rank < ranks; ++rank)
        addCounts(aggregation, replyFrom(1, prompts.countsOfRank()));
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

TEST_CASE("Counts of all ranks lead to better maps than counts of a few ranks")
{
    // Streams pause although the map has changed. Each rank reads one prompt at a time, and each
    // prompt prefers different experts. A leader that receives the counts of only 8 of 63 ranks
    // fits the map to their few prompts, and it does not suit the other ranks.
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

TEST_CASE("A sum of counts is due when all sidecars have replied or the timeout has passed")
{
    const TimePoint start{};
    CountsAggregation aggregation{
        .requester = {1, 1}, .since = start, .timeout = ownReplyTime, .awaited = 2, .sum = {}};
    REQUIRE_FALSE(isDue(aggregation, start));
    addCounts(aggregation, replyFrom(1, {1, 2}));
    REQUIRE_FALSE(isDue(aggregation, start));
    REQUIRE(isDue(aggregation, start + ownReplyTime));
    addCounts(aggregation, replyFrom(1, {10, 20}));
    REQUIRE(isDue(aggregation, start));
    REQUIRE(aggregation.sum.ranks == 2);
    REQUIRE(aggregation.sum.counts == std::vector<std::uint64_t>{11, 22});
}

TEST_CASE("Empty counts and counts of an earlier epoch do not change the summed counts")
{
    CountsAggregation aggregation{.requester = {1, 1}, .since = {}, .awaited = 4, .sum = {}};
    addCounts(aggregation, replyFrom(1, {7, 7}));
    // The group was re-formed.
    addCounts(aggregation, replyFrom(2, {1, 2}));
    addCounts(aggregation, replyFrom(1, {9, 9}));
    addCounts(aggregation, replyFrom(2, {}));
    REQUIRE(aggregation.sum.epoch == 2);
    REQUIRE(aggregation.sum.ranks == 2);
    REQUIRE(aggregation.sum.counts == std::vector<std::uint64_t>{1, 2});
    REQUIRE(isDue(aggregation, {}));
}

// A sidecar crashes, and its rank gets no orders for a second. The sidecar had requested counts
// from itself while it was the leader. When they were due, another sidecar was the leader, so the
// sum was added again to the list that was being iterated over.
TEST_CASE("Due sums are removed from the list before they are sent")
{
    const TimePoint start{};
    std::vector<CountsAggregation> aggregations;
    aggregations.push_back({.requester = {1, 1},
                            .since = start,
                            .timeout = ownReplyTime,
                            .awaited = 0,
                            .sum = replyFrom(1, {5})});
    aggregations.push_back(
        {.requester = {2, 1}, .since = start, .timeout = ownReplyTime, .awaited = 3, .sum = {}});
    aggregations.push_back({.requester = {3, 1},
                            .since = start,
                            .timeout = ownReplyTime,
                            .awaited = 0,
                            .sum = replyFrom(1, {6})});
    for (const CountsAggregation &due : extractDue(aggregations, start)) {
        REQUIRE(aggregations.size() == 1);
        // A sum that is sent to the process itself is added to the list again.
        addCounts(aggregations.front(), due.sum);
    }
    REQUIRE(aggregations.front().requester == Endpoint{2, 1});
    REQUIRE(aggregations.front().sum.counts == std::vector<std::uint64_t>{11});
    REQUIRE(extractDue(aggregations, start).empty());
    REQUIRE(extractDue(aggregations, start + ownReplyTime).size() == 1);
    REQUIRE(aggregations.empty());
}
