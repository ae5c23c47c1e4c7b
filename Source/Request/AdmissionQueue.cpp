#include "Request/AdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

/// What is left now of the sends that were noted.
double sendsLeft(const AdmissionQueue &queue, TimePoint now)
{
    const std::chrono::duration<double> passed =
        std::max(now - queue.decayedAt, Clock::duration(0));
    const std::chrono::duration<double> window = dispatchRateWindow;
    return queue.recentSends * std::exp(-(passed / window));
}

/// Those that are served before a newcomer: the more urgent, and the equally urgent that came
/// before.
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
    queue.recentSends = sendsLeft(queue, now) + 1;
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
    const double dispatchesInTime = sendsLeft(queue, now) * (wait / window);
    const double wanted = static_cast<double>(countAhead(queue, priority)) + 1;
    return wanted <= std::max(minQueueLength, dispatchesInTime);
}

} // namespace wisteria
