#pragma once

#include <memory>

#include "Process/EntrySettings.h"

namespace wisteria {

/// The whole of wisteria-entry: traffic threads, the control loop and the reader of the log.
class EntryProcess
{
public:
    explicit EntryProcess(EntrySettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Serves until SIGTERM or SIGINT and then until no request is open. Prints "ready ..." with
    /// the addresses on standard output once it serves.
    /// @return BadSettings when an address can't be had.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
