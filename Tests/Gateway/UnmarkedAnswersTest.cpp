#include <algorithm>
#include <future>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/CrashingFleet.h"
#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

constexpr milliseconds workTime{300};

/// Has many copies of a popular request in flight when a server crashes.
void crashUnderPopularRequest(CrashingFleet &fleet)
{
    constexpr double perSecond = 100;
    const auto maker = [](const std::string &id, std::size_t) {
        return requestFor("/again/popular", id);
    };
    auto popular = std::async(std::launch::async, [&] {
        return fleet.gateways().sendAtRate(maker, perSecond, 3 * workTime);
    });
    sleepUntil(monotonicNow() + 2 * workTime);
    fleet.crashAtOnce(1);
    popular.get();
}

/// Sends the request again and again, one copy at a time.
std::vector<int> statusesOfRepeats(const GatewayFleet &gateways)
{
    constexpr std::size_t repeats = 15;
    std::vector<int> statuses;
    for (std::size_t i = 0; i < repeats; ++i) {
        const std::string request = requestFor("/again/popular", "r" + std::to_string(i));
        statuses.push_back(callServer(gateways.callers(i % gateways.size()), request).status);
    }
    return statuses;
}

} // namespace

// Guards against a popular request that is refused for good after one crash, as no answer to it
// counts as a completed run.
TEST_CASE("A popular request whose answers end with their connections survives a crash")
{
    const auto [status, withoutLength] =
        GENERATE(table<int, bool>({{200, true}, {304, false}, {404, false}, {404, true}}));
    CAPTURE(status, withoutLength);
    CrashingFleet fleet(
        2, {.workTime = workTime, .status = status, .answersWithoutLength = withoutLength}, 6);
    crashUnderPopularRequest(fleet);
    const std::vector<int> statuses = statusesOfRepeats(fleet.gateways());
    CAPTURE(statuses);
    constexpr int verdict = 400;
    CHECK(std::count(statuses.begin(), statuses.end(), verdict) == 0);
    constexpr std::ptrdiff_t lastOnes = 8;
    CHECK(std::count(statuses.end() - lastOnes, statuses.end(), status) == lastOnes);
}
