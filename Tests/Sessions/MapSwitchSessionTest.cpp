#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "Connection/FrameCodec.h"
#include "Connection/HttpLogClient.h"
#include "Connection/HttpRankClient.h"
#include "Connection/PeerGroupLink.h"
#include "Connection/PeerServer.h"
#include "Process/MapSwitchRunner.h"
#include "Process/PlacementRunner.h"
#include "Sessions/ChildProcess.h"
#include "Sessions/HttpCall.h"

using namespace wisteria;
using namespace wisteria::sessions;

namespace {

constexpr std::uint32_t rankCount = 4;

/// Wide enough for a busy machine or a build with a sanitizer: an attempt that the machine's load
/// makes too late is tried again and never given up. Staging and arming lie further apart than the
/// log's silence takes to show, so that "the log is down" always comes first.
MapSwitchTiming testTiming()
{
    MapSwitchTiming timing;
    timing.lease = milliseconds(3000);
    timing.renewEvery = milliseconds(500);
    timing.collectTimeout = milliseconds(500);
    timing.armTimeout = milliseconds(1000);
    timing.logFresh = milliseconds(1000);
    timing.orderQuarantine = milliseconds(1500);
    timing.maxAttempts = 1000;
    return timing;
}

/// One agent of the group: its control loop, its place for peers and the runner, on a thread.
class TestAgent : PeerService
{
public:
    explicit TestAgent(const std::string &listen = "127.0.0.1:0") : server_(loop_, *this)
    {
        address_ = server_.listen(listen).value();
    }
    ~TestAgent() override { stop(); }
    TestAgent(const TestAgent &) = delete;
    TestAgent &operator=(const TestAgent &) = delete;

    const std::string &address() const { return address_; }

    void start(const GroupMembership &membership, const std::string &log, const std::string &engine,
               const std::vector<std::string> &addresses)
    {
        reader_ = std::make_unique<HttpLogClient>(log);
        appender_ = std::make_unique<HttpLogClient>(log);
        engine_ = std::make_unique<HttpRankClient>(engine, membership.self.rank);
        link_ = std::make_unique<PeerGroupLink>(loop_, addresses);
        runner_ = std::make_unique<MapSwitchRunner>(
            loop_, membership, MapSwitchPorts{*reader_, *appender_, *engine_, *link_}, metrics_,
            MapSwitchChanged(), testTiming());
        thread_ = std::thread([this] { loop_.run(); });
    }

    void stop()
    {
        if (!thread_.joinable())
            return;
        loop_.stop();
        thread_.join();
        runner_.reset();
    }

    MapSwitchRunner &runner() { return *runner_; }

private:
    void requestReceived(PeerStreamId stream, const std::string &,
                         std::vector<std::string> frames) override
    {
        v1::GroupMessage message;
        if (!frames.empty() && message.ParseFromString(frames.front()))
            runner_->deliver(message);
        std::string answer;
        appendFrame(answer, v1::GroupMessage());
        server_.reply(stream, answer, true);
    }
    void streamCancelled(PeerStreamId) override { }

    EventLoop loop_;
    PeerServer server_;
    std::string address_;
    Metrics metrics_;
    std::unique_ptr<HttpLogClient> reader_;
    std::unique_ptr<HttpLogClient> appender_;
    std::unique_ptr<HttpRankClient> engine_;
    std::unique_ptr<PeerGroupLink> link_;
    std::unique_ptr<MapSwitchRunner> runner_;
    std::thread thread_;
};

/// Stand-ins for log, weight store and engines as processes, and an agent for each rank.
class TestGroup
{
public:
    explicit TestGroup(bool ignoreFencing)
        : ignoreFencing_(ignoreFencing), log_("standin-log", {}, "map-log.err"),
          store_("standin-weights", {"--rate", "40000000"}, "map-store.err"),
          ranks_("standin-ranks", rankArguments(), "map-ranks.err"), agents_(rankCount)
    {
        for (auto &agent : agents_) {
            agent = std::make_unique<TestAgent>();
            addresses_.push_back(agent->address());
        }
        for (std::uint32_t rank = 0; rank < rankCount; ++rank)
            startAgent(rank, 1);
    }

    /// Ends a rank's agent and starts the next incarnation in its place; the engine lives on.
    void restartAgent(std::uint32_t rank)
    {
        agents_[rank].reset();
        agents_[rank] = std::make_unique<TestAgent>(addresses_[rank]);
        startAgent(rank, 2);
    }

    void want(const std::string &digest)
    {
        v1::ExpertMap map;
        map.set_digest(digest);
        for (auto &agent : agents_)
            agent->runner().want(map);
    }

    nlohmann::json state() const { return ask(url(ranks_) + "/group", "GET", ""); }

    bool runs(const std::string &digest) const
    {
        return state()["maps"].value(digest, 0U) == rankCount;
    }

