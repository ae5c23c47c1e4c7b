#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "Gateway/CrashingServer.h"
#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// Servers of the service "crashing", callers that repeat requests which crash them, and callers of
/// sound requests beside them.
class SoakPoison
{
public:
    SoakPoison(Fleet &fleet, std::uint64_t seed);
    ~SoakPoison();
    SoakPoison(const SoakPoison &) = delete;
    SoakPoison &operator=(const SoakPoison &) = delete;

    /// Stops the callers and checks how often each poison request reached servers after three of
    /// its copies had ended with theirs, whatever was done to the gateways meanwhile.
    void finish();

    std::size_t crashes() const;
    std::size_t servedSound() const { return servedSound_; }

private:
    void repeatPoison(std::size_t number, milliseconds interval);
    void sendSound();
    void stop();

    Fleet &fleet_;
    std::mt19937_64 random_;
    /// Deadline of every second poison request.
    milliseconds shortDeadline_{0};
    std::vector<std::unique_ptr<gateway_tests::CrashingServer>> servers_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> servedSound_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace wisteria::soak
