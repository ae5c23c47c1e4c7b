// A randomized soak of gateways as real processes: callers, backend servers, the store and the
// links between them live here, and faults are brought upon them from a seed. Ends with 0 when no
// promise was broken, and else says what was broken, under which seed and after which faults.

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include <poll.h>

#include <tclap/CmdLine.h>

#include "Soak/SoakClients.h"
#include "Soak/SoakFaults.h"

using namespace wisteria;
using namespace wisteria::soak;

namespace {

constexpr int gatewayCount = 2;
constexpr int clientCount = 12;
/// After the last fault: connections that were silent are given up and gateways know the store
/// again.
constexpr milliseconds recoveryTime{5000};
constexpr milliseconds provingTime{1500};
/// Share of requests that must be answered whole once everything has recovered.
constexpr double leastServed = 0.97;

struct SoakPlan
{
    std::string program;
    std::string folder;
    seconds length{10};
};

void pauseFor(milliseconds time)
{
    ::poll(nullptr, 0, static_cast<int>(time.count()));
}

bool startAll(Fleet &fleet)
{
    for (auto &gateway : fleet.gateways())
        gateway->start();
    constexpr int tries = 200;
    for (int i = 0; i < tries; ++i) {
        bool all = true;
        for (const auto &gateway : fleet.gateways())
            all = all && gateway->ready();
        if (all)
            return true;
        pauseFor(milliseconds(25));
    }
    return false;
}

void checkRefused(Fleet &fleet, const SoakClients &clients)
{
    for (const std::string &id : clients.refusedIds()) {
        if (id.starts_with("once") && fleet.book().runs(id) > 0)
            fleet.book().noteBroken(id + " was told not to have run, and ran");
    }
}

void stopAll(Fleet &fleet)
{
    for (auto &gateway : fleet.gateways()) {
        if (gateway->endedByItself())
            fleet.book().noteBroken("a gateway ended although nobody asked it to");
        else if (gateway->running() && !gateway->stop())
            fleet.book().noteBroken("a gateway did not end in order after SIGTERM");
    }
}

/// @return Whether every promise was kept.
bool keepsPromises(const SoakPlan &plan, std::uint64_t seed)
{
    std::vector<std::string> told;
    const std::string folder = plan.folder + "/seed-" + std::to_string(seed);
    std::filesystem::create_directories(folder);
    Fleet fleet(plan.program, folder, gatewayCount);
    if (!startAll(fleet)) {
        std::cout << "seed " << seed << ": the gateways were not ready in time" << std::endl;
        return false;
    }
    const TimePoint begun = monotonicNow();
    SoakFaults faults(fleet, seed, [&](const std::string &what) {
        told.push_back(std::to_string(remaining(begun, monotonicNow()).count()) + " ms " + what);
    });
    SoakClients clients(fleet, clientCount);
    while (monotonicNow() - begun < plan.length) {
        faults.work(monotonicNow());
        pauseFor(milliseconds(10));
    }
    faults.heal();
    const SoakCounts troubled = clients.takeCounts();
    pauseFor(recoveryTime);
    clients.takeCounts();
    pauseFor(provingTime);
    const SoakCounts proved = clients.takeCounts();
    clients.stop();
    const double served = static_cast<double>(proved.whole)
        / static_cast<double>(std::max<std::size_t>(1, proved.asked));
    if (served < leastServed)
        fleet.book().noteBroken("after recovery " + std::to_string(proved.whole) + " of "
                                + std::to_string(proved.asked) + " were served");
    checkRefused(fleet, clients);
    stopAll(fleet);
    const std::vector<std::string> broken = fleet.book().broken();
    std::cout << "seed " << seed << ": " << told.size() << " faults; " << troubled.asked
              << " requests under faults, " << troubled.whole << " whole, " << troubled.refused
              << " refused, " << troubled.failed << " failed, " << troubled.cut
              << " cut; afterwards " << proved.whole << " of " << proved.asked << " whole; "
              << broken.size() << " broken" << std::endl;
    for (const std::string &what : broken)
        std::cout << "  broken: " << what << '\n';
    if (!broken.empty()) {
        for (const std::string &fault : told)
            std::cout << "  " << fault << '\n';
        std::cout << "  lines of the gateways: " << folder << std::endl;
    } else {
        std::filesystem::remove_all(folder);
    }
    return broken.empty();
}

} // namespace

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    TCLAP::CmdLine line("Runs gateways under random faults and checks what callers and backend "
                        "servers see.",
                        ' ', "0.2.0");
    TCLAP::ValueArg<std::string> program("", "program", "The gateway's program", true, "", "path",
                                         line);
    TCLAP::ValueArg<std::string> folder("", "folder", "Where lines of broken seeds stay", false,
                                        "/tmp/wisteria-soak", "path", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "First seed", false, 1, "number", line);
    TCLAP::ValueArg<int> seeds("", "seeds", "How many seeds", false, 1, "number", line);
    TCLAP::ValueArg<int> length("", "seconds", "How long faults go on, each seed", false, 10,
                                "number", line);
    line.parse(argc, argv);
    const SoakPlan plan{program.getValue(), folder.getValue(), seconds(length.getValue())};
    int failed = 0;
    for (int i = 0; i < seeds.getValue(); ++i) {
        if (!keepsPromises(plan, seed.getValue() + static_cast<std::uint64_t>(i)))
            ++failed;
    }
    std::cout << seeds.getValue() - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
