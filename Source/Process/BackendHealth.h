#pragma once

#include <functional>
#include <optional>

#include "Connection/BackendClient.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// Condition of the backend server according to a health check.
enum class BackendCondition {
    Up, ///< It answered the check.
    Stalled, ///< It accepted the check but gave no answer in time; its runs may still succeed.
    Dead, ///< The connection was refused or lost.
};

/// State of the health check, and whether its result may be out of date.
struct HealthCheckState
{
    bool inProgress = false;
    /// The connection of a run was lost while the check was in progress.
    bool connectionLost = false;
};

/// Records that the connection of a run was lost. A check in progress may then be out of date.
/// @return True if no check is in progress, so that one has to be started.
bool noteLoss(HealthCheckState &state);

/// Records the end of a check.
/// @return The condition, or nothing if another check has to be started: if the check succeeded but
/// began before a connection was lost, the backend server may have answered before it died.
std::optional<BackendCondition> finishCheck(HealthCheckState &state, BackendCallEnd end);

/// Checks the health of the backend server periodically, on the agent's traffic loop.
class BackendHealth
{
public:
    /// @param onCondition Called with each condition that finishCheck() returns.
    BackendHealth(EventLoop &loop, BackendClient &backend,
                  std::function<void(BackendCondition)> onCondition);

    /// Starts periodic checks; they continue until the loop stops.
    void start();

    /// Call this when the connection of a run was lost. Starts a check, or repeats the check in
    /// progress if that one succeeds.
    void noteConnectionLost();

private:
    void check();

    EventLoop &loop_;
    BackendClient &backend_;
    std::function<void(BackendCondition)> onCondition_;
    HealthCheckState checkState_;
};

} // namespace wisteria
