#include "Soak/RollingStops.h"

#include <filesystem>
#include <iostream>

#include <poll.h>

#include "Soak/StopCallers.h"

namespace wisteria::soak {

namespace {

constexpr int gatewayCount = 2;
constexpr HeldLoad load{.callers = 48, .slots = 64, .longestRun = milliseconds(1000)};
/// Below it, the run was too small to say anything.
constexpr std::size_t fewestRequests = 2000;
/// Time in which both gateways serve between two stops.
constexpr int calmMilliseconds = 300;

/// Stops gateways in turn and starts them again.
void stopInTurn(Fleet &fleet, int stops)
{
    for (int i = 0; i < stops; ++i) {
        ::poll(nullptr, 0, calmMilliseconds);
        const std::size_t number = static_cast<std::size_t>(i) % fleet.gateways().size();
        if (!fleet.gateways()[number]->stop())
            fleet.recorder().noteViolation("gateway-" + std::to_string(number)
                                           + " did not exit with 0 in its grace period");
        if (!fleet.startGateways())
            fleet.recorder().noteViolation("gateways were not ready in time");
    }
}

} // namespace

bool runRollingStops(const std::string &program, const std::string &folder, int stops)
{
    const std::string logs = folder + "/rolling";
    std::filesystem::remove_all(logs);
    std::filesystem::create_directories(logs);
    Fleet fleet(program, logs, gatewayCount);
    StopCallers callers(fleet, static_cast<std::uint64_t>(stops), load);
    if (!fleet.startGateways()) {
        std::cout << "rolling stops: the gateways were not ready in time" << std::endl;
        return false;
    }
    callers.start();
    stopInTurn(fleet, stops);
    callers.stop();
    fleet.recorder().checkRefused();
    const std::vector<std::string> unread = checkUnanswered(fleet);
    const HeldCounts counts = callers.counts();
    for (const std::string &request : unread)
        fleet.recorder().noteViolation(request + "; the gateway did not read it");
    if (counts.sent < fewestRequests)
        fleet.recorder().noteViolation("too few requests were sent");
    std::cout << "rolling stops: " << stops << " stops; " << textOf(counts) << std::endl;
    const std::vector<std::string> violations = fleet.recorder().violations();
    for (const std::string &what : violations)
        std::cout << "  violation: " << what << '\n';
    if (violations.empty())
        std::filesystem::remove_all(logs);
    else
        std::cout << "  logs of the gateways: " << logs << std::endl;
    return violations.empty();
}

} // namespace wisteria::soak
