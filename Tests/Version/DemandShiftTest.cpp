#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include "Version/GroupDemand.h"
#include "Version/RankSwitch.h"

using namespace wisteria;

namespace {

constexpr std::uint32_t rankCount = 16;
const ExpertProfile profile{
    .sets = 4, .expertsPerSet = 64, .expertsPerRank = 6, .copiesPerMap = 3, .copyMilliseconds = 14};

/// Returns counts of the whole group in 100 ms; some experts are chosen many times more often.
std::vector<std::uint64_t> drawCounts(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> draw(0.001, 1);
    std::vector<std::uint64_t> counts;
    for (std::uint32_t i = 0; i < profile.sets * profile.expertsPerSet; ++i)
        counts.push_back(static_cast<std::uint64_t>(500 * std::pow(draw(random), -0.6)));
    return counts;
}

std::vector<std::uint64_t> averageOf(const std::vector<std::uint64_t> &a,
                                     const std::vector<std::uint64_t> &b)
{
    std::vector<std::uint64_t> sum;
    for (std::size_t i = 0; i < a.size(); ++i)
        sum.push_back((a[i] + b[i]) / 2);
    return sum;
}

/// A leader's view of a group that keeps one map in force.
class Group
{
public:
    explicit Group(RankMap map) : map_(std::move(map)) { reportStatuses(); }

    /// Adds a window of counts, 100 ms after the last one.
    /// @param passes Number of passes that the window covers.
    /// @param ranks Number of ranks whose counts arrived.
    /// @return The event of the leader's update.
    SwitchEvent addWindow(const std::vector<std::uint64_t> &counts, std::uint64_t passes = 1,
                          std::uint32_t ranks = rankCount)
    {
        now_ += milliseconds(100);
        pass_ += passes;
        reportStatuses();
        addDemand(group_, profile, timing_,
                  {.group = "g", .epoch = 1, .ranks = ranks, .passes = passes, .counts = counts},
                  now_);
        return advanceSwitch(group_, profile, {}, timing_, {.rank = 0, .versionTick = 1}, now_)
            .event;
    }

    const std::optional<TimePoint> &demandShiftedAt() const { return group_.demandShiftedAt; }

    const RankMap &proposed() const { return group_.map; }

private:
    void reportStatuses()
    {
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            RankStatus status{.engine = {rank + 1, 1}};
            status.report = {
                .group = "g", .epoch = 1, .rank = rank, .groupSize = rankCount, .groupOpen = true};
            status.report.pass = pass_;
            for (const auto &set : map_)
                status.experts.push_back(set[rank]);
            applyStatus(group_, status, now_);
        }
    }

    RankMap map_;
    std::uint64_t pass_ = 0;
    GroupSwitch group_{};
    SwitchTiming timing_{};
    TimePoint now_{seconds(10)};
};

double skewUnder(const std::vector<std::uint64_t> &counts, const RankMap &map)
{
    ExpertDemand demand;
    addCounts(demand, profile, counts);
    return demandSkew(demand, map, std::vector<double>(rankCount, 1.0));
}

/// Returns a map that fits a demand.
RankMap fittingMap(const std::vector<std::uint64_t> &counts)
{
    RankMap map = firstRankMap(profile, rankCount);
    ExpertDemand demand;
    addCounts(demand, profile, counts);
    for (int change = 0; change < 3; ++change) {
        const auto better =
            proposeMap(profile, demand, map, std::vector<double>(rankCount, 1.0), {});
        if (!better)
            break;
        map = better->map;
    }
    return map;
}

} // namespace

TEST_CASE("The map after a shift is computed only from counts after the shift")
{
    // Each stream of a group has several late events at each shift of demand instead of one: the
    // counts around the shift include requests from before and after it, the leader computes a map
    // for this mixture, and another change is needed soon after.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto before = drawCounts(seed);
        const auto after = drawCounts(seed + 100);
        Group group(fittingMap(before));
        for (int i = 0; i < 5; ++i)
            REQUIRE(group.addWindow(before) == SwitchEvent::Nothing);
        CAPTURE(seed);
        REQUIRE(group.addWindow(averageOf(before, after), 2) == SwitchEvent::Nothing);
        // If the mixture stays within the noise of prompts, the shift is detected one window later.
        if (group.addWindow(after, 2) != SwitchEvent::Preparing)
            REQUIRE(group.addWindow(after, 2) == SwitchEvent::Preparing);
        REQUIRE(skewUnder(after, group.proposed()) < 1.25);
    }
}

TEST_CASE("A shift between two passes starts a switch in the first window after it")
{
    const auto before = drawCounts(1);
    const auto after = drawCounts(101);
    Group group(fittingMap(before));
    for (int i = 0; i < 5; ++i)
        group.addWindow(before);
    REQUIRE_FALSE(group.demandShiftedAt());
    // No pass has begun since the last request.
    REQUIRE(group.addWindow(std::vector<std::uint64_t>(before.size(), 0), 0)
            == SwitchEvent::Nothing);
    REQUIRE(group.addWindow(after) == SwitchEvent::Preparing);
    REQUIRE(skewUnder(after, group.proposed()) < 1.25);
    // The log line of the switch includes the time since the shift.
    REQUIRE(group.demandShiftedAt());
}

TEST_CASE("With counts missing from some ranks, a switch starts within three windows")
{
    const auto before = drawCounts(1);
    const auto after = drawCounts(2);
    Group group(fittingMap(before));
    for (int i = 0; i < 3; ++i)
        group.addWindow(before);
    constexpr std::uint32_t answeringRanks = rankCount - 4;
    int windows = 0;
    while (group.addWindow(after, 1, answeringRanks) != SwitchEvent::Preparing)
        REQUIRE(++windows < 3);
}
