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
    /// URLs that the requests use in turn.
    std::vector<std::string> urls;
    /// Headers of each request, "Name: value".
    std::vector<std::string> headers;
    /// Body; "%" stands for the request's mark, which the answer must echo.
    std::string body;
    /// Whether each request gets a fresh idempotency key and counts as not idempotent.
    bool keyed = false;
    /// Time between the due times of requests; zero sends a request as soon as an answer arrives.
    std::chrono::nanoseconds interval = std::chrono::nanoseconds(0);
    /// Maximum number of concurrent requests, each on a separate connection.
    std::uint32_t connections = 1;
    std::uint64_t requests = 1;
    /// Prefix of each request's mark; unique per worker.
    std::string markPrefix;
    milliseconds timeout = milliseconds(30000);
};

/// Sends a plan's requests from one thread and measures latencies. At a set rate the load is
/// open-loop: the latency of a request that waits for a free connection counts from its due time.
class LoadWorker
{
public:
    explicit LoadWorker(LoadPlan plan);
    ~LoadWorker();
    LoadWorker(const LoadWorker &) = delete;
    LoadWorker &operator=(const LoadWorker &) = delete;

    /// Sends all requests and waits for the last answer.
    LoadTally run();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
