#pragma once

#include <cstdint>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// What the kernel says a process has used.
struct ProcessUsage
{
    microseconds processorTime = microseconds(0);
    std::uint64_t residentBytes = 0;
};

/// Reads the usage of a running process.
/// @return NotFound when there is no such process.
Result<ProcessUsage> readProcessUsage(pid_t pid);

/// Follows the usage of one process over a run.
class ProcessWatch
{
public:
    explicit ProcessWatch(pid_t pid) : pid_(pid) { }

    /// Takes one sample; the first one is what the others are compared with.
    Result<void> sample();

    /// Renders what was used since the first sample.
    nlohmann::json render(std::uint64_t requests) const;

private:
    pid_t pid_;
    bool sampled_ = false;
    ProcessUsage first_;
    ProcessUsage last_;
    std::uint64_t maxResidentBytes_ = 0;
};

} // namespace wisteria
