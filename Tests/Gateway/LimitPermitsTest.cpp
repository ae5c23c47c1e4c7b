#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/RegistryEntries.h"
#include "Request/LimitOwners.h"
#include "Version/GroupMessages.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr TimePoint start{seconds(100)};
constexpr milliseconds tick{5};
constexpr milliseconds span{4000};
const std::string server = "i-1";

/// Most of some moments, in order, that lie in one span.
std::size_t mostWithin(const std::vector<TimePoint> &moments)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < moments.size(); ++last) {
        while (moments[last] - moments[first] >= span)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Gateways in virtual time before one server that names a limit; datagrams take a tick and may be
/// lost.
class PermitWorld
{
public:
    PermitWorld(std::size_t gateways, double perSecond, double lost)
        : gateways_(gateways), perSecond_(perSecond), lost_(lost)
    {
        for (std::size_t i = 0; i < gateways; ++i)
            known_["front-" + std::to_string(i)] = {.address = addressOf(i)};
        for (std::size_t i = 0; i < gateways; ++i) {
            gateways_[i].known = known_;
            noteAdvertisedLimit(gateways_[i].limits, server,
                                {.perSecond = perSecond, .receivedAt = now_});
        }
    }

    /// Lets time pass while callers ask for so many requests a second of all gateways.
    void run(milliseconds time, double asked)
    {
        for (const TimePoint end = now_ + time; now_ < end; now_ += tick) {
            deliver();
            for (std::size_t i = 0; i < gateways_.size(); ++i)
                work(i, asked / static_cast<double>(gateways_.size()));
        }
    }

    /// From now on the server names no limit.
    void endLimit() { perSecond_.reset(); }
    void stand(std::size_t gateway, bool stands) { gateways_[gateway].stands = stands; }
    std::size_t owner() const
    {
        return std::stoul(
            limitOwnerOf(known_, server, start)->substr(std::string("front-").size()));
    }

    std::size_t sent() const { return sentAt_.size(); }
    std::size_t mostWithinSpan() const { return mostWithin(sentAt_); }
    /// Gateways that know of a limit.
    std::size_t limited() const
    {
        return static_cast<std::size_t>(
            std::count_if(gateways_.begin(), gateways_.end(), [](const Peer &peer) {
                return peer.limits.at(server).advertised.perSecond.has_value();
            }));
    }

private:
    struct Peer
    {
        ServerLimits limits;
        PeerGateways known;
        OwnedLimit owned;
        bool stands = false;
    };
    struct Datagram
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::optional<PermitRequest> request{};
        PermitReply reply{};
    };

    static Endpoint addressOf(std::size_t gateway)
    {
        return {static_cast<std::uint32_t>(gateway + 1), 7340};
    }

    double randomUnit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    void post(Datagram datagram)
    {
        if (randomUnit() >= lost_)
            posted_.push_back(std::move(datagram));
    }

    void deliver()
    {
        std::deque<Datagram> due;
        due.swap(posted_);
        for (const Datagram &datagram : due) {
            Peer &peer = gateways_[datagram.to];
            if (peer.stands)
                continue;
            if (datagram.request) {
                post({.from = datagram.to,
                      .to = datagram.from,
                      .reply = answerPermitRequest(peer.owned, *datagram.request, now_)});
                continue;
            }
            noteMessageReceived(peer.known, addressOf(datagram.from));
            applyPermitReply(peer.limits, datagram.reply, now_);
        }
    }

    void work(std::size_t index, double asked)
    {
        Peer &peer = gateways_[index];
        if (peer.stands)
            return;
        if (randomUnit() < asked * secondsOf(tick))
            arrive(peer);
        const auto request = nextPermitRequest(peer.limits, server, now_);
        if (!request)
            return;
        requestPermit(index, *request);
        for (auto &[name, gateway] : peer.known) {
            if (shouldProbe(gateway, now_))
                sendRequest(index, name, {.server = server, .advertised = request->advertised});
        }
    }

    void requestPermit(std::size_t index, const PermitRequest &request)
    {
        Peer &peer = gateways_[index];
        const std::string name = *limitOwnerOf(peer.known, server, now_);
        if (peer.known[name].address == addressOf(index))
            applyPermitReply(peer.limits, answerPermitRequest(peer.owned, request, now_), now_);
        else
            sendRequest(index, name, request);
    }

    void sendRequest(std::size_t index, const std::string &name, const PermitRequest &request)
    {
        PeerGateway &to = gateways_[index].known[name];
        noteRequestSent(to, now_);
        post({.from = index, .to = to.address.ip - 1, .request = request});
    }

    /// A request that would go to the server, and has nowhere else to wait.
    void arrive(Peer &peer)
    {
        if (!isPermitted(peer.limits, server, now_)) {
            markPermitWanted(peer.limits, server, now_);
            return;
        }
        consumePermit(peer.limits, server, now_);
        sentAt_.push_back(now_);
        noteAdvertisedLimit(peer.limits, server, {.perSecond = perSecond_, .receivedAt = now_});
    }

    std::vector<Peer> gateways_;
    PeerGateways known_;
    std::optional<double> perSecond_;
    double lost_;
    TimePoint now_ = start;
    std::deque<Datagram> posted_;
    std::vector<TimePoint> sentAt_;
    std::mt19937_64 random_{17};
};

