#pragma once

#include <cstdint>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// Resources that a process uses, as /proc reports them.
struct ProcessUsage
{
    microseconds processorTime = microseconds(0);
    std::uint64_t residentBytes = 0;
};

/// Reads the usage of a running process.
/// @return NotFound when there is no such process.
Result<ProcessUsage> readProcessUsage(pid_t pid);

/// Measures the usage of one process over a run.
class ProcessWatch
{
public:
    explicit ProcessWatch(pid_t pid) : pid_(pid) { }

    /// Reads the usage once. The first sample is the baseline.
    /// @return NotFound when the process has ended.
    Result<void> sample();

    /// Renders the usage since the first sample as JSON.
    /// @param requests Number of requests that the processor time is divided by.
    nlohmann::json render(std::uint64_t requests) const;

private:
    pid_t pid_;
    bool sampled_ = false;
    ProcessUsage first_;
    ProcessUsage last_;
    std::uint64_t maxResidentBytes_ = 0;
};

} // namespace wisteria
