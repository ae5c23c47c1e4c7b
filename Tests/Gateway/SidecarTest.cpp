#include <poll.h>

#include "Gateway/DatagramPeer.h"
#include "Gateway/GatewayUnderTest.h"
#include "Programs/Sidecar/Sidecar.h"
#include "Version/EngineListCache.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Address of the sidecar's VM. It is above the tests' own address, so that the tests come first in
/// the engine list and win the leader election.
constexpr std::uint32_t sidecarIp = 0x7F000002;

/// Answers as the engine of rank 1 in a group of two; its counts are delayed.
void answerAsEngine(const SeenRequest &request, ScriptPeer &peer, int countsDelayMilliseconds)
{
    if (request.target() == "/report") {
        peer.send(plainResponse(200, "",
                                R"({"step":9,"map":0,"prepared":0,"size":2,)"
                                R"("group":{"name":"g","epoch":1,"rank":1,"state":"open"}})"));
        return;
    }
    if (request.target() == "/picked") {
        ::poll(nullptr, 0, countsDelayMilliseconds);
        peer.send(plainResponse(200, "", R"({"step":9,"epoch":1,"expert_counts":[1,2,3,4]})"));
        return;
    }
    peer.send(plainResponse(200, "", R"({"map":{"version":0,"experts":[[1,3]]}})"));
}

/// Runs a sidecar in a separate thread; its engine is a stand-in.
class RunningSidecar
{
public:
    explicit RunningSidecar(const ScriptedServer &engine) : RunningSidecar(engine.endpoint()) { }

    explicit RunningSidecar(const Endpoint &engine)
    {
        settings_.vmName = "side-1";
        settings_.failureDomain = "a";
        settings_.vmAddress = {sidecarIp, 0};
        settings_.firstInternalPort = freePort();
        settings_.engineEndpoint = engine;
        sidecar_ = std::make_unique<Sidecar>(settings_);
        end_ = std::async(std::launch::async, [this] { return sidecar_->run().has_value(); });
    }

    ~RunningSidecar()
    {
        // Sidecar::run() returns on SIGTERM.
        ::kill(::getpid(), SIGTERM);
        end_.wait();
    }

    RunningSidecar(const RunningSidecar &) = delete;
    RunningSidecar &operator=(const RunningSidecar &) = delete;

    Endpoint address() const { return {sidecarIp, settings_.firstInternalPort}; }

private:
    platform::ProcessSettings settings_;
    std::unique_ptr<Sidecar> sidecar_;
    std::future<bool> end_;
};

} // namespace

// Guards against endless recursion: a sum that the sidecar requested from itself as leader falls
// due after it has stopped leading, and is added to the sum that the new leader has requested.
TEST_CASE("A sidecar that stops leading sends a requested sum at most once")
{
    ScriptedServer engine(
        [](const SeenRequest &request, ScriptPeer &peer) {
            constexpr int countsDelayMilliseconds = 35;
            answerAsEngine(request, peer, countsDelayMilliseconds);
        },
        sidecarIp);
    const RunningSidecar sidecar(engine);
    const DatagramPeer other(INADDR_LOOPBACK, sidecar.address());
    const EngineList list{.profile = {.sets = 1, .expertsPerSet = 4, .expertsPerRank = 2},
                          .engines = {{INADDR_LOOPBACK, 1}, engine.endpoint()}};
    // A rank that never answers keeps the requested sum in progress.
    const CountsPoll poll{.engines = {{INADDR_LOOPBACK, 1}}};
    constexpr milliseconds untilItLeads{1400};
    constexpr int terms = 4;
    for (int term = 0; term < terms; ++term) {
        other.send(list);
        // Waits until the sidecar leads, and drops the replies that arrive meanwhile.
        other.countWithin<CountsReply>(untilItLeads);
        other.send(poll);
        // The term ends a little later each time, at different moments between request and reply.
        std::size_t replies = other.countWithin<CountsReply>(milliseconds(5 * term));
        other.send(RankPoll{});
        replies += other.countWithin<CountsReply>(milliseconds(300));
        REQUIRE(replies <= 1);
    }
}

