#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Request/AdmissionQueue.h"
#include "Request/BackendRegistry.h"
#include "Request/PriorityLimits.h"

namespace wisteria::gateway_tests {

/// A request in the fleet.
struct FleetRequest
{
    std::size_t gateway = 0;
    std::uint32_t priority = 0;
    std::string organisation{};
    TimePoint arrived{};
    bool started = false;
    /// Its gateway has restarted since it arrived, so the gateway does not count it.
    bool gatewayRestarted = false;
    int passesLeft = 0;
    TimePoint lastEvent{};
    /// Its first event and all gaps are within the targets so far.
    bool onTime = true;
};

/// Parameters of one run.
struct FleetSetup
{
    std::size_t gateways = 20;
    std::size_t engines = 64;
    milliseconds duration{10'000};
    bool limits = true;
    bool starvationBound = true;
    bool fairQueueing = false;
    /// Requests a second in the whole fleet at a time since the start, by priority.
    std::function<double(std::uint32_t priority, milliseconds)> demand;
    /// Organisation of the next request; `uniform` is in [0, 1).
    std::function<std::string(double uniform)> organisation = [](double) { return std::string(); };
    /// Gateways that lose their state, and when.
    std::function<bool(std::size_t gateway, milliseconds)> restarts =
        [](std::size_t, milliseconds) { return false; };
    /// Callers send a refused request again at once, so many times.
    int immediateRetries = 0;
    std::uint64_t seed = 1;
};

/// Gateways in front of engines with slots and passes, in virtual time. They use the functions of
/// `Source/Request` and dispatchOrder(), but not Exchange and PriorityAdmission, whose admission
/// steps are written again here: a fault in those classes does not show.
/// The engines form two groups; a pass of a group takes as long as that of its busiest rank.
class PriorityFleet
{
public:
    explicit PriorityFleet(FleetSetup setup);
    ~PriorityFleet();

    /// Runs until all requests have ended.
    const std::deque<FleetRequest> &run();
    /// Starts that used the limit of the most urgent priority through the starvation bound.
    int starvedStarts() const { return starvedStarts_; }

    static const EngineProfile &profile();
    static constexpr milliseconds targetGap{110};
    static constexpr milliseconds targetLatency{200};

private:
    struct Gateway;
    struct Engine;

    void arrive(FleetRequest &request, TimePoint now);
    bool tryStart(Gateway &gateway, FleetRequest &request, TimePoint now);
    void dispatch(Gateway &gateway, TimePoint now);
    void refuse(FleetRequest &request, TimePoint now);
    std::size_t stepOf(Gateway &gateway, const FleetRequest &request, TimePoint now) const;
    std::size_t aheadOf(Gateway &gateway, const FleetRequest &request, TimePoint now) const;
    void endPass(std::size_t group, TimePoint now);
    void report(std::size_t engine, TimePoint now);
    std::unique_ptr<Gateway> newGateway() const;
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    FleetSetup setup_;
    PriorityLimits limits_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<Engine> engines_;
    std::vector<TimePoint> passEnds_;
    std::deque<FleetRequest> requests_;
    int starvedStarts_ = 0;
};

} // namespace wisteria::gateway_tests
