#pragma once

#include <functional>
#include <random>
#include <vector>

#include "Process/Time.h"
#include "Soak/GatewayStops.h"
#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// Injects random faults into a fleet, generated from a seed. Faults may overlap. The sequence also
/// depends on the timing of the run.
class SoakFaults
{
public:
    /// @param log Called with a one-line description of each fault.
    SoakFaults(Fleet &fleet, std::uint64_t seed, std::function<void(const std::string &)> log);

    /// Ends the faults whose duration has passed, and injects further ones at random intervals.
    void advance(TimePoint now);

    /// Ends all faults, and lets all servers leave that leave from time to time.
    void endAll();

    std::size_t plannedStops() const { return stops_.begun(); }

private:
    struct ScheduledEnd
    {
        TimePoint at;
        std::function<void()> end;
    };

    std::size_t randomBelow(std::size_t bound);
    milliseconds randomDuration(int low, int high);
    void injectFault(TimePoint now);
    void injectServerLinkFault(TimePoint now);
    void injectStoreFault(TimePoint now);
    void injectGatewayFault(TimePoint now);
    void injectOperationalEvent(TimePoint now);
    void startServerSignal(TimePoint now);
    void startEvacuation(TimePoint now);
    void startColdPhase(TimePoint now);
    void startLeaving(TimePoint now);
    void startTrouble(TimePoint now);
    void startOutage(TimePoint now);
    void scheduleEnd(TimePoint at, std::function<void()> end);

    Fleet &fleet_;
    std::mt19937_64 random_;
    /// Separate generator for server signals, so that they don't change a seed's other faults.
    std::mt19937_64 signalRandom_;
    /// The same for evacuations.
    std::mt19937_64 evacuationRandom_;
    /// Separate generator for cold phases, for the same reason.
    std::mt19937_64 coldRandom_;
    /// The same for servers that leave.
    std::mt19937_64 leavingRandom_;
    /// The same for broken answers.
    std::mt19937_64 troubleRandom_;
    /// The same for outages of the store in which all gateways are killed.
    std::mt19937_64 outageRandom_;
    /// Whether the store as a whole may be away. Otherwise only single calls fail: a server that
    /// leaves while the store is away is checked only after that.
    bool storeMayBeAway_;
    std::function<void(const std::string &)> log_;
    GatewayStops stops_;
    std::vector<ScheduledEnd> scheduledEnds_;
    TimePoint nextAt_;
    TimePoint nextSignalAt_;
    TimePoint nextEvacuationAt_;
    TimePoint nextColdAt_;
    TimePoint nextLeavingAt_;
    TimePoint nextTroubleAt_;
    TimePoint nextOutageAt_ = TimePoint::max();
    /// The server that leaves next.
    std::size_t nextLeaver_ = linkedServerCount;
};

} // namespace wisteria::soak
