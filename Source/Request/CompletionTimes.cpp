#include "Request/CompletionTimes.h"

#include <algorithm>
#include <utility>

namespace wisteria {

namespace {

std::optional<TimePoint> lastOf(const TimesOfTwoPeriods &times, const Fingerprint &asked)
{
    if (const auto found = times.recent.find(asked); found != times.recent.end())
        return found->second;
    if (const auto found = times.earlier.find(asked); found != times.earlier.end())
        return found->second;
    return std::nullopt;
}

void put(TimesOfTwoPeriods &times, const Fingerprint &completed, TimePoint at, TimePoint now)
{
    if (now - times.recentSince >= completionPeriod
        || times.recent.size() >= maxCompletionsPerPeriod) {
        times.earlier = std::exchange(times.recent, {});
        times.recentSince = now;
    }
    times.recent[completed] = at;
}

} // namespace

void noteCompletionTime(CompletionTimes &times, const Fingerprint &completed, TimePoint at,
                        TimePoint now)
{
    if (const auto known = lastCompletion(times, completed))
        put(times.recurring, completed, std::max(*known, at), now);
    else
        put(times.once, completed, at, now);
}

std::optional<TimePoint> lastCompletion(const CompletionTimes &times, const Fingerprint &asked)
{
    if (const auto recurring = lastOf(times.recurring, asked))
        return recurring;
    return lastOf(times.once, asked);
}

std::size_t sizeOf(const CompletionTimes &times)
{
    return times.once.recent.size() + times.once.earlier.size() + times.recurring.recent.size()
        + times.recurring.earlier.size();
}

} // namespace wisteria
