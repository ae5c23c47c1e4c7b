#pragma once

#include <atomic>

#include "Process/AdminSettings.h"

namespace wisteria {

/// Runs wisteria-admin: one control thread that follows the log and writes snapshots, gRPC's
/// threads for operators, and a page of metrics.
class AdminProcess
{
public:
    explicit AdminProcess(AdminSettings settings);
    ~AdminProcess();

    /// Serves until a signal asks to stop (SIGTERM or SIGINT), then lets calls end.
    /// @return BadSettings when an address or file can't be had.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
