#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Soak/KeepAliveCaller.h"
#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// Load of the service "held".
struct HeldLoad
{
    std::size_t callers = 0;
    /// Slots of each of its servers.
    int slots = 0;
    /// Longest run, for one request in eight; the others take at most a sixteenth of it.
    milliseconds longestRun{0};
};

/// Returns a load drawn from a seed: runs from a few milliseconds to beyond the grace period, with
/// slots for all requests or with too few.
HeldLoad heldLoadOf(std::uint64_t seed);

/// Number of requests by outcome.
struct HeldCounts
{
    std::size_t sent = 0; ///< On connections that a gateway had accepted.
    std::size_t complete = 0; ///< 2xx with the whole body.
    std::size_t cutStreams = 0; ///< 2xx that ended as cut off.
    std::size_t otherStatus = 0;
    std::size_t noStatus = 0;
};

/// Returns the counts as text.
std::string textOf(const HeldCounts &held);

/// Servers of the service "held", behind links without faults, and callers of it that ask again at
/// once: on kept and new connections, for plain answers and streams, one request or two at once,
/// with bodies sent whole or in parts, on routes that may and may not be repeated.
class StopCallers
{
public:
    /// Starts the servers.
    StopCallers(Fleet &fleet, std::uint64_t seed, const HeldLoad &load);
    ~StopCallers();
    StopCallers(const StopCallers &) = delete;
    StopCallers &operator=(const StopCallers &) = delete;

    /// Starts the callers.
    void start();
    /// Stops the callers and waits for them.
    void stop();
    HeldCounts counts() const;

private:
    void answer(const gateway_tests::SeenRequest &request, gateway_tests::ScriptPeer &peer);
    bool wait(milliseconds time, const gateway_tests::ScriptPeer &peer) const;
    void run(std::size_t number, std::uint64_t seed);
    void noteAnswer(const std::string &id, const gateway_tests::CallResult &answer);

    Fleet &fleet_;
    const std::uint64_t seed_;
    const HeldLoad load_;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    HeldCounts counts_;
    std::vector<std::unique_ptr<gateway_tests::ScriptedServer>> servers_;
    std::vector<std::thread> threads_;
};

/// Checks for each request without a status that the gateway had not read it: no server has seen it
/// and no line of the gateway names it.
/// @return Descriptions of the requests that gateways had not read.
std::vector<std::string> checkUnanswered(Fleet &fleet);

} // namespace wisteria::soak
