#include <fstream>
#include <mutex>
#include <numeric>
#include <set>

#include <sys/wait.h>

#include "Gateway/DatagramPeer.h"
#include "Gateway/GatewayUnderTest.h"
#include "Version/RankGroupWorld.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t ranksPerGroup = 2;

/// Decodes an order from the body of a request to the engine.
RankOrder orderIn(const std::string &body)
{
    const Json json = Json::parse(body);
    const auto kindNames = {RankOrderKind::Prepare, RankOrderKind::Arm, RankOrderKind::Disarm,
                            RankOrderKind::Hold, RankOrderKind::Release};
    RankOrder order{.epoch = json.at("epoch"),
                    .version = json.value("version", std::uint64_t{0}),
                    .pass = json.value("step", std::uint64_t{0}),
                    .map = json.value("map", RankMap{})};
    for (const RankOrderKind kind : kindNames) {
        if (json.at("operation") == orderName(kind))
            order.kind = kind;
    }
    return order;
}

/// Engines of one group, which begin a pass about every 30 ms. The two experts that almost all
/// requests choose are on one rank at first.
class StandInGroup
{
public:
    StandInGroup(std::string name, std::uint32_t firstIp) : name_(std::move(name))
    {
        for (std::uint32_t rank = 0; rank < ranksPerGroup; ++rank) {
            Rank &state = ranks_[rank];
            state.report.epoch = 1;
            state.report.rank = rank;
            for (std::uint32_t expert = rank; expert < expertCount; expert += ranksPerGroup)
                state.experts.push_back(expert);
            engines_.push_back(std::make_unique<ScriptedServer>(
                [this, rank](const SeenRequest &request, ScriptPeer &peer) {
                    answer(rank, request, peer);
                },
                firstIp + rank));
        }
    }

    Endpoint engine(std::uint32_t rank) const { return engines_[rank]->endpoint(); }

    /// Whether all ranks have a new map in force.
    bool hasNewMap() const
    {
        const std::lock_guard lock(mutex_);
        return std::all_of(ranks_.begin(), ranks_.end(), [this](const Rank &rank) {
            return rank.report.map != 0 && rank.report.map == ranks_.front().report.map;
        });
    }

    bool beganMixedPass() const
    {
        const std::lock_guard lock(mutex_);
        return beganMixedPass_;
    }

private:
    void answer(std::uint32_t number, const SeenRequest &request, ScriptPeer &peer)
    {
        const std::lock_guard lock(mutex_);
        Rank &rank = ranks_[number];
        beginDuePass();
        finishCopies(rank, monotonicNow());
        if (request.target() == "/order") {
            executeOrder(rank, orderIn(request.body), monotonicNow(),
                         [](const auto &) { return milliseconds(20); });
            peer.send(plainResponse(200, "", "{}"));
        } else if (request.target() == "/report") {
            peer.send(plainResponse(200, "", reportOf(rank).dump()));
        } else if (request.target() == "/picked") {
            const std::uint64_t pass = rank.report.pass;
            Json counts = std::vector<std::uint64_t>(expertCount, pass);
            counts[0] = counts[ranksPerGroup] = 200 * pass;
            const Json body = {{"step", pass}, {"epoch", 1}, {"expert_counts", counts}};
            peer.send(plainResponse(200, "", body.dump()));
        } else {
            const Json body = {{"map", {{"experts", Json::array({rank.experts})}}}};
            peer.send(plainResponse(200, "", body.dump()));
        }
    }

    Json reportOf(const Rank &rank) const
    {
        const RankReport &report = rank.report;
        return {
            {"step", report.pass},
            {"map", report.map},
            {"prepared", report.prepared},
            {"armed", {{"version", report.armed}, {"step", report.armedPass}}},
            {"held", report.heldPass.value_or(0)},
            {"size", ranksPerGroup},
            {"group",
             {{"name", name_}, {"epoch", report.epoch}, {"rank", report.rank}, {"state", "open"}}}};
    }

    void beginDuePass()
    {
        const std::uint64_t pass = ranks_.front().report.pass + 1;
        const bool held = std::any_of(ranks_.begin(), ranks_.end(), [pass](const Rank &rank) {
            return rank.report.heldPass == pass;
        });
        if (held || monotonicNow() - passBegunAt_ < milliseconds(30))
            return;
        passBegunAt_ = monotonicNow();
        for (Rank &rank : ranks_)
            beginPass(rank, pass);
        for (const Rank &rank : ranks_)
            beganMixedPass_ = beganMixedPass_ || rank.report.map != ranks_.front().report.map;
    }

    std::string name_;
    mutable std::mutex mutex_;
    std::vector<Rank> ranks_ = std::vector<Rank>(ranksPerGroup);
    TimePoint passBegunAt_;
    bool beganMixedPass_ = false;
    std::vector<std::unique_ptr<ScriptedServer>> engines_;
};

