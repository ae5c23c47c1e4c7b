#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Process/Time.h"

namespace wisteria {

/// Results of the requests that one worker, or all workers together, sent.
struct LoadTally
{
    /// Time from the moment each answered request was due to its answer's last byte.
    std::vector<microseconds> latencies;
    /// Number of requests by outcome, such as "answer", "not_run/queue_full" or "cut".
    std::map<std::string, std::uint64_t> outcomes;
    /// Answers that did not contain the mark of their request.
    std::uint64_t crossed = 0;
};

/// Adds the figures of one tally to another.
void addTally(LoadTally &sum, const LoadTally &part);

/// The value that the given share of the sorted latencies does not exceed (nearest rank).
/// @param share From 0 to 1.
/// @return Zero when there are no latencies.
microseconds percentile(const std::vector<microseconds> &sorted, double share);

/// Name of a request's outcome in the report.
/// @param status HTTP status; 0 when the connection failed before one came.
/// @param complete Whether the answer was received up to its end.
std::string outcomeName(long status, bool complete, const std::string &body);

/// Renders the tally as the report's JSON; sorts its latencies.
nlohmann::json renderTally(LoadTally tally, std::chrono::duration<double> elapsed);

} // namespace wisteria
