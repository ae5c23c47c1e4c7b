#pragma once

#include <memory>

#include "Process/Error.h"
#include "Process/EventLog.h"
#include "platform/ProcessSettings.h"

namespace wisteria {

/// The process beside a model engine. It sends the engine's load to the gateways and the leader's
/// orders to the engine. One sidecar of each group leads the group.
class Sidecar
{
public:
    /// Checks that the settings contain everything that a sidecar requires.
    /// @return BadSettings that names the missing setting.
    static Result<void> check(const platform::ProcessSettings &settings);

    explicit Sidecar(platform::ProcessSettings settings, const LogSettings &log = {});
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    /// Runs until SIGTERM or SIGINT.
    /// @return BadSettings when a setting is missing or an address can't be bound.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