std::size_t allowedWithinSpan(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * secondsOf(span)) + 5;
}

} // namespace

// Guards against a small limit that each of many gateways uses by itself, and against one that
// nobody can use.
TEST_CASE("Any number of gateways use a limit, and no more than it")
{
    const std::size_t gateways = GENERATE(1, 2, 5, 13, 36);
    const double perSecond = GENERATE(0.5, 1.0, 4.0, 12.0);
    const double lost = GENERATE(0.0, 0.1);
    PermitWorld world(gateways, perSecond, lost);
    world.run(seconds(30), 100);
    CAPTURE(gateways, perSecond, lost, world.sent());
    REQUIRE(world.mostWithinSpan() <= allowedWithinSpan(perSecond));
    REQUIRE(world.sent() >= static_cast<std::size_t>(30 * perSecond * 0.6));
}

// Guards against callers' requests that come all at once after a quiet time.
TEST_CASE("A surge at all gateways stays within a limit that nobody used for long")
{
    PermitWorld world(36, 1, 0);
    world.run(seconds(30), 0);
    world.run(seconds(10), 1000);
    REQUIRE(world.mostWithinSpan() <= allowedWithinSpan(1));
}

// Guards against a limit that nobody can use, or two keepers that each grant it, while the gateway
// that kept it stands still and comes back.
TEST_CASE("A limit is used and kept although the gateway that keeps it stands still")
{
    const double perSecond = GENERATE(1.0, 4.0);
    PermitWorld world(13, perSecond, 0.02);
    world.run(seconds(10), 100);
    const std::size_t before = world.sent();
    world.stand(world.owner(), true);
    world.run(seconds(10), 100);
    REQUIRE(world.sent() - before >= static_cast<std::size_t>(6 * perSecond));
    world.stand(world.owner(), false);
    world.run(seconds(10), 100);
    REQUIRE(world.mostWithinSpan() <= allowedWithinSpan(perSecond));
}

// Guards against a server that is spared for long after its need is over.
TEST_CASE("All gateways know soon that a limit has ended")
{
    PermitWorld world(36, 1, 0);
    world.run(seconds(10), 100);
    REQUIRE(world.limited() == 36);
    world.endLimit();
    world.run(seconds(3), 100);
    REQUIRE(world.limited() == 0);
}

// Guards against a limit that is forgotten when the server's entry is rewritten, or lapses while
// the store is away.
TEST_CASE("A limit outlasts changes of the server's entry, but not the server's restart")
{
    BackendRegistry registry;
    putBackend(registry, entryOf(server, 1), start);
    noteAdvertisedLimit(registry.limits, server, {.perSecond = 1, .receivedAt = start});
    putBackend(registry, entryOf(server, 1), start);
    removeBackend(registry, server);
    putBackend(registry, entryOf(server, 1), start);
    REQUIRE_FALSE(isPermitted(registry.limits, server, start));
    putBackend(registry, entryOf(server, 2), start);
    REQUIRE(isPermitted(registry.limits, server, start));
}

// Guards against a resumption or retry that takes another way than a first send.
TEST_CASE(
    "No wish is served by a server at its limit, and the one there would be best is asked for")
{
    BackendRegistry registry;
    for (const std::string id : {"i-1", "i-2"})
        putBackend(registry, entryOf(id), start);
    registry.backends["i-2"].ownInFlight = 5;
    noteAdvertisedLimit(registry.limits, server, {.perSecond = 1, .receivedAt = start});
    const BackendCriteria criteria{
        .service = "s", .tried = {}, .maxLoad = GENERATE(1.0, 2.0), .failureDomain = "a"};
    REQUIRE(chooseBackend(registry, criteria, start, 0).backend->entry.id == "i-2");
    REQUIRE(chooseBackend(registry, criteria, start, 0).preferredAtLimit == server);
    noteAdvertisedLimit(registry.limits, "i-2", {.perSecond = 1, .receivedAt = start});
    const BackendChoice none = chooseBackend(registry, criteria, start, 0);
    REQUIRE(none.backend == nullptr);
    REQUIRE(none.reason == NoBackendReason::AtLimit);
    markPermitWanted(registry.limits, none.preferredAtLimit, start);
    const auto request = nextPermitRequest(registry.limits, server, start);
    REQUIRE(request->wanted);
    REQUIRE(applyPermitReply(registry.limits,
                             {.server = server,
                              .number = request->number,
                              .granted = true,
                              .advertised = request->advertised},
                             start));
    REQUIRE(chooseBackend(registry, criteria, start, 0).backend->entry.id == server);
}

