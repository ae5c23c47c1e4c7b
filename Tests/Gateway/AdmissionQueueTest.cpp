#include <catch2/catch.hpp>

#include <deque>

#include "Request/AdmissionQueue.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};
constexpr milliseconds wait{200};

/// What became of the requests of a surge at one gateway.
struct SurgeResult
{
    int served = 0;
    int refusedAtOnce = 0;
    int waitedInVain = 0;
};

/// Plays a surge: requests come at one pace and places become free at another. Whoever waits is
/// served in order of arrival, or refused after the wait.
SurgeResult playSurge(milliseconds betweenRequests, milliseconds betweenPlaces, seconds lasts)
{
    SurgeResult result;
    AdmissionQueue queue;
    std::deque<TimePoint> waiting;
    for (TimePoint now = start; now < start + lasts; now += milliseconds(1)) {
        while (!waiting.empty() && now - waiting.front() >= wait) {
            waiting.pop_front();
            leaveQueue(queue, 1);
            ++result.waitedInVain;
        }
        if ((now - start) % betweenPlaces == milliseconds(0) && !waiting.empty()) {
            waiting.pop_front();
            leaveQueue(queue, 1);
            noteDispatched(queue, now);
            ++result.served;
        }
        if ((now - start) % betweenRequests != milliseconds(0))
            continue;
        if (waitCanSucceed(queue, 1, wait, now)) {
            waiting.push_back(now);
            joinQueue(queue, 1);
        } else {
            ++result.refusedAtOnce;
        }
    }
    return result;
}

} // namespace

// In a surge to four times the load callers wait for half of their target latency and are refused
// then: of 18 requests that arrive in a second at a gateway that finds 5 places, 13 wait 0.2 s in
// vain. All that arrive used to wait, whatever stood before them.
TEST_CASE("In a surge only those wait that are likely to get a place, and no place stays free")
{
    const SurgeResult result = playSurge(milliseconds(8), milliseconds(33), seconds(4));
    constexpr int places = 4000 / 33;
    REQUIRE(result.served >= places * 95 / 100);
    REQUIRE(result.waitedInVain <= result.served / 10);
    REQUIRE(result.refusedAtOnce > 2 * result.served);
}

TEST_CASE("At a load that the service bears nobody is refused")
{
    const SurgeResult result = playSurge(milliseconds(40), milliseconds(33), seconds(4));
    REQUIRE(result.refusedAtOnce == 0);
    REQUIRE(result.waitedInVain == 0);
}

// A courier's door release must not be turned away because of drafts that would go after it.
TEST_CASE("Only those that go before a request count against its wait")
{
    AdmissionQueue queue;
    for (int i = 0; i < 5; ++i)
        joinQueue(queue, 3);
    REQUIRE(waitCanSucceed(queue, 1, wait, start));
    REQUIRE_FALSE(waitCanSucceed(queue, 3, wait, start));
    for (int i = 0; i < 4; ++i)
        leaveQueue(queue, 3);
    REQUIRE(waitCanSucceed(queue, 3, wait, start));
}

TEST_CASE("A rate of places that was seen before a standstill counts for less and less")
{
    AdmissionQueue queue;
    for (int i = 0; i < 30; ++i)
        noteDispatched(queue, start);
    for (int i = 0; i < 6; ++i)
        joinQueue(queue, 1);
    REQUIRE(waitCanSucceed(queue, 1, wait, start));
    REQUIRE_FALSE(waitCanSucceed(queue, 1, wait, start + seconds(1)));
}
