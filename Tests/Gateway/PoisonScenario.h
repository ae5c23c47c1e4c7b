#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "Gateway/CrashingFleet.h"

namespace wisteria::gateway_tests {

/// A poison request that its callers repeat before several gateways, and what is checked of it.
struct PoisonScenario
{
    std::string target = "/again/x";
    CrashingServerPlan plan{};
    std::size_t gateways = 4;
    std::size_t servers = CrashingFleet::serverCount;
    std::size_t poisonRequests = 1;
    /// Callers that repeat each poison request at the same time.
    std::size_t callers = 1;
    milliseconds interval{300};
    /// Deadline of every second call of a caller; zero for the usual one.
    milliseconds shortDeadline{0};
    milliseconds runTime{9000};
    /// Each proper request is another one; otherwise all are the same, a popular one.
    bool distinctOthers = false;
    bool restartsGateways = false;
    /// Gateways are restarted all at once rather than in turn.
    bool restartsAllAtOnce = false;
    bool storeSilent = false;
    /// Called several times a second while requests are sent; empty for nothing.
    std::function<void(CrashingFleet &)> disturb{};
    /// Crashes of each poison request in all: it takes down three backend servers, hardly more.
    std::size_t maxCrashes = 4;
    /// The last part of the run, in which the proper requests have to be served.
    double servedPart = 0.5;
};

/// Checks that a poison request reaches servers at most three times later than three seconds after
/// the third crash, and after the third of its copies ended with its server, that the proper
/// requests are served and none is turned away, and that each gateway then answers the poison
/// request with a status that callers take as final.
void checkPoisonBound(const PoisonScenario &scenario);

std::string requestWithBody(const std::string &target, const std::string &id,
                            const std::string &body);

/// Sends a request with this body to the gateways in turn until the end.
/// @param shortDeadline Deadline of every second call; zero for the usual one.
std::vector<CallResult> repeatUntil(TimePoint end, milliseconds interval,
                                    const GatewayFleet &gateways, const std::string &target,
                                    const std::string &body,
                                    milliseconds shortDeadline = milliseconds(0));

} // namespace wisteria::gateway_tests
