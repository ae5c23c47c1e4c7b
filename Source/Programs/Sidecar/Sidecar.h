#pragma once

#include <memory>

#include "Process/Error.h"
#include "Process/EventLog.h"
#include "platform/ProcessSettings.h"

namespace wisteria {

/// The process beside a model engine: tells the gateways its load, and has its rank follow the
/// group's leader. One of the sidecars of a service leads.
class Sidecar
{
public:
    /// Checks that the settings name all that the process needs.
    /// @return BadSettings that names what is missing.
    static Result<void> check(const platform::ProcessSettings &settings);

    explicit Sidecar(platform::ProcessSettings settings, const LogSettings &log = {});
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    /// Runs until it is told to stop.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
