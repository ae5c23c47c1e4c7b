#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "Gateway/CrashingServer.h"
#include "Gateway/GatewayFleet.h"

namespace wisteria::gateway_tests {

/// Backend servers that may crash, behind several gateways.
class CrashingFleet
{
public:
    CrashingFleet(std::size_t gateways, const CrashingServerPlan &plan,
                  std::size_t servers = serverCount);

    GatewayFleet &gateways() { return gateways_; }
    CrashingServer &server(std::size_t index) { return *servers_[index]; }
    /// Crashes the first servers, as many as requested, at the same moment.
    void crashAtOnce(std::size_t count);
    /// Kills and starts the gateways in turn until a time.
    void restartGatewaysInTurn(TimePoint end);
    /// Kills all gateways at once and starts them again, several times until a time.
    void restartAllGateways(TimePoint end);

    CrashHistory history() const;

    static constexpr std::size_t serverCount = 12;

private:
    GatewayFleet gateways_;
    std::vector<std::unique_ptr<CrashingServer>> servers_;
};

void sleepUntil(TimePoint due);

/// Share of a run's last requests that were served.
/// @param lastShare Part of the run that counts, up to 1.
double servedShare(const std::vector<CallResult> &results, double lastShare);

/// Number of requests that were answered with a status between 400 and 499.
std::size_t countRejected(const std::vector<CallResult> &results);

} // namespace wisteria::gateway_tests
