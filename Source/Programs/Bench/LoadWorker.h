#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Process/Time.h"
#include "Programs/Bench/LoadReport.h"

namespace wisteria {

/// The requests that one worker sends.
struct LoadPlan
{
    /// Addresses that take turns.
    std::vector<std::string> urls;
    /// Headers of each request, "Name: value".
    std::vector<std::string> headers;
    /// Body; "%" stands for the request's mark, which the answer must echo.
    std::string body;
    /// Whether each request gets a fresh idempotency key and counts as not idempotent.
    bool keyed = false;
    /// Time between the moments requests are due; zero sends as fast as answers come.
    std::chrono::nanoseconds interval = std::chrono::nanoseconds(0);
    /// Requests that may be on their way at once, each on a connection of its own.
    std::uint32_t connections = 1;
    std::uint64_t requests = 1;
    /// Begins each request's mark; differs from worker to worker.
    std::string markPrefix;
    milliseconds timeout = milliseconds(30000);
};

/// Sends a plan's requests from one thread and times the answers. At a set rate the load is open:
/// a request that has to wait for a free connection is timed from the moment it was due.
class LoadWorker
{
public:
    explicit LoadWorker(LoadPlan plan);
    ~LoadWorker();
    LoadWorker(const LoadWorker &) = delete;
    LoadWorker &operator=(const LoadWorker &) = delete;

    /// Sends every request and waits for the last answer.
    LoadTally run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
