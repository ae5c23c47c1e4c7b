#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Soak/KeptCaller.h"
#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// How many requests ended in which way.
struct SoakCounts
{
    std::size_t asked = 0;
    std::size_t whole = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t cut = 0;
};

/// Callers that ask all gateways for all kinds of requests and check each answer.
class SoakClients
{
public:
    SoakClients(Fleet &fleet, int clients);
    /// Stops the callers and waits for them.
    ~SoakClients();
    SoakClients(const SoakClients &) = delete;
    SoakClients &operator=(const SoakClients &) = delete;

    /// Counts since the last call.
    SoakCounts takeCounts();

    /// Ids that were told not to have run.
    std::vector<std::string> refusedIds() const;

    void stop();

private:
    void work(int client);
    using Callers = std::vector<std::unique_ptr<KeptCaller>>;
    void ask(Callers &callers, int client, int number);
    void check(const std::string &id, const std::string &kind,
               const gateway_tests::CallResult &answer);

    Fleet &fleet_;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    SoakCounts counts_;
    std::vector<std::string> refused_;
    std::vector<std::thread> threads_;
};

} // namespace wisteria::soak
