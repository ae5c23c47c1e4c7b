#pragma once

#include <memory>

#include "Process/AgentSettings.h"

namespace wisteria {

/// The whole of wisteria-agent: the traffic thread, the control loop and the reader of the log.
class AgentProcess
{
public:
    explicit AgentProcess(AgentSettings settings);
    ~AgentProcess();
    AgentProcess(const AgentProcess &) = delete;
    AgentProcess &operator=(const AgentProcess &) = delete;

    /// Serves until SIGTERM or SIGINT and then until nothing runs. Prints "ready ..." with the
    /// addresses on standard output once it serves.
    /// @return BadSettings when an address can't be had.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