// Guards against traffic between failure domains that grows with gateways times engines squared,
// which the whole list in each hello would cost. A hello contains only the digest of the list.
TEST_CASE(
    "A sidecar requests the engine list seldom, and only when a hello contains another digest")
{
    ScriptedServer engine(
        [](const SeenRequest &request, ScriptPeer &peer) { answerAsEngine(request, peer, 0); },
        sidecarIp);
    const RunningSidecar sidecar(engine);
    const DatagramPeer gateway(INADDR_LOOPBACK, sidecar.address());
    const EngineList list{.profile = {.sets = 1, .expertsPerSet = 4, .expertsPerRank = 2},
                          .engines = {{INADDR_LOOPBACK, 1}, engine.endpoint()}};
    const GatewayHello hello{.listDigest = digestOf(list)};
    REQUIRE(eventually([&] {
        gateway.send(hello);
        return gateway.countWithin<EngineListRequest>(milliseconds(50)) == 1;
    }));
    gateway.send(list);
    REQUIRE(gateway.countWithin<EngineListRequest>(listRequestInterval) == 0);
    for (int i = 0; i < 5; ++i)
        gateway.send(hello);
    REQUIRE(gateway.countWithin<EngineListRequest>(milliseconds(200)) == 0);
    // Hellos with different digests don't cause a request each.
    for (std::uint64_t other = 1; other <= 20; ++other)
        gateway.send(GatewayHello{.listDigest = other});
    REQUIRE(gateway.countWithin<EngineListRequest>(milliseconds(200)) == 1);
}

// Guards against requests to engines that are still starting after a power loss, which refuse them:
// without load messages, gateways soon treat the rank as unknown and send it requests.
TEST_CASE("A sidecar reports its engine as not open while the engine does not answer")
{
    const RunningSidecar sidecar(Endpoint{sidecarIp, freePort()});
    const DatagramPeer gateway(INADDR_LOOPBACK, sidecar.address());
    std::vector<EngineLoad> loads;
    REQUIRE(eventually([&] {
        gateway.send(GatewayHello{});
        loads = gateway.receiveWithin<EngineLoad>(milliseconds(50));
        return !loads.empty();
    }));
    REQUIRE_FALSE(loads.front().open);
    // The load is sent again, because a gateway treats the rank as unknown after a second without
    // it.
    REQUIRE_FALSE(gateway.receiveWithin<EngineLoad>(milliseconds(600)).empty());
}

// Guards against an order of the engine's former group that is sent again, and whose result is
// taken for that of an equal order of the new group: groups use the same epochs and versions.
TEST_CASE("A sidecar does not send an order of the engine's former group again")
{
    const RankMap formerMap{{{0, 1}, {2, 3}}};
    const RankMap newMap{{{2, 3}, {0, 1}}};
    std::atomic<bool> inNewGroup = false;
    ScriptedServer engine(
        [&inNewGroup](const SeenRequest &request, ScriptPeer &peer) {
            if (request.target() == "/order") {
                // Orders get no answer, so that they are sent again.
                inNewGroup = true;
            } else if (request.target() == "/report" && inNewGroup) {
                peer.send(plainResponse(200, "",
                                        R"({"step":9,"map":0,"prepared":0,"size":2,"group":)"
                                        R"({"name":"h","epoch":1,"rank":1,"state":"open"}})"));
            } else {
                answerAsEngine(request, peer, 0);
            }
        },
        sidecarIp);
    const RunningSidecar sidecar(engine);
    const DatagramPeer leader(INADDR_LOOPBACK, sidecar.address());
    const auto commandOf = [](const std::string &group, const RankMap &map) {
        return RankCommand{
            .order = {.kind = RankOrderKind::Prepare, .epoch = 1, .version = 5, .map = map},
            .group = group};
    };
    REQUIRE(eventually([&] {
        leader.send(commandOf("g", formerMap));
        ::poll(nullptr, 0, 5);
        return inNewGroup.load();
    }));
    // The sidecar refuses the command until it has read the report with the new group.
    for (int i = 0; i < 100; ++i) {
        leader.send(commandOf("h", newMap));
        ::poll(nullptr, 0, 2);
    }
    std::vector<RankMap> sent;
    for (const SeenRequest &request : engine.seen()) {
        if (request.target() == "/order")
            sent.push_back(nlohmann::json::parse(request.body).at("map"));
    }
    const auto firstNew = std::find(sent.begin(), sent.end(), newMap);
    REQUIRE(firstNew != sent.end());
    REQUIRE(std::find(firstNew, sent.end(), formerMap) == sent.end());
}
