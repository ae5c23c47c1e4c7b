#include <catch2/catch.hpp>

#include <deque>

#include "Request/AdmissionQueue.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};
constexpr milliseconds wait{200};

bool waitCanSucceedAt(const AdmissionQueue &queue, std::uint32_t priority, milliseconds longest,
                      TimePoint now)
{
    return waitCanSucceed(queue, countAhead(queue, priority, nullptr, "", now), longest, now);
}

/// Outcome of the requests of a surge at one gateway.
struct SurgeResult
{
    int served = 0;
    int refusedImmediately = 0;
    int timedOut = 0;
};

/// Simulates a surge with one interval between requests and another between free slots. Waiting
/// requests are served in order of arrival, or refused after `wait`.
SurgeResult simulateSurge(milliseconds requestInterval, milliseconds slotInterval, seconds duration)
{
    SurgeResult result;
    AdmissionQueue queue;
    std::deque<TimePoint> waiting;
    for (TimePoint now = start; now < start + duration; now += milliseconds(1)) {
        while (!waiting.empty() && now - waiting.front() >= wait) {
            waiting.pop_front();
            leaveQueue(queue, 1, "");
            ++result.timedOut;
        }
        if ((now - start) % slotInterval == milliseconds(0) && !waiting.empty()) {
            waiting.pop_front();
            leaveQueue(queue, 1, "");
            noteDispatched(queue, now);
            ++result.served;
        }
        if ((now - start) % requestInterval != milliseconds(0))
            continue;
        if (waitCanSucceedAt(queue, 1, wait, now)) {
            waiting.push_back(now);
            joinQueue(queue, 1, "");
        } else {
            ++result.refusedImmediately;
        }
    }
    return result;
}

} // namespace

// Guards against requests that wait half of their target latency in vain in a surge to four times
// the load. If every request queues, a gateway with, for example, 18 requests and 5 free slots a
// second refuses 13 of them after 0.2 s.
TEST_CASE("In a surge only requests that are likely to get a slot wait, and no slot stays free")
{
    const SurgeResult result = simulateSurge(milliseconds(8), milliseconds(33), seconds(4));
    constexpr int freedSlots = 4000 / 33;
    REQUIRE(result.served >= freedSlots * 95 / 100);
    REQUIRE(result.timedOut <= result.served / 10);
    REQUIRE(result.refusedImmediately > 2 * result.served);
}

TEST_CASE("No request is refused at a load that the service can handle")
{
    const SurgeResult result = simulateSurge(milliseconds(40), milliseconds(33), seconds(4));
    REQUIRE(result.refusedImmediately == 0);
    REQUIRE(result.timedOut == 0);
}

// Guards against an urgent request refused because of less urgent ones that are served after it.
TEST_CASE("Only queued requests of higher or equal priority count against a request")
{
    AdmissionQueue queue;
    for (int i = 0; i < 5; ++i)
        joinQueue(queue, 3, "");
    REQUIRE(waitCanSucceedAt(queue, 1, wait, start));
    REQUIRE_FALSE(waitCanSucceedAt(queue, 3, wait, start));
    for (int i = 0; i < 4; ++i)
        leaveQueue(queue, 3, "");
    REQUIRE(waitCanSucceedAt(queue, 3, wait, start));
}

TEST_CASE("The dispatch rate from before a stall decays")
{
    AdmissionQueue queue;
    for (int i = 0; i < 30; ++i)
        noteDispatched(queue, start);
    for (int i = 0; i < 6; ++i)
        joinQueue(queue, 1, "");
    REQUIRE(waitCanSucceedAt(queue, 1, wait, start));
    REQUIRE_FALSE(waitCanSucceedAt(queue, 1, wait, start + seconds(1)));
}
