#pragma once

#include <functional>
#include <random>
#include <vector>

#include "Process/Time.h"
#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// Draws faults from a seed and brings them upon a fleet; they come in series and overlap.
class SoakFaults
{
public:
    /// @param tell Told each fault as one line.
    SoakFaults(Fleet &fleet, std::uint64_t seed, std::function<void(const std::string &)> tell);

    /// Ends the faults whose time is over, and begins another one now and then.
    void work(TimePoint now);

    /// Ends all faults.
    void heal();

private:
    struct Ending
    {
        TimePoint at;
        std::function<void()> end;
    };

    std::size_t below(std::size_t bound);
    milliseconds between(int low, int high);
    void begin(TimePoint now);
    void harmServerLink(TimePoint now);
    void harmStore(TimePoint now);
    void harmGateway(TimePoint now);
    void planWork(TimePoint now);
    void putInNeed(TimePoint now);
    void until(TimePoint at, std::function<void()> end);

    Fleet &fleet_;
    std::mt19937_64 random_;
    /// Needs of servers are drawn apart: the series of the other faults stays that of its seed.
    std::mt19937_64 needsRandom_;
    std::function<void(const std::string &)> tell_;
    std::vector<Ending> endings_;
    TimePoint nextAt_;
    TimePoint nextNeedAt_;
};

} // namespace wisteria::soak
