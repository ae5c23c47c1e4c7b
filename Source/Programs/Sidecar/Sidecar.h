#pragma once

#include <memory>

#include "Process/Error.h"
#include "platform/ProcessSettings.h"

namespace wisteria {

/// The process beside a model engine: tells the gateways its load, and has its rank follow the
/// group's leader. One of the sidecars of a service leads.
class Sidecar
{
public:
    explicit Sidecar(platform::ProcessSettings settings);
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