    bool stepsGoOn() const
    {
        const auto before = state()["complete"].get<std::uint64_t>();
        return waitFor([&] { return state()["complete"].get<std::uint64_t>() > before + 5; });
    }

    std::uint32_t coordinator()
    {
        std::uint32_t found = rankCount;
        waitFor([&] {
            state();
            for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
                if (agents_[rank]->runner().status().coordinates)
                    found = rank;
            }
            return found < rankCount;
        });
        return found;
    }

    void setLogFaults(const std::string &body) const { ask(url(log_) + "/faults", "POST", body); }
    void setStoreFaults(const std::string &body) const
    {
        ask(url(store_) + "/faults", "POST", body);
    }
    void restartEngine(std::uint32_t rank) const
    {
        ask(url(ranks_) + "/ranks/" + std::to_string(rank) + "/restart", "POST", "");
    }
    TestAgent &agent(std::size_t rank) { return *agents_[rank]; }
    std::string engineUrl() const { return url(ranks_); }
    void setLoads(const std::string &body) const { ask(url(ranks_) + "/loads", "PUT", body); }

    /// Asks again until it holds; each ask is a call over the network, which paces the loop.
    static bool waitFor(const std::function<bool()> &condition)
    {
        const TimePoint end = monotonicNow() + seconds(20);
        while (monotonicNow() < end) {
            if (condition())
                return true;
            std::this_thread::yield();
        }
        return false;
    }

private:
    static std::string url(const ChildProcess &process)
    {
        return "http://" + process.address("address");
    }

    void startAgent(std::uint32_t rank, std::uint64_t incarnation)
    {
        const GroupMembership membership{
            "quotations", {rank, incarnation}, rankCount, !ignoreFencing_};
        agents_[rank]->start(membership, url(log_), url(ranks_), addresses_);
    }

    std::vector<std::string> rankArguments() const
    {
        std::vector<std::string> arguments = {
            "--ranks", std::to_string(rankCount), "--store", url(store_), "--bytes", "1000000"};
        if (ignoreFencing_)
            arguments.push_back("--ignore-fencing");
        return arguments;
    }

    static nlohmann::json ask(const std::string &url, const std::string &method,
                              const std::string &body)
    {
        return call({.url = url, .method = method, .body = body}).json();
    }

    bool ignoreFencing_;
    ChildProcess log_;
    ChildProcess store_;
    ChildProcess ranks_;
    std::vector<std::string> addresses_;
    std::vector<std::unique_ptr<TestAgent>> agents_;
};

} // namespace

TEST_CASE("A map comes into force on all ranks while steps run")
{
    const bool ignoreFencing = GENERATE(true, false);
    TestGroup group(ignoreFencing);
    REQUIRE(group.coordinator() < rankCount);
    CHECK(group.stepsGoOn());
    for (const std::string digest : {"summer", "harvest"}) {
        group.want(digest);
        CHECK(TestGroup::waitFor([&] { return group.runs(digest); }));
    }
    CHECK(group.stepsGoOn());
    CHECK(group.state()["mixed_steps"] == 0);
    CHECK_FALSE(group.agent(0).runner().status().stalled);
}

// The log goes down before a switch. If ranks armed now, they would hold until the log is back and
// callers would wait. So steps run on with the old map, and the switch follows once the log
// answers.
TEST_CASE("No rank arms while the log is down")
{
    TestGroup group(true);
    REQUIRE(group.coordinator() < rankCount);
    REQUIRE(group.stepsGoOn());
    group.setLogFaults(R"({"append":"down","read":"down"})");
    group.want("summer");
    CHECK(group.stepsGoOn());
    CHECK_FALSE(group.runs("summer"));
    group.setLogFaults(R"({"append":"ok","read":"ok"})");
    CHECK(TestGroup::waitFor([&] { return group.runs("summer"); }));
    CHECK(group.state()["mixed_steps"] == 0);
}

// The answers to all appends are lost, and the coordinator's agent dies while a map is being
// staged. Another rank takes the lease; the dead one's successor joins, and the map comes into
// force.
TEST_CASE("A switch survives lost answers and a coordinator that dies")
{
    TestGroup group(true);
    const std::uint32_t coordinator = group.coordinator();
    REQUIRE(coordinator < rankCount);
    group.setLogFaults(R"({"append":"lose_answer"})");
    group.want("summer");
    group.restartAgent(coordinator);
    CHECK(TestGroup::waitFor([&] {
        group.want("summer");
        return group.runs("summer");
    }));
    CHECK(group.stepsGoOn());
    CHECK(group.state()["mixed_steps"] == 0);
}

