#include "Soak/RankSwitches.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Gateway/EngineVm.h"
#include "Soak/LoggedChild.h"
#include "Soak/RankEngines.h"

namespace wisteria::soak {

namespace {

constexpr milliseconds faultTime{25000};
constexpr milliseconds recoveryTime{12000};
constexpr milliseconds checkInterval{5};
constexpr milliseconds listInterval{100};
/// Ports of the sidecars' messages; all have the same one.
constexpr int firstMessagePort = 20000;
constexpr int messagePorts = 10000;

/// A sidecar that is killed and started again.
class SidecarProcess
{
public:
    SidecarProcess(std::string program, const std::string &folder, const Endpoint &engine,
                   std::uint16_t port)
        : program_(std::move(program)), messages_{engine.ip, port}
    {
        const std::string name = "side-" + std::to_string(engine.ip & 0xFF);
        settings_ = folder + "/" + name + ".conf";
        log_ = folder + "/" + name + ".log";
        const std::string ip = toText(messages_).substr(0, toText(messages_).find(':'));
        std::ofstream(settings_) << "node_name=" << name << "\nip=" << ip
                                 << "\nzone=a\ninternal_port_range=" << port
                                 << ",65535\nplatform.address=127.0.0.1:1\nlisten.ready=" << ip
                                 << ":1\napp=" << toText(engine) << "\n";
        start();
    }

    ~SidecarProcess() { kill(); }
    SidecarProcess(const SidecarProcess &) = delete;
    SidecarProcess &operator=(const SidecarProcess &) = delete;

    const Endpoint &messages() const { return messages_; }
    bool running() const { return pid_ > 0; }

    void start() { pid_ = startLogged(program_, settings_, log_); }

    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

private:
    std::string program_;
    std::string settings_;
    std::string log_;
    Endpoint messages_;
    pid_t pid_ = -1;
};

/// The sidecars of a group, of which some are killed at decisive orders.
class SidecarGroup
{
public:
    SidecarGroup(const std::string &program, const std::string &folder, RankEngines &engines,
                 std::uint64_t seed)
        : engines_(engines), random_(seed)
    {
        const auto port = static_cast<std::uint16_t>(draw(0, messagePorts - 1) + firstMessagePort);
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            const Endpoint engine = engines.endpoint(rank);
            list_.engines.push_back(engine);
            sidecars_.push_back(std::make_unique<SidecarProcess>(program, folder, engine, port));
        }
    }

    /// Sends the list of engines as a gateway does.
    void sendList(TimePoint now)
    {
        if (now < nextListAt_)
            return;
        nextListAt_ = now + listInterval;
        for (const auto &sidecar : sidecars_)
            gateway_tests::sendDatagram(sidecar->messages(), encodeMessage(list_));
    }

    void killSome(TimePoint now)
    {
        if (now < nextKillAt_ || !engines_.takeDecisiveOrder() || draw(0, 2) != 0)
            return;
        nextKillAt_ = now + milliseconds(draw(1200, 2500));
        const bool all = draw(0, 1) == 0;
        const std::size_t only = draw(0, 2) == 0 ? 1 : 0;
        for (std::size_t rank = 0; rank < sidecars_.size(); ++rank) {
            if (all || rank == only)
                sidecars_[rank]->kill();
        }
        startAt_ = now + milliseconds(draw(300, 1000));
        ++kills_;
    }

    void startKilled(TimePoint now)
    {
        if (now < startAt_)
            return;
        for (const auto &sidecar : sidecars_) {
            if (!sidecar->running())
                sidecar->start();
        }
    }

    int kills() const { return kills_; }

private:
    int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

    RankEngines &engines_;
    std::mt19937_64 random_;
    EngineList list_{.profile = profile, .engines = {}};
    std::vector<std::unique_ptr<SidecarProcess>> sidecars_;
    TimePoint nextListAt_;
    TimePoint nextKillAt_;
    TimePoint startAt_;
    int kills_ = 0;
};

void printLines(const RankEngines &engines)
{
    for (const std::string &line : engines.lines())
        std::cout << "  " << line << '\n';
}

} // namespace

bool runRankSwitches(const std::string &program, const std::string &folder, std::uint64_t seed)
{
    const std::string logs = folder + "/ranks-" + std::to_string(seed);
    std::filesystem::remove_all(logs);
    std::filesystem::create_directories(logs);
    // Addresses of their own, for soaks that run beside each other.
    constexpr std::uint32_t firstGroupIp = 0x7F200001;
    constexpr std::uint32_t addressesPerGroup = 16;
    constexpr std::uint32_t groups = 60000;
    RankEngines engines(
        firstGroupIp + static_cast<std::uint32_t>(seed % groups) * addressesPerGroup, seed);
    SidecarGroup sidecars(program, logs, engines, ~seed);
    const TimePoint begun = monotonicNow();
    const auto runFor = [&](milliseconds time, bool kills) {
        for (const TimePoint end = monotonicNow() + time; monotonicNow() < end;) {
            const TimePoint now = monotonicNow();
            sidecars.sendList(now);
            if (kills)
                sidecars.killSome(now);
            sidecars.startKilled(now);
            ::poll(nullptr, 0, static_cast<int>(checkInterval.count()));
        }
    };
    runFor(faultTime, true);
    engines.endFaults();
    const std::uint64_t underFaults = engines.switches();
    runFor(recoveryTime, false);
    const std::uint64_t later = engines.switches() - underFaults;
    const bool passed = engines.mixedPass() == 0 && later > 0;
    std::cout << "seed " << seed << ": ranks, " << remaining(begun, monotonicNow()).count()
              << " ms; " << sidecars.kills() << " kills; " << engines.lateOrders()
              << " orders executed late; " << engines.passes() << " passes; " << underFaults
              << " switches under faults, " << later << " afterwards; "
              << (engines.mixedPass() == 0
                      ? "no pass with two maps"
                      : "pass " + std::to_string(engines.mixedPass()) + " began with two maps")
              << std::endl;
    if (!passed)
        printLines(engines);
    return passed;
}

} // namespace wisteria::soak
