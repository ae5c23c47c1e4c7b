#include "Programs/Bench/LoadReport.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

constexpr long firstErrorStatus = 400;

nlohmann::json renderLatencies(std::vector<microseconds> &latencies)
{
    std::sort(latencies.begin(), latencies.end());
    return {
        {"p50", percentile(latencies, 0.5).count()},
        {"p90", percentile(latencies, 0.9).count()},
        {"p99", percentile(latencies, 0.99).count()},
        {"p999", percentile(latencies, 0.999).count()},
        {"max", percentile(latencies, 1.0).count()},
    };
}

} // namespace

void addTally(LoadTally &sum, const LoadTally &part)
{
    sum.latencies.insert(sum.latencies.end(), part.latencies.begin(), part.latencies.end());
    for (const auto &[name, count] : part.outcomes)
        sum.outcomes[name] += count;
    sum.crossed += part.crossed;
}

microseconds percentile(const std::vector<microseconds> &sorted, double share)
{
    if (sorted.empty())
        return microseconds(0);
    const auto rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

std::string outcomeName(long status, bool complete, const std::string &body)
{
    if (status == 0)
        return "connection_failed";
    if (!complete)
        return "cut";
    if (status < firstErrorStatus)
        return "answer";
    const auto refusal = nlohmann::json::parse(body, nullptr, false);
    if (refusal.is_object() && refusal.contains("outcome"))
        return refusal.value("outcome", "") + "/" + refusal.value("reason", "");
    return "status_" + std::to_string(status);
}

nlohmann::json renderTally(LoadTally tally, std::chrono::duration<double> elapsed)
{
    std::uint64_t requests = 0;
    for (const auto &[name, count] : tally.outcomes)
        requests += count;
    return {
        {"requests", requests},
        {"seconds", elapsed.count()},
        {"requests_per_second", static_cast<double>(requests) / elapsed.count()},
        {"latency_us", renderLatencies(tally.latencies)},
        {"outcomes", tally.outcomes},
        {"crossed", tally.crossed},
    };
}

} // namespace wisteria
