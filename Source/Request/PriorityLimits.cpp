#include "Request/PriorityLimits.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

/// Below this number of decided requests, which one reaches after 18 s, a priority has no recent
/// requests whose ratio means anything.
constexpr double minDecided = 0.01;

/// Returns the count, decayed to `now`.
PriorityCount decayed(const PriorityCount &count, TimePoint now)
{
    const std::chrono::duration<double> passed =
        std::max(now - count.decayedAt, Clock::duration(0));
    const std::chrono::duration<double> constant = priorityCountDecay;
    const double factor = std::exp(-(passed / constant));
    return {.decided = count.decided * factor, .started = count.started * factor, .decayedAt = now};
}

/// Returns the limit of the least urgent priority.
std::uint32_t lowestLimit(const EngineProfile &engine, std::optional<milliseconds> smallestGap)
{
    std::uint32_t limit = engine.slots;
    const auto least = static_cast<std::uint32_t>(std::ceil(minLimitShare * engine.slots));
    while (smallestGap && limit > least && passTimeAfterShift(engine, limit) > *smallestGap)
        --limit;
    return limit;
}

/// Priorities of a service's routes and their smallest target gap.
struct ServiceRoutes
{
    std::vector<std::uint32_t> priorities;
    std::optional<milliseconds> smallestGap;
};

std::map<std::string, ServiceRoutes> routesByService(const ServiceConfiguration &configuration)
{
    std::map<std::string, ServiceRoutes> services;
    for (const RouteRule &route : configuration.routes) {
        for (const ServiceShare &share : route.shares) {
            ServiceRoutes &service = services[share.service];
            service.priorities.push_back(route.priority);
            if (route.targetGap)
                service.smallestGap =
                    std::min(service.smallestGap.value_or(*route.targetGap), *route.targetGap);
        }
    }
    return services;
}

} // namespace

std::chrono::duration<double, std::milli> passTimeAfterShift(const EngineProfile &engine,
                                                             std::uint32_t requests)
{
    const double skew = 1 - engine.expertShare + engine.expertShare * skewAfterShift;
    return (engine.step + engine.stepPerRequest * requests) * engine.stepsPerPass * skew;
}

PriorityLimits priorityLimitsOf(std::vector<std::uint32_t> priorities,
                                const std::optional<EngineProfile> &engine,
                                std::optional<milliseconds> smallestGap)
{
    std::sort(priorities.begin(), priorities.end());
    priorities.erase(std::unique(priorities.begin(), priorities.end()), priorities.end());
    PriorityLimits limits{.priorities = std::move(priorities), .maxRequests = {}, .slots = 0};
    if (limits.priorities.empty() || !engine || engine->slots == 0)
        return limits;
    limits.slots = engine->slots;
    const double reserved = limits.slots - lowestLimit(*engine, smallestGap);
    const std::size_t lastStep = limits.priorities.size() - 1;
    for (std::size_t step = 0; step <= lastStep; ++step) {
        const double part =
            lastStep == 0 ? 0 : static_cast<double>(step) / static_cast<double>(lastStep);
        limits.maxRequests.push_back(
            static_cast<std::uint32_t>(std::lround(limits.slots - reserved * part)));
    }
    return limits;
}

std::map<std::string, PriorityLimits> priorityLimitsOf(const ServiceConfiguration &configuration)
{
    std::map<std::string, PriorityLimits> all;
    for (auto &[name, routes] : routesByService(configuration)) {
        const auto service = configuration.services.find(name);
        const std::optional<EngineProfile> engine =
            service == configuration.services.end() ? std::nullopt : service->second.engine;
        PriorityLimits limits =
            priorityLimitsOf(std::move(routes.priorities), engine, routes.smallestGap);
        if (limits.priorities.size() > 1)
            all[name] = std::move(limits);
    }
    return all;
}

std::size_t priorityStepOf(const PriorityLimits &limits, std::uint32_t priority)
{
    const auto begin = limits.priorities.begin();
    const auto next = std::lower_bound(begin, limits.priorities.end(), priority);
    const auto step = static_cast<std::size_t>(next - begin);
    if (next == begin)
        return 0;
    const std::uint32_t before = limits.priorities[step - 1];
    const bool nextIsNearer =
        next != limits.priorities.end() && *next - priority < priority - before;
    return nextIsNearer ? step : step - 1;
}

double maxLoadOf(const PriorityLimits &limits, std::size_t step)
{
    if (limits.maxRequests.empty())
        return 1;
    return static_cast<double>(limits.maxRequests[step]) / limits.slots;
}

void noteDecided(PriorityCounts &counts, std::uint32_t priority, bool started, TimePoint now)
{
    PriorityCount &count = counts[priority];
    count = decayed(count, now);
    count.decided += 1;
    count.started += started ? 1 : 0;
}

bool isStarved(const PriorityCounts &counts, std::uint32_t priority, TimePoint now)
{
    const auto found = counts.find(priority);
    if (found == counts.end())
        return false;
    const PriorityCount own = decayed(found->second, now);
    if (own.decided < minDecided)
        return false;
    PriorityCount all;
    for (const auto &[other, count] : counts) {
        const PriorityCount current = decayed(count, now);
        all.decided += current.decided;
        all.started += current.started;
    }
    return own.started / own.decided < starvationShare * (all.started / all.decided);
}

} // namespace wisteria
