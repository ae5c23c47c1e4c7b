#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "Version/EngineListCache.h"
#include "Version/LeaderElection.h"
#include "Version/OrderRetry.h"
#include "Version/RelayPlan.h"
#include "Version/SentLoad.h"

using namespace wisteria;

namespace {

constexpr std::uint32_t gatewayCount = 36;
constexpr std::uint32_t rankCount = 192;

EngineList fleet(std::uint32_t engines)
{
    EngineList list{.profile = {.sets = 10, .expertsPerSet = 384, .expertsPerRank = 3},
                    .engines = {}};
    for (std::uint32_t i = 0; i < engines; ++i)
        list.engines.push_back({0x0A010000 + i, 8000});
    return list;
}

} // namespace

// Guards against hellos that contain the engine list, 1.7 KB for 192 engines. Traffic across
// failure domains then grows with gateways times engines squared.
TEST_CASE("A hello has the same few bytes however many engines the list has")
{
    const auto helloBytes = [](std::uint32_t engines) {
        return encodeMessage(GatewayHello{.listDigest = digestOf(fleet(engines))}).size();
    };
    REQUIRE(helloBytes(rankCount) <= 16);
    REQUIRE(helloBytes(10 * rankCount) <= 16);
    REQUIRE(digestOf(fleet(rankCount)) == digestOf(fleet(rankCount)));
    REQUIRE(digestOf(fleet(rankCount)) != digestOf(fleet(rankCount - 1)));
}

// Guards against a list request for each hello, and against a sidecar that keeps the old list.
// While gateways learn of a new engine one after the other, their hellos alternate between two
// lists.
TEST_CASE("A sidecar requests few lists from 36 gateways that differ and ends with the new list")
{
    const EngineList before = fleet(rankCount - 1);
    const EngineList after = fleet(rankCount);
    EngineListCache cache;
    setList(cache, before);
    std::uint32_t requestedLists = 0;
    const TimePoint start{seconds(100)};
    constexpr milliseconds helloPeriod{600};
    constexpr milliseconds readPeriod{900};
    for (int round = 0; round < 5; ++round) {
        for (std::uint32_t gateway = 0; gateway < gatewayCount; ++gateway) {
            const TimePoint now =
                start + round * helloPeriod + gateway * helloPeriod / gatewayCount;
            const bool knowsNew = now - start >= readPeriod * gateway / gatewayCount;
            const EngineList &list = knowsNew ? after : before;
            if (!shouldRequestList(cache, digestOf(list), now))
                continue;
            noteListRequested(cache, now);
            setList(cache, list);
            ++requestedLists;
        }
    }
    REQUIRE(cache.list == after);
    REQUIRE(requestedLists <= 5);
}

// Guards against an overload of gateways by engine loads: each of 192 sidecars sends many loads a
// second, most of them equal to the one before. A request that begins or ends must still be
// reported within a tenth of a second.
TEST_CASE("Changed loads are sent within a tenth of a second, unchanged loads less often")
{
    constexpr milliseconds reportPeriod{25};
    constexpr int reports = 400;
    std::mt19937_64 random(3);
    SentLoad sent;
    std::uint32_t messages = 0;
    milliseconds maxReportDelay{0};
    EngineLoad load{.engine = {1, 2}, .running = 4, .gateways = gatewayCount};
    TimePoint now{seconds(100)};
    TimePoint sameSince = now;
    for (int i = 0; i < reports; ++i, now += reportPeriod) {
        // A request ends or begins twice a second.
        if (random() % 20 == 0) {
            load.running = load.running == 4 ? 5 : 4;
            sameSince = now;
        }
        if (shouldReport(sent, load, now)) {
            sent = {.load = load, .sentAt = now};
            ++messages;
        }
        if (load != sent.load)
            maxReportDelay = std::max(maxReportDelay, remaining(sameSince, now));
    }
    constexpr int lengthSeconds = 10;
    REQUIRE(messages <= 6 * lengthSeconds);
    REQUIRE(messages >= 3 * lengthSeconds);
    REQUIRE(maxReportDelay < loadReportInterval);
}

TEST_CASE("A group that opens or closes is reported at once, a small change of slowdown is not")
{
    const TimePoint now{seconds(100)};
    EngineLoad load{.engine = {1, 2}, .running = 4};
    REQUIRE(shouldReport({}, load, now));
    const SentLoad sent{.load = load, .sentAt = now};
    REQUIRE_FALSE(shouldReport(sent, load, now + milliseconds(1)));
    load.open = false;
    REQUIRE(shouldReport(sent, load, now + milliseconds(1)));
    load.open = true;
    load.slowdown = 1.04;
    REQUIRE_FALSE(shouldReport(sent, load, now + loadReportInterval));
    load.slowdown = 2;
    REQUIRE(shouldReport(sent, load, now + loadReportInterval));
}

