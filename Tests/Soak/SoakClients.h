#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Soak/KeepAliveCaller.h"
#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// Number of requests by outcome.
struct SoakCounts
{
    std::size_t sent = 0;
    std::size_t complete = 0; ///< 2xx with the whole body.
    std::size_t refused = 0; ///< 503.
    std::size_t failed = 0; ///< Other 5xx.
    std::size_t truncated = 0; ///< Incomplete or without an answer.
    std::size_t notAccepted = 0; ///< No gateway accepted the connection.
    std::size_t servedCold = 0; ///< 2xx of the service "cold", whose requests count nowhere else.
};

/// Records a violation if an answer is another request's, or has a body that is wrong or looks
/// whole and is not, or a status that blames the caller.
void checkAnswer(RunRecorder &recorder, const std::string &id, const std::string &expectedBody,
                 const gateway_tests::CallResult &answer);

/// Callers that send all kinds of requests to all gateways and check each answer.
class SoakClients
{
public:
    /// @param clients Callers of the service "all".
    /// @param coldClients Callers of the service "cold".
    SoakClients(Fleet &fleet, int clients, int coldClients);
    ~SoakClients();
    SoakClients(const SoakClients &) = delete;
    SoakClients &operator=(const SoakClients &) = delete;

    /// Returns the counts since the last call and resets them.
    SoakCounts takeCounts();

    /// Stops the callers and waits for them.
    void stop();

private:
    void run(int client);
    void runCold(int client);
    using Callers = std::vector<std::unique_ptr<KeepAliveCaller>>;
    void sendRequest(Callers &callers, int client, int number);
    void noteAnswer(const std::string &id, const std::string &kind, const KeepAliveCaller &caller,
                    const gateway_tests::CallResult &answer);

    Fleet &fleet_;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    SoakCounts counts_;
    std::vector<std::thread> threads_;
};

} // namespace wisteria::soak
