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

// Each gateway told each sidecar the whole list of engines with each hello, 1.7 KB for 192 of them:
// what crossed failure domains grew with gateways times engines squared, and was the dearest thing
// of a fleet of that size.
TEST_CASE("A hello names a list of engines in the same few bytes, however many there are")
{
    const auto helloBytes = [](std::uint32_t engines) {
        return encodeMessage(GatewayHello{.listDigest = digestOf(fleet(engines))}).size();
    };
    REQUIRE(helloBytes(rankCount) <= 16);
    REQUIRE(helloBytes(10 * rankCount) <= 16);
    REQUIRE(digestOf(fleet(rankCount)) == digestOf(fleet(rankCount)));
    REQUIRE(digestOf(fleet(rankCount)) != digestOf(fleet(rankCount - 1)));
}

// While gateways learn of a new engine one after the other, a sidecar hears of the old list and the
// new one in turn. It must end with the new one, and not fetch a list for each hello meanwhile.
TEST_CASE("A sidecar before 36 gateways that differ fetches few lists and ends with the new one")
{
    const EngineList before = fleet(rankCount - 1);
    const EngineList after = fleet(rankCount);
    EngineListCache cache;
    setList(cache, before);
    std::uint32_t fetched = 0;
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
            ++fetched;
        }
    }
    REQUIRE(cache.list == after);
    REQUIRE(fetched <= 5);
}

// A gateway of 0.18 cores took 1,920 loads a second from 192 sidecars, most of them the same as the
// one before. Requests that end or begin are still told within a tenth of a second.
TEST_CASE("Loads are told when they differ, and now and then when they don't")
{
    constexpr milliseconds reportPeriod{25};
    constexpr int reports = 400;
    std::mt19937_64 random(3);
    SentLoad sent;
    std::uint32_t messages = 0;
    milliseconds longestUntold{0};
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
            sent = {.load = load, .at = now};
            ++messages;
        }
        if (load != sent.load)
            longestUntold = std::max(longestUntold, remaining(sameSince, now));
    }
    constexpr int lengthSeconds = 10;
    REQUIRE(messages <= 6 * lengthSeconds);
    REQUIRE(messages >= 3 * lengthSeconds);
    REQUIRE(longestUntold < loadReportInterval);
}

TEST_CASE("A group that opens or closes is told at once")
{
    const TimePoint now{seconds(100)};
    EngineLoad load{.engine = {1, 2}, .running = 4};
    REQUIRE(shouldReport({}, load, now));
    const SentLoad sent{.load = load, .at = now};
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

/// Longest time for which the link of any VM is busy with one message to so many sidecars, or with
/// their answers, and the stages that it takes.
struct Spread
{
    double longestLinkMilliseconds = 0;
    std::size_t stages = 0;
    std::size_t reached = 0;
};

void follow(const std::vector<Endpoint> &receivers, std::size_t bytes,
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
        follow(branch.rest, bytes, bandwidth, stage + 1, spread);
    }
}

Spread spreadOf(std::size_t receivers, std::size_t bytes, const LinkBandwidth &bandwidth)
{
    Spread spread;
    follow(fleet(static_cast<std::uint32_t>(receivers)).engines, bytes, bandwidth, 1, spread);
    return spread;
}

} // namespace

// Streams of a group of 192 ranks paused for a second and more after each shift of demand. The
// answers with the ranks' counts, 24 sums of 7.7 KB each 50 ms, were five times what the leader's
// link of 6 Mbit/s bears, and each relay's link took 72 ms for its seven; statuses and orders were
// lost or late between them.
TEST_CASE("The counts of 192 ranks keep no link busy for half of a pass")
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
    REQUIRE(gatherTime(rankCount - 1, bytes, bandwidth) < milliseconds(160));
}

TEST_CASE("A map for 192 ranks keeps no link busy for long, and few ranks need no relays")
{
    constexpr std::size_t mapBytes = 4000;
    const Spread spread = spreadOf(rankCount - 1, mapBytes, linkBandwidthOf(6));
    REQUIRE(spread.reached == rankCount - 1);
    REQUIRE(spread.longestLinkMilliseconds < 45);
    REQUIRE(spread.stages <= 4);
    constexpr std::size_t smallCounts = 160;
    REQUIRE(spreadOf(15, smallCounts, linkBandwidthOf(20)).stages == 1);
}

// A failure domain loses power, and with it the first 39 of the list. All others but the first
// twenty used to wait for the same time, so 153 sidecars led at once: each asked all ranks for
// their state and their counts, and prepared maps against the others.
TEST_CASE("When a whole failure domain is lost few sidecars lead for a moment, then one")
{
    constexpr std::size_t lost = 39;
    constexpr milliseconds pollTakes{40};
    constexpr milliseconds tick{25};
    std::vector<LeaderElection> elections(rankCount,
                                          LeaderElection{.higherPriorityHeardAt = {}, .since = {}});
    std::vector<std::pair<TimePoint, std::size_t>> polls;
    std::size_t mostAtOnce = 0;
    std::size_t leadingNow = 0;
    for (TimePoint now{}; now < TimePoint{seconds(12)}; now += tick) {
        for (const auto &[at, from] : polls) {
            if (at > now || now - at >= tick)
                continue;
            for (std::size_t position = from + 1; position < rankCount; ++position)
                noteHigherPriorityLeader(elections[position], now);
        }
        leadingNow = 0;
        for (std::size_t position = lost; position < rankCount; ++position) {
            if (!isLeader(elections[position], position, now))
                continue;
            ++leadingNow;
            polls.emplace_back(now + pollTakes, position);
        }
        mostAtOnce = std::max(mostAtOnce, leadingNow);
    }
    REQUIRE(mostAtOnce <= 4);
    REQUIRE(leadingNow == 1);
}

// Engines left half of the orders unanswered for eight seconds, and each new map of 192 ranks was
// prepared after one to two seconds: a sidecar gave up after six tries, and the pauses after which
// the leader asks again double. All ranks wait for the last one.
TEST_CASE(
    "With half of the orders unanswered nearly all of 192 ranks have theirs within half a second")
{
    constexpr int runs = 200;
    std::mt19937_64 random(11);
    int onTime = 0;
    int leftToLeader = 0;
    for (int run = 0; run < runs; ++run) {
        int mostTries = 0;
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            int tries = 1;
            while (random() % 2 == 0 && shouldResend(tries))
                ++tries;
            mostTries = std::max(mostTries, tries);
        }
        onTime += orderTimeout * mostTries <= milliseconds(500) ? 1 : 0;
        leftToLeader += shouldResend(mostTries) ? 0 : 1;
    }
    REQUIRE(onTime >= runs * 9 / 10);
    REQUIRE(leftToLeader <= runs / 50);
}
