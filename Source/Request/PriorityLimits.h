#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Process/Time.h"
#include "Version/ServiceConfiguration.h"

// Slots of model engines for requests of different priority. The load that this answers: a surge of
// less urgent requests, which would occupy all slots before urgent ones arrive, and urgent requests
// that exceed the capacity for long, which would shut out all others.

namespace wisteria {

/// Load of the busiest rank of a group relative to the mean, for half a second after a shift of
/// demand, until a new expert map is in force.
constexpr double skewAfterShift = 2.5;

/// The limit of no priority is below this fraction of an engine's slots: slots of the most urgent
/// priority stay free while it has no requests.
constexpr double minLimitShare = 0.5;

/// Limits of the priorities of one service. A request may start at an engine only while the engine
/// runs fewer requests than the limit of its priority.
struct PriorityLimits
{
    /// The priorities of the service's routes, distinct, most urgent (lowest) first. A position in
    /// this list is a priority step.
    std::vector<std::uint32_t> priorities;
    /// Limit of each step in requests at one engine. Empty without priorities or an engine profile;
    /// then all priorities may use all slots.
    std::vector<std::uint32_t> maxRequests;
    /// Slots of one engine.
    std::uint32_t slots = 0;
};

/// Returns the longest pass of an engine that runs `requests` just after a shift of demand.
std::chrono::duration<double, std::milli> passTimeAfterShift(const EngineProfile &engine,
                                                             std::uint32_t requests);

/// Returns the limits of a service.
/// @param priorities The priorities of the service's routes, in any order.
/// @param smallestGap Smallest target gap of these routes. Without one no pass is too long, and
/// all priorities may use all slots.
PriorityLimits priorityLimitsOf(std::vector<std::uint32_t> priorities,
                                const std::optional<EngineProfile> &engine,
                                std::optional<milliseconds> smallestGap);

/// Returns the limits of all services whose routes have more than one priority, by service.
std::map<std::string, PriorityLimits> priorityLimitsOf(const ServiceConfiguration &configuration);

/// Returns the step of the service's priority that is nearest to `priority`; of two equally near
/// ones the more urgent.
std::size_t priorityStepOf(const PriorityLimits &limits, std::uint32_t priority);

/// Returns the limit of a step as a fraction of an engine's slots.
double maxLoadOf(const PriorityLimits &limits, std::size_t step);

/// Time constant of the decay of `PriorityCounts`: longer than a request waits, shorter than a
/// surge.
constexpr milliseconds priorityCountDecay{4000};

/// A priority whose requests start less often than this fraction of all requests of the service is
/// starved. Above the promised half: the ratio is kept around this value, so that it lies below it
/// for some seconds.
constexpr double starvationShare = 0.55;

/// Requests of one priority of a service at one gateway, decayed exponentially with the time
/// constant `priorityCountDecay`.
struct PriorityCount
{
    /// Requests that started, were refused or were abandoned. A request that still waits is not
    /// counted: otherwise each arrival would lower the ratio of its priority before it is known
    /// whether it starts.
    double decided = 0;
    /// Those that started.
    double started = 0;
    TimePoint decayedAt;
};

/// Counts of one service by priority.
using PriorityCounts = std::map<std::uint32_t, PriorityCount>;

/// Records that a request started, or that it ended without a start.
void noteDecided(PriorityCounts &counts, std::uint32_t priority, bool started, TimePoint now);

/// Returns whether requests of a priority start less than `starvationShare` as often as all
/// requests of the service. Such a priority has the limit of the most urgent one and is dispatched
/// together with it.
bool isStarved(const PriorityCounts &counts, std::uint32_t priority, TimePoint now);

} // namespace wisteria
