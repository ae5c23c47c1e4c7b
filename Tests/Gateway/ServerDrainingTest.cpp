#include <algorithm>
#include <array>
#include <future>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Gateway/GatewayFleet.h"
#include "Gateway/GatewayUnderTest.h"
#include "Gateway/RegistryEntries.h"
#include "platform/RequestCodec.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// How long a backend server may still get requests after it announced that it is draining.
constexpr milliseconds drainTime{2000};

std::string drainingAnswer(const SeenRequest &request)
{
    return plainResponse(200, ownFields(request) + "Server-Leaving: 1\r\n", "here");
}

/// A server whose queue of new connections can be filled, so that a connection to it stays opening.
class FullServer
{
public:
    FullServer()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        ::bind(listener_, reinterpret_cast<sockaddr *>(&address), length);
        ::listen(listener_, 0);
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
        address_ = address;
    }
    ~FullServer()
    {
        for (const int descriptor : fillers_)
            ::close(descriptor);
        ::close(connection_);
        ::close(listener_);
    }
    FullServer(const FullServer &) = delete;
    FullServer &operator=(const FullServer &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port)); }

    /// Takes one request and then fills the queue.
    SeenRequest takeRequestAndFill()
    {
        connection_ = ::accept(listener_, nullptr, nullptr);
        std::array<char, 4096> bytes{};
        const ssize_t count = ::recv(connection_, bytes.data(), bytes.size(), 0);
        for (int &filler : fillers_) {
            filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            ::connect(filler, reinterpret_cast<const sockaddr *>(&address_), sizeof(address_));
        }
        return {.head = std::string(bytes.data(),
                                    static_cast<std::size_t>(std::max<ssize_t>(0, count))),
                .body = {}};
    }

    void answer(const std::string &text) const
    {
        ::send(connection_, text.data(), text.size(), MSG_NOSIGNAL);
    }

private:
    int listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address_{};
    int connection_ = -1;
    std::array<int, 3> fillers_{-1, -1, -1};
};

} // namespace

// Guards against a request that reaches a server long after it has left, because its connection was
// still opening when the leaving became known.
TEST_CASE("A connection that is still opening is given up when its server leaves")
{
    FullServer leaving;
    ScriptedServer other([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "other"));
    });
    GatewayUnderTest gateway;
    gateway.configure();
    // The server in the gateway's own failure domain is preferred.
    gateway.store.put("keyed.servers", "i-1",
                      {{"service", "plain"},
                       {"address", leaving.address()},
                       {"zone", "a"},
                       {"slot_count", 100},
                       {"state", "ready"}});
    gateway.addBackend("i-2", "plain", other, "ready", "b");
    gateway.waitUntilReady();
    auto first =
        std::async(std::launch::async, [&] { return gateway.call(requestFor("/again/x", "a1")); });
    const SeenRequest taken = leaving.takeRequestAndFill();
    auto second = std::async(std::launch::async, [&] {
        const CallResult result = gateway.call(requestFor("/again/x", "a2"));
        return std::pair(result, monotonicNow());
    });
    constexpr int openingMs = 150;
    ::poll(nullptr, 0, openingMs);
    leaving.answer(drainingAnswer(taken));
    const TimePoint left = monotonicNow();
    REQUIRE(first.get().status == 200);
    const auto [result, answeredAt] = second.get();
    REQUIRE(result.body == "other");
    REQUIRE(answeredAt >= left);
    REQUIRE(answeredAt - left < milliseconds(200));
}

TEST_CASE("Only the value 1 of Server-Leaving marks a backend server as draining")
{
    const auto parsedDraining = [](const std::string &value) {
        HttpResponseHead head;
        head.fields = {{"Server-Leaving", value}};
        return platform::decodeAnswerHead(head).draining;
    };
    REQUIRE(parsedDraining("1"));
    REQUIRE_FALSE(parsedDraining("0"));
    REQUIRE_FALSE(parsedDraining(""));
    REQUIRE_FALSE(platform::decodeAnswerHead(HttpResponseHead()).draining);
}

// Guards against a draining server getting work again because of an entry that was written earlier,
// or that expires and returns after a store outage.
TEST_CASE("A draining server gets no work when its entry changes, but does after its restart")
{
    constexpr TimePoint start{seconds(100)};
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1", 1), start);
    REQUIRE(noteDraining(registry, "i-1", start));
    REQUIRE_FALSE(noteDraining(registry, "i-1", start));
    putBackend(registry, entryOf("i-1", 1), start);
    removeBackend(registry, "i-1");
    putBackend(registry, entryOf("i-1", 1), start + seconds(10));
    REQUIRE(chooseBackend(registry, criteriaOf(), start + seconds(10), 0).backend == nullptr);
    putBackend(registry, entryOf("i-1", 2), start + seconds(10));
    REQUIRE(chooseBackend(registry, criteriaOf(), start + seconds(10), 0).backend != nullptr);
}

// Guards against a server that is never used again because it restarted under its id while its
// entry was gone.
TEST_CASE("A draining server that restarts while its entry is gone begins with fresh state")
{
    constexpr TimePoint start{seconds(100)};
    BackendRegistry registry;
    putBackend(registry, entryOf("i-1", 1), start);
    noteDraining(registry, "i-1", start);
    noteBackoff(registry, "i-1", start + seconds(100), start);
    noteAdvertisedLimit(registry.limits, "i-1", {.perSecond = 1, .receivedAt = start});
    removeBackend(registry, "i-1");
    putBackend(registry, entryOf("i-1", 2), start + seconds(5));
    REQUIRE(chooseBackend(registry, criteriaOf(), start + seconds(5), 0).backend != nullptr);
}

// Guards against requests to a server that shuts down soon and announces it only in its answers.
TEST_CASE("A backend server that announces draining in its answers gets no new work")
{
    ArrivalLog arrivals;
    ScriptedServer drainingServer([&arrivals](const SeenRequest &request, ScriptPeer &peer) {
        arrivals.note(request, true, monotonicNow());
        peer.send(drainingAnswer(request));
    });
    ScriptedServer healthyServer([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, "here"));
    });
    GatewayFleet fleet(GENERATE(2, 13));
    fleet.addServer("i-1", drainingServer);
    fleet.addServer("i-2", healthyServer);
    fleet.start();
    fleet.store.setSilent(true);
    const auto results = fleet.sendAtRate("/again/x", 24, drainTime + seconds(3));
    REQUIRE(arrivals.countLaterThan(drainTime) == 0);
    for (const CallResult &result : results)
        REQUIRE(result.status == 200);
}
