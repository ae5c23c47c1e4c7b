#pragma once

#include <atomic>

#include "Process/AdminSettings.h"

namespace wisteria {

/// Runs wisteria-admin: one control thread that follows the log and writes snapshots, gRPC threads
/// for operators' calls, and an HTTP server for metrics.
class AdminProcess
{
public:
    explicit AdminProcess(AdminSettings settings);
    ~AdminProcess();

    /// Serves until SIGTERM or SIGINT, then waits up to 5 s for calls in flight to complete.
    /// @return BadSettings if an address can't be bound or a file can't be read.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
