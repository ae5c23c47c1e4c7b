#include <atomic>
#include <future>
#include <vector>

#include <poll.h>

#include <catch2/catch.hpp>

#include "Gateway/LeavingFleet.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// How long a backend server may still get requests after the store took its leaving.
constexpr milliseconds drainTime{2000};
constexpr int requestsPerSecond = 60;

void waitFor(milliseconds time)
{
    ::poll(nullptr, 0, static_cast<int>(time.count()));
}

bool readsList(const std::string &target)
{
    return target.find("keyed.servers") != std::string::npos;
}

/// Applies a fault to the reads of the list for a time.
void failListReads(StoreStandIn &store, StoreFault fault, milliseconds time)
{
    store.setFaults([fault](const std::string &target) {
        return readsList(target) ? fault : StoreFault::None;
    });
    waitFor(time);
    store.setFaults({});
}

/// From now on each fifth call of the store gets 429.
void refuseEachFifthCall(StoreStandIn &store)
{
    auto calls = std::make_shared<std::atomic<int>>(0);
    store.setFaults([calls](const std::string &) {
        return ++*calls % 5 == 0 ? StoreFault::TooManyCalls : StoreFault::None;
    });
}

/// The next read of the list by some gateways is never answered.
void loseListReads(StoreStandIn &store, int count)
{
    auto left = std::make_shared<std::atomic<int>>(count);
    store.setFaults([left](const std::string &target) {
        return readsList(target) && (*left)-- > 0 ? StoreFault::Lost : StoreFault::None;
    });
}

/// Sends requests for a time while `events` happens.
/// @return Whether each was answered by a server.
bool servesAll(LeavingFleet &servers, milliseconds time, const std::function<void()> &events)
{
    auto load = std::async(std::launch::async, [&servers, time] {
        return servers.fleet.sendAtRate("/again/x", requestsPerSecond, time);
    });
    events();
    bool all = true;
    for (const CallResult &result : load.get())
        all = all && result.status == 200;
    return all;
}

} // namespace

// Guards against a failed call of the store, which proves no outage, delaying the removal of a
// server that leaves.
TEST_CASE("A server whose entry is removed gets nothing after the drain time if store calls fail")
{
    constexpr std::size_t gateways = 4;
    LeavingFleet servers(gateways, 4, milliseconds(1200));
    servers.start();
    StoreStandIn &store = servers.fleet.store;
    const int fault = GENERATE(0, 1, 2, 3);
    const auto failCalls = [&] {
        switch (fault) {
        case 0:
            return failListReads(store, StoreFault::TooManyCalls, seconds(1));
        case 1:
            return failListReads(store, StoreFault::Unavailable, seconds(1));
        case 2:
            loseListReads(store, gateways);
            return waitFor(milliseconds(700));
        default:
            return refuseEachFifthCall(store);
        }
    };
    const bool served = servesAll(servers, seconds(9), [&] {
        waitFor(seconds(2));
        for (std::size_t server = 0; server < 2; ++server) {
            failCalls();
            waitFor(milliseconds(150));
            servers.leave(server, LeavingFleet::Notice::Removal);
            waitFor(milliseconds(1000));
        }
    });
    CHECK(servers.lateArrivals(drainTime) == 0);
    REQUIRE(served);
}

// Guards against a heartbeat that the store executes late making a draining server usable again.
TEST_CASE("A draining server gets nothing after the drain time if an older heartbeat follows")
{
    LeavingFleet servers(4, 4, milliseconds(1200));
    servers.start();
    const bool served = servesAll(servers, seconds(6), [&] {
        waitFor(seconds(1));
        servers.leave(0, LeavingFleet::Notice::DrainingThenOlder);
    });
    CHECK(servers.lateArrivals(drainTime) == 0);
    REQUIRE(served);
}

// Guards against one promise being kept at the cost of the other: after an outage the live servers
// whose entries expired are kept, and one that leaves as the store returns is not.
TEST_CASE("After each outage of the store live servers are kept and one that leaves is not")
{
    const StoreFault fault = GENERATE(StoreFault::Unavailable, StoreFault::Lost);
    LeavingFleet servers(4, 4, milliseconds(400));
    servers.start();
    const std::vector<milliseconds> backAfter{milliseconds(100), milliseconds(500),
                                              milliseconds(1000), milliseconds(1400)};
    const bool served = servesAll(servers, seconds(17), [&] {
        for (std::size_t leaving = 0; leaving < 2; ++leaving) {
            waitFor(seconds(1));
            servers.beginOutage(fault, backAfter);
            waitFor(milliseconds(2500));
            servers.endOutage();
            servers.leave(leaving, LeavingFleet::Notice::Removal);
            waitFor(seconds(5));
        }
    });
    CHECK(servers.lateArrivals(drainTime) == 0);
    REQUIRE(served);
}

// Guards against refusals for too many calls, which show that the store is back, extending the time
// for which a server that has left is kept.
TEST_CASE("A server that leaves while the store refuses many calls after an outage is gone in time")
{
    LeavingFleet servers(4, 4, milliseconds(400));
    servers.start();
    const bool served = servesAll(servers, seconds(9), [&] {
        waitFor(seconds(1));
        servers.beginOutage(StoreFault::Lost, std::vector<milliseconds>(4, milliseconds(300)));
        waitFor(milliseconds(2500));
        servers.endOutage();
        servers.leave(0, LeavingFleet::Notice::Removal);
        failListReads(servers.fleet.store, StoreFault::TooManyCalls, milliseconds(1100));
    });
    CHECK(servers.lateArrivals(drainTime) == 0);
    REQUIRE(served);
}
