#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/PermitDatagram.h"
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

/// Returns the largest number of times within one `span`.
/// @param times In ascending order.
std::size_t maxWithin(const std::vector<TimePoint> &times)
{
    std::size_t highest = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= span)
            ++first;
        highest = std::max(highest, last - first + 1);
    }
    return highest;
}

/// Simulates gateways in virtual time that send to one server with a limit. A datagram takes one
/// tick and may be lost.
class PermitSimulation
{
public:
    PermitSimulation(std::size_t gateways, double perSecond, double lossRate)
        : gateways_(gateways), perSecond_(perSecond), lossRate_(lossRate)
    {
        for (std::size_t i = 0; i < gateways; ++i)
            known_["front-" + std::to_string(i)] = {.address = addressOf(i)};
        for (std::size_t i = 0; i < gateways; ++i) {
            gateways_[i].known = known_;
            noteAdvertisedLimit(gateways_[i].limits, server,
                                {.perSecond = perSecond, .receivedAt = now_});
        }
    }

    /// Advances the time while callers send so many requests per second to all gateways together.
    void run(milliseconds time, double requestsPerSecond)
    {
        for (const TimePoint end = now_ + time; now_ < end; now_ += tick) {
            deliver();
            for (std::size_t i = 0; i < gateways_.size(); ++i)
                runGateway(i, requestsPerSecond / static_cast<double>(gateways_.size()));
        }
    }

    /// The server advertises no limit from now on.
    void endLimit() { perSecond_.reset(); }
    void setSuspended(std::size_t gateway, bool suspended)
    {
        gateways_[gateway].suspended = suspended;
    }
    std::size_t owner() const
    {
        return std::stoul(
            limitOwnerOf(known_, server, start)->substr(std::string("front-").size()));
    }

    std::size_t sent() const { return sentAt_.size(); }
    std::size_t maxWithinSpan() const { return maxWithin(sentAt_); }
    /// Returns the number of gateways that know of a limit.
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
        bool suspended = false;
    };

    static Endpoint addressOf(std::size_t gateway)
    {
        return {static_cast<std::uint32_t>(gateway + 1), 7340};
    }

    double randomUnit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    void sendDatagram(PermitDatagram datagram)
    {
        if (randomUnit() >= lossRate_)
            inTransit_.push_back(std::move(datagram));
    }

    void deliver()
    {
        std::deque<PermitDatagram> due;
        due.swap(inTransit_);
        for (const PermitDatagram &datagram : due) {
            Peer &peer = gateways_[datagram.to];
            if (peer.suspended)
                continue;
            if (datagram.request) {
                sendDatagram({.from = datagram.to,
                              .to = datagram.from,
                              .reply = answerPermitRequest(peer.owned, *datagram.request, now_)});
                continue;
            }
            noteMessageReceived(peer.known, addressOf(datagram.from));
            applyPermitReply(peer.limits, datagram.reply, now_);
        }
    }

    void runGateway(std::size_t index, double requestsPerSecond)
    {
        Peer &peer = gateways_[index];
        if (peer.suspended)
            return;
        if (randomUnit() < requestsPerSecond * secondsOf(tick))
            handleRequest(peer);
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
        sendDatagram({.from = index, .to = to.address.ip - 1, .request = request});
    }

    /// Handles a request that can only be sent to this server.
    void handleRequest(Peer &peer)
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
    double lossRate_;
    TimePoint now_ = start;
    std::deque<PermitDatagram> inTransit_;
    std::vector<TimePoint> sentAt_;
    std::mt19937_64 random_{17};
};

/// Returns the requests allowed within `span`: 1.5 times the limit plus five.
std::size_t allowedWithinSpan(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * secondsOf(span)) + 5;
}

} // namespace

// Guards against a small limit that each of many gateways uses in full, and against a limit that no
// gateway can use.
TEST_CASE("Any number of gateways together use a limit without exceeding it")
{
    const std::size_t gateways = GENERATE(1, 2, 5, 13, 36);
    const double perSecond = GENERATE(0.5, 1.0, 4.0, 12.0);
    const double lossRate = GENERATE(0.0, 0.1);
    PermitSimulation simulation(gateways, perSecond, lossRate);
    simulation.run(seconds(30), 100);
    CAPTURE(gateways, perSecond, lossRate, simulation.sent());
    REQUIRE(simulation.maxWithinSpan() <= allowedWithinSpan(perSecond));
    REQUIRE(simulation.sent() >= static_cast<std::size_t>(30 * perSecond * 0.6));
}