/// A sidecar process.
class SidecarProcess
{
public:
    SidecarProcess(const Endpoint &engine, std::uint16_t port)
    {
        const std::string path = temporaryFolder() + "/settings.conf";
        const std::string address = toText({engine.ip, 1});
        std::ofstream(path) << "node_name=side\nip=" << address.substr(0, address.find(':'))
                            << "\nzone=a\ninternal_port_range=" << port
                            << ",65535\nplatform.address=127.0.0.1:1\napp=" << toText(engine)
                            << "\n";
        child_ = startProgram("wisteria-sidecar", path, {"--log-level", "error"});
    }

    ~SidecarProcess()
    {
        ::kill(child_, SIGTERM);
        ::waitpid(child_, nullptr, 0);
    }

    SidecarProcess(const SidecarProcess &) = delete;
    SidecarProcess &operator=(const SidecarProcess &) = delete;

private:
    pid_t child_;
};

/// Discards what has arrived. No leader polls again within the short time, and it is long enough to
/// read a full receive buffer.
void discardReceived(const DatagramPeer &peer)
{
    while (peer.countWithin<RankPoll>(milliseconds(20)) > 0) { }
}

/// Groups whose leaders have polled within the time.
std::set<std::string> pollingGroups(const DatagramPeer &peer, milliseconds time)
{
    std::set<std::string> groups;
    for (const RankPoll &poll : peer.receiveWithin<RankPoll>(time))
        groups.insert(poll.group);
    return groups;
}

} // namespace

// Guards against groups of one service of which only one gets new maps, and against leaders that
// hear, or ask for counts, a group that is not theirs.
TEST_CASE("The sidecars of two groups elect one leader for each, and both groups get a new map")
{
    StandInGroup first("a", 0x7F000002);
    StandInGroup second("b", 0x7F000012);
    const std::uint16_t port = freePort();
    const std::vector<Endpoint> engines{first.engine(0), first.engine(1), second.engine(0),
                                        second.engine(1)};
    std::vector<std::unique_ptr<SidecarProcess>> sidecars;
    std::vector<std::unique_ptr<DatagramPeer>> peers;
    EngineList list{.profile = {.sets = 1,
                                .expertsPerSet = expertCount,
                                .expertsPerRank = 5,
                                .copiesPerMap = 2,
                                .copyMilliseconds = 5},
                    .engines = engines};
    // The test's own address towards each sidecar also counts as an engine, of an unknown group.
    for (std::uint32_t i = 0; i < engines.size(); ++i) {
        sidecars.push_back(std::make_unique<SidecarProcess>(engines[i], port));
        const std::uint32_t ip = 0x7F000021 + i;
        peers.push_back(std::make_unique<DatagramPeer>(ip, Endpoint{engines[i].ip, port}));
        list.engines.push_back({ip, 1});
    }
    REQUIRE(eventually([&] {
        for (const auto &peer : peers)
            peer->send(list);
        return first.hasNewMap() && second.hasNewMap();
    }));
    REQUIRE_FALSE(first.beganMixedPass());
    REQUIRE_FALSE(second.beganMixedPass());
    // Discards what arrived during the start.
    for (const auto &peer : peers)
        discardReceived(*peer);

    // A leader of another group gets the status without experts, and its poll does not
    // end the term.
    const milliseconds twoPolls = milliseconds(500);
    REQUIRE(pollingGroups(*peers[0], twoPolls) == std::set<std::string>{"a"});
    REQUIRE(pollingGroups(*peers[1], twoPolls).empty());
    REQUIRE(pollingGroups(*peers[2], twoPolls) == std::set<std::string>{"b"});
    peers[0]->send(RankPoll{.group = "b", .rank = 0});
    std::vector<RankStatus> statuses;
    REQUIRE(eventually([&] {
        statuses = peers[0]->receiveWithin<RankStatus>(milliseconds(20));
        return !statuses.empty();
    }));
    REQUIRE(statuses.size() == 1);
    REQUIRE(statuses.front().report.group == "a");
    REQUIRE(statuses.front().experts.empty());
    REQUIRE(pollingGroups(*peers[0], twoPolls) == std::set<std::string>{"a"});
    REQUIRE(peers[0]->countWithin<CountsPoll>(twoPolls) == 0);
    // Without the leader of one group, the next rank's sidecar leads it.
    sidecars[0].reset();
    REQUIRE(eventually(
        [&] { return pollingGroups(*peers[1], milliseconds(100)) == std::set<std::string>{"a"}; }));
    REQUIRE(pollingGroups(*peers[2], twoPolls) == std::set<std::string>{"b"});
    REQUIRE(pollingGroups(*peers[3], twoPolls).empty());

    // The leader beside rank 1 yields to lower ranks of its own group only.
    peers[1]->send(RankPoll{.group = "b", .rank = 0});
    REQUIRE(
        eventually([&] { return !peers[1]->receiveWithin<RankStatus>(milliseconds(20)).empty(); }));
    discardReceived(*peers[1]);
    REQUIRE(pollingGroups(*peers[1], twoPolls) == std::set<std::string>{"a"});
    peers[1]->send(RankPoll{.group = "a", .rank = 0});
    REQUIRE(
        eventually([&] { return !peers[1]->receiveWithin<RankStatus>(milliseconds(20)).empty(); }));
    discardReceived(*peers[1]);
    REQUIRE(pollingGroups(*peers[1], twoPolls).empty());
}
