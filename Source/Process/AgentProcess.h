#pragma once

#include <memory>

#include "Process/AgentSettings.h"

namespace wisteria {

/// The wisteria-agent program, which runs beside a backend server and admits the requests that
/// entries send to it: the traffic thread, the control loop and the reader of the log.
class AgentProcess
{
public:
    explicit AgentProcess(AgentSettings settings);
    ~AgentProcess();
    AgentProcess(const AgentProcess &) = delete;
    AgentProcess &operator=(const AgentProcess &) = delete;

    /// Serves until SIGTERM or SIGINT, then drains and returns. Prints "ready ..." with the
    /// addresses on standard output once it serves.
    /// @return BadSettings if it can't listen on an address.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