// Guards against permits saved up while idle being used all at once.
TEST_CASE("A surge at all gateways stays within a limit that was unused for long")
{
    PermitSimulation simulation(36, 1, 0);
    simulation.run(seconds(30), 0);
    simulation.run(seconds(10), 1000);
    REQUIRE(simulation.maxWithinSpan() <= allowedWithinSpan(1));
}

// Guards against a limit that no gateway can use, or that two owners each grant, while its owner is
// suspended and resumes.
TEST_CASE("A limit is used and not exceeded while its owner is suspended")
{
    const double perSecond = GENERATE(1.0, 4.0);
    PermitSimulation simulation(13, perSecond, 0.02);
    simulation.run(seconds(10), 100);
    const std::size_t before = simulation.sent();
    simulation.setSuspended(simulation.owner(), true);
    simulation.run(seconds(10), 100);
    REQUIRE(simulation.sent() - before >= static_cast<std::size_t>(6 * perSecond));
    simulation.setSuspended(simulation.owner(), false);
    simulation.run(seconds(10), 100);
    REQUIRE(simulation.maxWithinSpan() <= allowedWithinSpan(perSecond));
}

// Guards against a server that gets too few requests long after it withdrew its limit.
TEST_CASE("All gateways learn within three seconds that a limit has ended")
{
    PermitSimulation simulation(36, 1, 0);
    simulation.run(seconds(10), 100);
    REQUIRE(simulation.limited() == 36);
    simulation.endLimit();
    simulation.run(seconds(3), 100);
    REQUIRE(simulation.limited() == 0);
}

// Guards against a limit that is lost when the server's entry is rewritten, or expires while the
// store is unavailable.
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

// Guards against resumed or retried requests that bypass the limit, which first sends respect.
TEST_CASE("No request goes to a server at its limit, and preferredAtLimit names the best of those")
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

// Guards against one permit used twice: datagrams may be duplicated or late.
TEST_CASE("A reply permits one request, once, and only soon after the permit request")
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

TEST_CASE("Permit messages are unchanged after encoding and decoding")
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

// Guards against gateways that don't know each other each saving up one permit of a small limit and
// using all of them in one surge.
TEST_CASE("Gateways that don't know each other stay within a limit in a surge after an idle time")
{
    constexpr std::size_t gateways = 36;
    // Half of the limit, divided by 1.25 times the gateways, as in LimitPermits.
    constexpr double share = 0.5 / 45;
    const double perSecond = GENERATE(1.0, 4.0);
    const unsigned seed = GENERATE(range(1U, 40U));
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> distribution(0, 1);
    std::vector<OwnedLimit> owned(gateways);
    std::vector<TimePoint> granted;
    const PermitRequest request{.server = server,
                                .wanted = true,
                                .advertised = {.perSecond = perSecond, .receivedAt = start}};
    for (OwnedLimit &limit : owned)
        answerWithoutPeers(limit, request, share, distribution(random), start);
    const TimePoint surge = start + seconds(60);
    for (TimePoint now = surge; now < surge + seconds(60); now += milliseconds(25)) {
        for (OwnedLimit &limit : owned) {
            if (answerWithoutPeers(limit, request, share, distribution(random), now).granted)
                granted.push_back(now);
        }
    }
    CAPTURE(perSecond, seed, granted.size());
    REQUIRE(maxWithin(granted) <= allowedWithinSpan(perSecond));
    REQUIRE(granted.size() >= static_cast<std::size_t>(60 * perSecond * 0.25));
}

// Guards against all gateways dropping a limit at about the same time because none of them sent to
// the server for minutes.
TEST_CASE("A limit never expires while its server has an entry")
{
    BackendRegistry registry;
    putBackend(registry, entryOf(server), start);
    noteAdvertisedLimit(registry.limits, server, {.perSecond = 1, .receivedAt = start});
    const TimePoint later = start + std::chrono::hours(1);
    removeExpiredLimits(registry, later);
    REQUIRE_FALSE(isPermitted(registry.limits, server, later));
    removeBackend(registry, server);
    removeExpiredLimits(registry, later);
    REQUIRE(registry.limits.empty());
}
