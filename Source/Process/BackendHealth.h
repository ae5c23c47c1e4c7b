#pragma once

#include <functional>
#include <optional>

#include "Connection/BackendClient.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// What a health check says of the backend server.
enum class BackendCondition {
    Up, ///< It answered.
    Stalled, ///< It took the question and gave no answer in time; what runs may still end well.
    Dead, ///< Nobody listens, or the connection broke.
};

/// Which checks are under way, and what they may be believed.
struct HealthChecks
{
    bool underWay = false;
    /// A run's connection broke while the check was under way.
    bool cutSince = false;
};

/// A run's connection broke; its cause has to be found out.
/// @return Whether to start a check now.
bool checkAfterCut(HealthChecks &checks);

/// A check ended.
/// @return What it says, or nothing when another one has to be started: a check that was begun
/// before a connection broke may have been answered before the death that broke it.
std::optional<BackendCondition> checkEnded(HealthChecks &checks, BackendCallEnd end);

/// Watches whether the backend server lives, on its agent's traffic loop.
class BackendHealth
{
public:
    /// @param seen Called with the end of each check that may be believed.
    BackendHealth(EventLoop &loop, BackendClient &backend,
                  std::function<void(BackendCondition)> seen);

    /// Begins to check; goes on until the loop stops.
    void start();

    /// Checks now, since a run's connection broke.
    void noteCut();

private:
    void check();

    EventLoop &loop_;
    BackendClient &backend_;
    std::function<void(BackendCondition)> seen_;
    HealthChecks checks_;
};

} // namespace wisteria
