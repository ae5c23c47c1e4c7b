// A randomized soak test of gateway processes. Callers, backend servers, the store and the proxies
// between them run in this process, and faults are injected by seed. Exits with 0 if no guarantee
// was violated; otherwise prints for each failed seed its violations and its faults.

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include <poll.h>

#include <tclap/CmdLine.h>

#include "Soak/RankSwitches.h"
#include "Soak/RollingStops.h"
#include "Soak/SoakClients.h"
#include "Soak/SoakEngines.h"
#include "Soak/SoakFaults.h"
#include "Soak/SoakForeignEntries.h"
#include "Soak/SoakPoison.h"
#include "Soak/StopCallers.h"

using namespace wisteria;
using namespace wisteria::soak;

namespace {

constexpr int gatewayCount = 2;
constexpr int clientCount = 12;
constexpr int coldClientCount = 8;
/// Time after the last fault until gateways have dropped unresponsive connections and reconnected
/// to the store.
constexpr milliseconds recoveryTime{5000};
constexpr milliseconds verificationTime{1500};
/// How long the store is unavailable during the evacuation after the faults.
constexpr milliseconds outageTime{3000};
/// Fraction of requests that must get a complete answer after recovery.
constexpr double minServedFraction = 0.97;

struct SoakPlan
{
    std::string program;
    std::string folder;
    seconds length{10};
};

void sleepFor(milliseconds time)
{
    ::poll(nullptr, 0, static_cast<int>(time.count()));
}

/// Counts the requests of a period without faults and checks that they are served.
SoakCounts verifyServed(Fleet &fleet, SoakClients &clients, const std::string &phase)
{
    clients.takeCounts();
    sleepFor(verificationTime);
    const SoakCounts counts = clients.takeCounts();
    const double servedFraction = static_cast<double>(counts.complete)
        / static_cast<double>(std::max<std::size_t>(1, counts.sent));
    if (servedFraction < minServedFraction)
        fleet.recorder().noteViolation(phase + " " + std::to_string(counts.complete) + " of "
                                       + std::to_string(counts.sent)
                                       + " requests got a complete answer");
    return counts;
}

/// Checks that requests arrive in a domain within the bound after the end of its evacuation.
void checkUsedAgain(Fleet &fleet, const std::string &domain)
{
    const std::size_t before = fleet.arrivalsIn(domain);
    const TimePoint end = monotonicNow() + evacuationBound;
    while (fleet.arrivalsIn(domain) == before) {
        if (monotonicNow() >= end) {
            fleet.recorder().noteViolation("no request arrives in domain " + domain
                                           + " after its evacuation");
            return;
        }
        sleepFor(milliseconds(10));
    }
}

/// Evacuates a domain after the faults. The store is not cut off before the evacuation is in force,
/// so each run checks its bound; and then during an outage of the store.
void checkEvacuation(Fleet &fleet, SoakClients &clients, const std::string &domain)
{
    fleet.setEvacuated(domain, true);
    sleepFor(evacuationBound);
    const std::size_t before = fleet.arrivalsIn(domain);
    verifyServed(fleet, clients, "during an evacuation");
    fleet.setStoreUnavailable(true);
    // Ends the reads that the store holds, so that the gateways notice the outage at once.
    fleet.resetStoreLink();
    sleepFor(outageTime);
    verifyServed(fleet, clients, "during an evacuation and an outage of the store");
    if (const std::size_t arrivals = fleet.arrivalsIn(domain) - before; arrivals > 0)
        fleet.recorder().noteViolation(std::to_string(arrivals) + " requests arrived in domain "
                                       + domain + " during its evacuation");
    fleet.setStoreUnavailable(false);
    fleet.setEvacuated(domain, false);
    checkUsedAgain(fleet, domain);
    verifyServed(fleet, clients, "after an evacuation");
}

void stopAll(Fleet &fleet)
{
    for (auto &gateway : fleet.gateways()) {
        if (gateway->exitedUnexpectedly())
            fleet.recorder().noteViolation("a gateway exited unexpectedly");
        else if (gateway->running() && !gateway->stop())
            fleet.recorder().noteViolation("a gateway did not shut down cleanly after SIGTERM");
    }
}

/// Runs the soak with one seed and prints its result.
/// @return Whether no guarantee was violated.
bool runSeed(const SoakPlan &plan, std::uint64_t seed)
{
    std::vector<std::string> faultLog;
    const std::string folder = plan.folder + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    Fleet fleet(plan.program, folder, gatewayCount);
    StopCallers stopCallers(fleet, seed, heldLoadOf(seed));
    if (!fleet.startGateways()) {
        std::cout << "seed " << seed << ": the gateways were not ready in time" << std::endl;
        return false;
    }
    const TimePoint begun = monotonicNow();
    SoakFaults faults(fleet, seed, [&](const std::string &what) {
        faultLog.push_back(std::to_string(remaining(begun, monotonicNow()).count()) + " ms "
                           + what);
    });
    SoakClients clients(fleet, clientCount, coldClientCount);
    SoakPoison poison(fleet, seed);
    SoakEngines engines(fleet, seed);
    stopCallers.start();
    SoakForeignEntries foreignEntries(fleet, seed);
    while (monotonicNow() - begun < plan.length) {
        faults.advance(monotonicNow());
        sleepFor(milliseconds(10));
    }
    faults.endAll();
    const SoakCounts underFaults = clients.takeCounts();
    sleepFor(recoveryTime);
    const SoakCounts afterRecovery = verifyServed(fleet, clients, "after recovery");
    engines.checkFreezes();
    checkEvacuation(fleet, clients, Fleet::domains().at(seed % Fleet::domains().size()));
    clients.stop();
    engines.stop();
    poison.finish();
    stopCallers.stop();
    if (afterRecovery.servedCold == 0)
        fleet.recorder().noteViolation(
            "after recovery no request of the service \"cold\" is served");
    stopAll(fleet);
    fleet.recorder().checkRefused();
    const std::vector<std::string> unread = checkUnanswered(fleet);
    const HeldCounts held = stopCallers.counts();
    const std::vector<std::string> violations = fleet.recorder().violations();
    std::cout << "seed " << seed << ": " << faultLog.size() << " faults; " << underFaults.sent
              << " requests under faults, " << underFaults.complete << " complete, "
              << underFaults.refused << " refused, " << underFaults.failed << " failed, "
              << underFaults.truncated << " truncated, " << underFaults.notAccepted
              << " not accepted; " << faults.plannedStops() << " planned stops; after recovery "
              << afterRecovery.complete << " of " << afterRecovery.sent << " complete; "
              << underFaults.servedCold << " served by servers that may be cold; "
              << poison.crashes() << " servers crashed by poison requests, " << poison.servedSound()
              << " sound ones served beside them; " << engines.freezes() << " VMs frozen, "
              << engines.completeStreams() << " streams complete there; "
              << foreignEntries.written() << " entries of another writer; " << fleet.brokenAnswers()
              << " broken answers; " << textOf(held) << ", " << unread.size()
              << " of all requests not read; " << violations.size() << " violations" << std::endl;
    for (const std::string &request : unread)
        std::cout << "  not read: " << request << '\n';
    for (const std::string &what : violations)
        std::cout << "  violation: " << what << '\n';
    if (!violations.empty()) {
        for (const std::string &fault : faultLog)
            std::cout << "  " << fault << '\n';
        std::cout << "  logs of the gateways: " << folder << std::endl;
    } else {
        std::filesystem::remove_all(folder);
    }
    return violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    TCLAP::CmdLine line("Runs gateways under random faults and checks the guarantees to callers "
                        "and backend servers.",
                        ' ', "0.2.0");
    TCLAP::ValueArg<std::string> program("", "program", "Path of the gateway program", true, "",
                                         "path", line);
    TCLAP::ValueArg<std::string> folder("", "folder", "Folder that keeps the logs of failed seeds",
                                        false, "/tmp/wisteria-soak", "path", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "First seed", false, 1, "number", line);
    TCLAP::ValueArg<int> seeds("", "seeds", "Number of seeds", false, 1, "number", line);
    TCLAP::ValueArg<int> length("", "seconds", "Duration of faults for each seed", false, 10,
                                "number", line);
    TCLAP::ValueArg<int> stops("", "rolling-stops",
                               "Number of planned stops in turn without other faults, instead of "
                               "seeds",
                               false, 0, "number", line);
    TCLAP::ValueArg<std::string> sidecar("", "rank-switches",
                                         "Path of the sidecar program: only its rank switches are "
                                         "run, a group for each seed",
                                         false, "", "path", line);
    line.parse(argc, argv);
    if (stops.getValue() > 0)
        return runRollingStops(program.getValue(), folder.getValue(), stops.getValue()) ? 0 : 1;
    const SoakPlan plan{program.getValue(), folder.getValue(), seconds(length.getValue())};
    int failed = 0;
    for (int i = 0; i < seeds.getValue(); ++i) {
        const std::uint64_t number = seed.getValue() + static_cast<std::uint64_t>(i);
        const bool passed = sidecar.getValue().empty()
            ? runSeed(plan, number)
            : runRankSwitches(sidecar.getValue(), plan.folder, number);
        failed += passed ? 0 : 1;
    }
    std::cout << seeds.getValue() - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
