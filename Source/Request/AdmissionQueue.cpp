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

std::size_t sumOf(const OrganisationCounts &waiting)
{
    std::size_t sum = 0;
    for (const auto &[organisation, count] : waiting)
        sum += count;
    return sum;
}

} // namespace

void noteDispatched(AdmissionQueue &queue, TimePoint now)
{
    queue.recentSends = decayedSends(queue, now) + 1;
    queue.decayedAt = now;
}

void joinQueue(AdmissionQueue &queue, std::uint32_t priority, const std::string &organisation)
{
    ++queue.waiting[priority][organisation];
}

void leaveQueue(AdmissionQueue &queue, std::uint32_t priority, const std::string &organisation)
{
    const auto samePriority = queue.waiting.find(priority);
    if (samePriority == queue.waiting.end())
        return;
    const auto found = samePriority->second.find(organisation);
    if (found == samePriority->second.end())
        return;
    if (--found->second == 0)
        samePriority->second.erase(found);
    if (samePriority->second.empty())
        queue.waiting.erase(samePriority);
}

std::size_t countAhead(const AdmissionQueue &queue, std::uint32_t priority,
                       const OrganisationShares *shares, const std::string &organisation,
                       TimePoint now)
{
    std::size_t ahead = 0;
    for (const auto &[other, waiting] : queue.waiting) {
        if (other < priority || (other == priority && shares == nullptr))
            ahead += sumOf(waiting);
        else if (other == priority)
            ahead += requestsAhead(*shares, waiting, organisation, now);
    }
    return ahead;
}

bool waitCanSucceed(const AdmissionQueue &queue, std::size_t ahead, milliseconds wait,
                    TimePoint now)
{
    const std::chrono::duration<double> window = dispatchRateWindow;
    const double dispatchesInTime = decayedSends(queue, now) * (wait / window);
    const double needed = static_cast<double>(ahead) + 1;
    return needed <= std::max(minQueueLength, dispatchesInTime);
}

} // namespace wisteria