namespace {

/// Longest time that the link of any VM is busy with one message to many sidecars, or with their
/// replies; the number of stages, and of sidecars reached.
struct Spread
{
    double longestLinkMilliseconds = 0;
    std::size_t stages = 0;
    std::size_t reached = 0;
};

void addStage(const std::vector<Endpoint> &receivers, std::size_t bytes,
              const LinkBandwidth &bandwidth, std::size_t stage, Spread &spread)
{
    if (receivers.empty())
        return;
    const auto plan = relayPlan(receivers, bytes, bandwidth);
    const double linkTime =
        static_cast<double>(plan.size() * bytes) / bandwidth.bytesPerMillisecond;
    spread.longestLinkMilliseconds = std::max(spread.longestLinkMilliseconds, linkTime);
    spread.stages = std::max(spread.stages, stage);
    for (const RelayBranch &branch : plan) {
        ++spread.reached;
        addStage(branch.rest, bytes, bandwidth, stage + 1, spread);
    }
}

Spread spreadOf(std::size_t receivers, std::size_t bytes, const LinkBandwidth &bandwidth)
{
    Spread spread;
    addStage(fleet(static_cast<std::uint32_t>(receivers)).engines, bytes, bandwidth, 1, spread);
    return spread;
}

} // namespace

// Guards against streams of a group of 192 ranks that pause for a second or more after each shift
// of demand. Replies with the ranks' counts exceed the capacity of the leader's link of 6 Mbit/s
// and keep each relay's link busy for most of a pass, so that statuses and orders are lost or late.
TEST_CASE("The counts of 192 ranks keep each link busy for less than half of a pass")
{
    constexpr double passMilliseconds = 90;
    const LinkBandwidth bandwidth = linkBandwidthOf(6);
    const std::size_t bytes =
        encodeMessage(CountsReply{.group = "assist-lm-1",
                                  .epoch = 1,
                                  .ranks = 38,
                                  .passes = 1,
                                  .counts = std::vector<std::uint64_t>(std::size_t{10} * 384, 77)})
            .size();
    const Spread spread = spreadOf(rankCount - 1, bytes, bandwidth);
    REQUIRE(spread.reached == rankCount - 1);
    REQUIRE(spread.longestLinkMilliseconds < passMilliseconds / 2);
    REQUIRE(spread.stages <= 3);
    REQUIRE(aggregationTime(rankCount - 1, bytes, bandwidth) < milliseconds(160));
}

TEST_CASE(
    "A map for 192 ranks keeps each link busy for less than 45 ms, and 15 ranks need no relays")
{
    constexpr std::size_t mapBytes = 4000;
    const Spread spread = spreadOf(rankCount - 1, mapBytes, linkBandwidthOf(6));
    REQUIRE(spread.reached == rankCount - 1);
    REQUIRE(spread.longestLinkMilliseconds < 45);
    REQUIRE(spread.stages <= 4);
    constexpr std::size_t smallCounts = 160;
    REQUIRE(spreadOf(15, smallCounts, linkBandwidthOf(20)).stages == 1);
}

// Guards against many leaders at once. A failure domain loses power, and with it the first 39
// sidecars of the list. If all after the first twenty wait for the same time, 153 sidecars lead at
// once, each polls all ranks for statuses and counts, and they prepare competing maps.
TEST_CASE("After the loss of a failure domain few sidecars lead for a moment, then only one")
{
    constexpr std::size_t lost = 39;
    constexpr milliseconds pollDelay{40};
    constexpr milliseconds tick{25};
    std::vector<LeaderElection> elections(
        rankCount, LeaderElection{.higherPriorityHeardAt = {}, .listeningSince = {}});
    std::vector<std::pair<TimePoint, std::size_t>> polls;
    std::size_t maxLeaders = 0;
    std::size_t leaders = 0;
    for (TimePoint now{}; now < TimePoint{seconds(12)}; now += tick) {
        for (const auto &[at, from] : polls) {
            if (at > now || now - at >= tick)
                continue;
            for (std::size_t position = from + 1; position < rankCount; ++position)
                noteHigherPriorityLeader(elections[position], now);
        }
        leaders = 0;
        for (std::size_t position = lost; position < rankCount; ++position) {
            if (!isLeader(elections[position], position, now))
                continue;
            ++leaders;
            polls.emplace_back(now + pollDelay, position);
        }
        maxLeaders = std::max(maxLeaders, leaders);
    }
    REQUIRE(maxLeaders <= 4);
    REQUIRE(leaders == 1);
}

// Guards against slow switches. While engines leave half of the orders unanswered, a new map for
// 192 ranks takes seconds to prepare if a sidecar gives up early: the leader's resend interval
// doubles, and all ranks wait for the last one.
TEST_CASE(
    "With half of the orders unanswered all 192 ranks mostly have theirs within half a second")
{
    constexpr int runs = 200;
    std::mt19937_64 random(11);
    int inTime = 0;
    int leftToLeader = 0;
    for (int run = 0; run < runs; ++run) {
        int maxAttempts = 0;
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            int attempts = 1;
            while (random() % 2 == 0 && shouldResend(attempts))
                ++attempts;
            maxAttempts = std::max(maxAttempts, attempts);
        }
        inTime += orderTimeout * maxAttempts <= milliseconds(500) ? 1 : 0;
        leftToLeader += shouldResend(maxAttempts) ? 0 : 1;
    }
    REQUIRE(inTime >= runs * 9 / 10);
    REQUIRE(leftToLeader <= runs / 50);
}
