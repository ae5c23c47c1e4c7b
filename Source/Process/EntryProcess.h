#pragma once

#include <memory>

#include "Process/EntrySettings.h"

namespace wisteria {

/// The wisteria-entry program, which accepts callers' requests and sends them to agents: traffic
/// threads, the control loop and the reader of the log.
class EntryProcess
{
public:
    explicit EntryProcess(EntrySettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Serves until SIGTERM or SIGINT, then drains and returns when no request is open. Prints
    /// "ready ..." with the addresses on standard output once it serves.
    /// @return BadSettings if it can't listen on an address.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