// A rank's VM is replaced after a switch: its new engine knows the first map only. It must not run
// a step before it has the map in force.
TEST_CASE("A replaced engine takes up the map in force")
{
    TestGroup group(true);
    REQUIRE(group.coordinator() < rankCount);
    group.want("summer");
    REQUIRE(TestGroup::waitFor([&] { return group.runs("summer"); }));
    group.restartEngine(2);
    CHECK_FALSE(group.runs("summer"));
    CHECK(TestGroup::waitFor([&] { return group.runs("summer"); }));
    CHECK(group.stepsGoOn());
    CHECK(group.state()["mixed_steps"] == 0);
}

// A backend server's agent starts while the log is down. Its engine must not run a step, since the
// agent can't know the map in force; callers are refused meanwhile and a metric shows it. Then the
// agent is killed: the engine runs on, and the next agent takes over without a restart of the
// engine.
TEST_CASE("An agent's engine runs only once its join is in the stream")
{
    const ChildProcess log("standin-log", {}, "map-agent-log.err");
    const ChildProcess ranks("standin-ranks", {"--ranks", "1"}, "map-agent-ranks.err");
    const std::string logUrl = "http://" + log.address("address");
    const std::string ranksUrl = "http://" + ranks.address("address");
    const nlohmann::json engine = {{"url", ranksUrl}};
    const nlohmann::json settings = {
        {"name", "quoter-1"},
        {"failure_domain", "domain-a"},
        {"peer_listen", "127.0.0.1:0"},
        {"backend", engine},
        {"log", {{"url", logUrl}}},
        {"group",
         {{"name", "quotations"}, {"rank", 0}, {"agents", {"127.0.0.1:1"}}, {"engine", engine}}},
    };
    std::ofstream("map-agent.json") << settings.dump(2);
    const auto steps = [&] {
        return call({.url = ranksUrl + "/group", .method = "GET"}).json()["complete"].get<int>();
    };
    const auto stalled = [](const ChildProcess &agent) {
        const auto page =
            call({.url = "http://" + agent.address("metrics") + "/metrics", .method = "GET"});
        return page.body.find("wisteria_map_switch_stalled{group=\"quotations\"} 1")
            != std::string::npos;
    };
    call({.url = logUrl + "/faults", .body = R"({"append":"down","read":"down"})"});
    ChildProcess first("wisteria-agent", {"--settings", "map-agent.json"}, "map-agent.err");
    CHECK(TestGroup::waitFor([&] { return stalled(first); }));
    CHECK(steps() == 0);
    call({.url = logUrl + "/faults", .body = R"({"append":"ok","read":"ok"})"});
    CHECK(TestGroup::waitFor([&] { return steps() > 0 && !stalled(first); }));
    first.kill();
    const int atDeath = steps();
    CHECK(TestGroup::waitFor([&] { return steps() > atDeath; }));
    const ChildProcess second("wisteria-agent", {"--settings", "map-agent.json"}, "map-agent.err");
    CHECK(TestGroup::waitFor([&] { return !stalled(second); }));
    second.signal(SIGTERM);
}

// The weight store refuses. Staging has no effect on steps, so callers notice nothing; the switch
// is given up until the map is wanted again.
TEST_CASE("A weight store that refuses leaves the group on its map")
{
    TestGroup group(false);
    REQUIRE(group.coordinator() < rankCount);
    REQUIRE(group.stepsGoOn());
    group.setStoreFaults(R"({"refuse":true})");
    group.want("summer");
    CHECK(group.stepsGoOn());
    CHECK_FALSE(group.runs("summer"));
    group.setStoreFaults(R"({"refuse":false})");
    CHECK(TestGroup::waitFor([&] {
        group.want("summer");
        return group.runs("summer");
    }));
    CHECK(group.state()["mixed_steps"] == 0);
}

// The ranks that hold the season's two hot experts set the pace for all others. Every agent stands
// ready to decide, the one that coordinates does, and all ranks take up its map between two steps.
TEST_CASE("Skewed loads bring a better map into force on all ranks")
{
    TestGroup group(false);
    group.setLoads(R"({"age_ms":0,"layers":[{"layer":0,"loads":[900,850,10,20,15,10,12,9]}]})");
    RankGroup declared;
    declared.ranks.assign(rankCount, RankCapacity{.slots = 3});
    declared.layers = 1;
    declared.experts = 8;
    declared.expertBytes = 1000;
    declared.storeBytesPerSecond = 1e6;
    declared.stepTime = milliseconds(5);
    declared.skewWeight = 1;
    declared.costWeight = 0.001;
    Metrics metrics;
    std::vector<std::unique_ptr<PlacementRunner>> placements;
    for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
        placements.push_back(std::make_unique<PlacementRunner>(
            declared, "quotations", group.engineUrl(), group.agent(rank).runner(), metrics,
            milliseconds(20)));
    }
    CHECK(TestGroup::waitFor([&] {
        const nlohmann::json maps = group.state()["maps"];
        return maps.size() == 1 && !maps.contains("initial");
    }));
    CHECK(group.state()["mixed_steps"] == 0);
    CHECK(group.stepsGoOn());
}
