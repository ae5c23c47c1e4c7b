#pragma once

#include <functional>
#include <optional>

#include "Connection/BackendClient.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// Condition of the backend server according to a health check.
enum class BackendCondition {
    Up, ///< It answered the check.
    Stalled, ///< It accepted the check but didn't answer in time; its runs may still succeed.
    Dead, ///< The connection was refused or lost.
};

/// State of the health check, and whether its result may be out of date.
struct HealthCheckState
{
    bool inProgress = false;
    /// The connection of a run was lost while the check was in progress.
    bool connectionLost = false;
};

/// Records that the connection of a run was lost; a check has to find the cause.
/// @return Whether to start a check now.
bool shouldCheckAfterLoss(HealthCheckState &state);

/// Records the end of a check.
/// @return The condition, or nothing if another check has to be started: if a check began before a
/// connection was lost, the backend server may have answered it before it died.
std::optional<BackendCondition> finishCheck(HealthCheckState &state, BackendCallEnd end);

/// Checks the health of the backend server periodically, on the agent's traffic loop.
class BackendHealth
{
public:
    /// @param onCondition Called with the result of each check that is not out of date.
    BackendHealth(EventLoop &loop, BackendClient &backend,
                  std::function<void(BackendCondition)> onCondition);

    /// Starts periodic checks; they continue until the loop stops.
    void start();

    /// Starts a check now, because the connection of a run was lost.
    void noteConnectionLost();

private:
    void check();

    EventLoop &loop_;
    BackendClient &backend_;
    std::function<void(BackendCondition)> onCondition_;
    HealthCheckState checkState_;
};

} // namespace wisteria
