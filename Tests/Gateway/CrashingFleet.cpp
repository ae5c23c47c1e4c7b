#include "Gateway/CrashingFleet.h"

#include <algorithm>

#include <arpa/inet.h>
#include <poll.h>

namespace wisteria::gateway_tests {

namespace {

const std::string retrySettings =
    "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=400\n";

} // namespace

CrashingFleet::CrashingFleet(std::size_t gateways, const CrashingServerPlan &plan,
                             std::size_t servers)
    : gateways_(gateways)
{
    const std::uint32_t firstServerAddress = unusedLoopbackAddresses();
    for (std::uint32_t i = 0; i < servers; ++i) {
        servers_.push_back(std::make_unique<CrashingServer>(
            gateways_.store, "i-" + std::to_string(i), firstServerAddress + i, plan));
    }
    gateways_.start(retrySettings);
}

void CrashingFleet::crashAtOnce(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        servers_[i]->crash();
}

void CrashingFleet::restartGatewaysInTurn(TimePoint end)
{
    constexpr milliseconds restartInterval{1500};
    for (std::size_t i = 0; monotonicNow() < end; ++i) {
        sleepUntil(monotonicNow() + restartInterval);
        gateways_.restart(i % gateways_.size());
    }
}

void CrashingFleet::restartAllGateways(TimePoint end)
{
    constexpr milliseconds restartInterval{3500};
    while (monotonicNow() + restartInterval < end) {
        sleepUntil(monotonicNow() + restartInterval);
        gateways_.restartAll();
    }
}

CrashHistory CrashingFleet::history() const
{
    CrashHistory all;
    for (const auto &server : servers_)
        all.merge(server->history());
    return all;
}

void sleepUntil(TimePoint due)
{
    const milliseconds left = remaining(monotonicNow(), due);
    ::poll(nullptr, 0, static_cast<int>(left.count()));
}

double servedShare(const std::vector<CallResult> &results, double lastShare)
{
    const auto skipped =
        static_cast<std::ptrdiff_t>(static_cast<double>(results.size()) * (1 - lastShare));
    const auto served =
        std::count_if(results.begin() + skipped, results.end(),
                      [](const CallResult &result) { return result.status == 200; });
    return static_cast<double>(served)
        / static_cast<double>(results.end() - results.begin() - skipped);
}

std::size_t countRejected(const std::vector<CallResult> &results)
{
    return static_cast<std::size_t>(
        std::count_if(results.begin(), results.end(), [](const CallResult &result) {
            return result.status >= 400 && result.status < 500;
        }));
}

} // namespace wisteria::gateway_tests
