#include "Request/AdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

/// Returns the recent sends, decayed to `now`.
double decayedSends(const AdmissionQueue &queue, TimePoint now)
{
    const std::chrono::duration<double> passed =
        std::max(now - queue.decayedAt, Clock::duration(0));
    const std::chrono::duration<double> window = dispatchRateWindow;
    return queue.recentSends * std::exp(-(passed / window));
}

/// Returns the number of queued requests that are served before a new one: those of higher or equal
/// priority.
std::size_t countAhead(const AdmissionQueue &queue, std::uint32_t priority)
{
    std::size_t ahead = 0;
    for (const auto &[other, waiting] : queue.waiting) {
        if (other <= priority)
            ahead += waiting;
    }
    return ahead;
}

} // namespace

void noteDispatched(AdmissionQueue &queue, TimePoint now)
{
    queue.recentSends = decayedSends(queue, now) + 1;
    queue.decayedAt = now;
}

void joinQueue(AdmissionQueue &queue, std::uint32_t priority)
{
    ++queue.waiting[priority];
}

void leaveQueue(AdmissionQueue &queue, std::uint32_t priority)
{
    const auto found = queue.waiting.find(priority);
    if (found == queue.waiting.end())
        return;
    if (--found->second == 0)
        queue.waiting.erase(found);
}

bool waitCanSucceed(const AdmissionQueue &queue, std::uint32_t priority, milliseconds wait,
                    TimePoint now)
{
    const std::chrono::duration<double> window = dispatchRateWindow;
    const double dispatchesInTime = decayedSends(queue, now) * (wait / window);
    const double needed = static_cast<double>(countAhead(queue, priority)) + 1;
    return needed <= std::max(minQueueLength, dispatchesInTime);
}

} // namespace wisteria
