#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// Planned stops of gateways, which are started again: of one, of all at once or one after the
/// other, beside whatever else happens to them. Each must exit with 0 within its grace period.
class GatewayStops
{
public:
    GatewayStops(Fleet &fleet, std::uint64_t seed, std::function<void(const std::string &)> log);

    /// Begins stops at random intervals, and starts gateways again that have stopped.
    void advance(TimePoint now);
    /// Waits for the stops that go on, and starts all gateways.
    void finish();
    /// Number of stops so far.
    std::size_t begun() const { return begun_; }

private:
    enum class Beside {
        Nothing,
        SecondSignal, ///< SIGTERM again.
        Reload, ///< SIGHUP before and after it.
        Change, ///< A configuration is published just before it.
        SilentStore, ///< The store can't be reached from just before it until a second after.
    };
    struct LaterStep
    {
        TimePoint at;
        std::function<void()> step;
    };

    int draw(int low, int high);
    void planStops();
    void stop(std::size_t gateway, TimePoint now);
    void checkEnds(TimePoint now);
    void runLaterSteps(TimePoint now);
    bool anyStopping() const;

    Fleet &fleet_;
    std::mt19937_64 random_;
    std::function<void(const std::string &)> log_;
    std::size_t begun_ = 0;
    TimePoint nextAt_;
    /// Gateways to stop.
    std::deque<std::size_t> toStop_;
    /// Whether the next one waits until all others run again.
    bool inTurn_ = false;
    std::vector<LaterStep> laterSteps_;
};

} // namespace wisteria::soak
