#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "Gateway/EngineVm.h"
#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// VMs with engines of the service "engine" that freeze one at a time, and callers of streams
/// there.
class SoakEngines
{
public:
    SoakEngines(Fleet &fleet, std::uint64_t seed);
    ~SoakEngines();
    SoakEngines(const SoakEngines &) = delete;
    SoakEngines &operator=(const SoakEngines &) = delete;

    /// Freezes VMs one after the other while no other fault lasts, and checks that each stream is
    /// complete before its caller would leave.
    void checkFreezes();

    /// Stops the callers and the freezes.
    void stop();

    std::size_t freezes() const { return freezes_; }
    std::size_t completeStreams() const { return complete_; }

private:
    void freezeRepeatedly();
    void callRepeatedly(std::size_t caller);
    void runStream(gateway_tests::EngineVm &vm, const gateway_tests::SeenRequest &request,
                   gateway_tests::ScriptPeer &peer);

    Fleet &fleet_;
    std::mt19937_64 random_;
    std::atomic<bool> stopping_ = false;
    /// Whether streams are checked against the time that callers wait.
    std::atomic<bool> onlyFreezes_ = false;
    std::atomic<std::size_t> freezes_ = 0;
    std::atomic<std::size_t> complete_ = 0;
    std::vector<std::unique_ptr<gateway_tests::EngineVm>> vms_;
    std::vector<std::thread> threads_;
};

} // namespace wisteria::soak