// Guards against one permit used twice: datagrams may come twice, and late.
TEST_CASE("An answer permits one request, once, and not long after the question")
{
    ServerLimits limits;
    noteAdvertisedLimit(limits, server, {.perSecond = 1, .receivedAt = start});
    markPermitWanted(limits, server, start);
    const auto request = nextPermitRequest(limits, server, start);
    const PermitReply reply{.server = server,
                            .number = request->number,
                            .granted = true,
                            .advertised = request->advertised};
    applyPermitReply(limits, reply, start);
    consumePermit(limits, server, start);
    applyPermitReply(limits, reply, start);
    REQUIRE_FALSE(isPermitted(limits, server, start));

    markPermitWanted(limits, server, start + seconds(1));
    const auto second = nextPermitRequest(limits, server, start + seconds(1));
    applyPermitReply(limits,
                     {.server = server,
                      .number = second->number,
                      .granted = true,
                      .advertised = second->advertised},
                     start + seconds(2));
    REQUIRE_FALSE(isPermitted(limits, server, start + seconds(2)));
}

TEST_CASE("Questions and answers about limits survive the way")
{
    const PermitRequestMessage request{
        .server = server, .wanted = true, .number = 3, .perSecond = 1.5, .ageMilliseconds = 20};
    const auto requestBack = decodeMessage(encodeMessage(request)).value();
    REQUIRE(std::get<PermitRequestMessage>(requestBack).server == server);
    REQUIRE(std::get<PermitRequestMessage>(requestBack).wanted);
    REQUIRE(std::get<PermitRequestMessage>(requestBack).perSecond == 1.5);
    const PermitReplyMessage reply{
        .server = server, .number = 3, .granted = true, .nextInMilliseconds = 7};
    const auto replyBack = decodeMessage(encodeMessage(reply)).value();
    REQUIRE(std::get<PermitReplyMessage>(replyBack).granted);
    REQUIRE(std::get<PermitReplyMessage>(replyBack).nextInMilliseconds == 7);
    REQUIRE_FALSE(std::get<PermitReplyMessage>(replyBack).perSecond);
    REQUIRE(decodeMessage(encodeMessage(PermitRequestMessage{.server = server, .perSecond = -1}))
                .has_error());
}

// Guards against gateways that don't know each other each saving up a request of a small limit, and
// sending all of them in one surge.
TEST_CASE("Gateways that don't know each other stay within a limit in a surge after a quiet time")
{
    constexpr std::size_t gateways = 36;
    constexpr double share = 0.5 / 45;
    const double perSecond = GENERATE(1.0, 4.0);
    const unsigned seed = GENERATE(range(1U, 40U));
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<OwnedLimit> owned(gateways);
    std::vector<TimePoint> granted;
    const PermitRequest request{.server = server,
                                .wanted = true,
                                .advertised = {.perSecond = perSecond, .receivedAt = start}};
    for (OwnedLimit &limit : owned)
        answerWithoutPeers(limit, request, share, draw(random), start);
    const TimePoint surge = start + seconds(60);
    for (TimePoint now = surge; now < surge + seconds(60); now += milliseconds(25)) {
        for (OwnedLimit &limit : owned) {
            if (answerWithoutPeers(limit, request, share, draw(random), now).granted)
                granted.push_back(now);
        }
    }
    CAPTURE(perSecond, seed, granted.size());
    REQUIRE(mostWithin(granted) <= allowedWithinSpan(perSecond));
    REQUIRE(granted.size() >= static_cast<std::size_t>(60 * perSecond * 0.25));
}

// Guards against all gateways taking a limit for ended at about the same time, as none of them had
// reason to send there for minutes.
TEST_CASE("A limit stands for as long as its server, however long ago it was named")
{
    BackendRegistry registry;
    putBackend(registry, entryOf(server), start);
    noteAdvertisedLimit(registry.limits, server, {.perSecond = 1, .receivedAt = start});
    const TimePoint later = start + std::chrono::hours(1);
    forgetOldLimits(registry, later);
    REQUIRE_FALSE(isPermitted(registry.limits, server, later));
    removeBackend(registry, server);
    forgetOldLimits(registry, later);
    REQUIRE(registry.limits.empty());
}
