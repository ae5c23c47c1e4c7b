#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Gateway/CallerSocket.h"
#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// A caller's request as it is sent.
struct CallerRequest
{
    std::string id; ///< Of the attempt.
    std::string bytes;
};

/// How a caller sends its requests and waits for the answers.
struct CallPlan
{
    /// Longest time without a byte. Longer than the time limit of most routes, so that late answers
    /// are received too.
    milliseconds answerTime{6000};
    /// Pause within the bytes.
    milliseconds pause{0};
    /// Number of bytes after the pause.
    std::size_t lateBytes = 0;
};

/// HTTP client that reuses its connection to a gateway for further requests until the gateway
/// closes it. Records a request that was sent whole and got no status, unless the gateway was
/// killed.
class KeepAliveCaller
{
public:
    KeepAliveCaller(Fleet &fleet, std::size_t gateway) : fleet_(fleet), gateway_(gateway) { }

    /// Sends a request and reads its answer. Reuses the connection if it is open.
    /// @return The answer; its status is 0 if no answer was received.
    gateway_tests::CallResult call(const CallerRequest &request, const CallPlan &plan = {});
    /// Sends requests at once and reads their answers.
    /// @return An answer for each request.
    std::vector<gateway_tests::CallResult> callAll(const std::vector<CallerRequest> &requests,
                                                   const CallPlan &plan = {});
    /// Whether the gateway accepted the connection of the last call.
    bool accepted() const { return accepted_; }
    /// Closes the connection.
    void close() { socket_.reset(); }

private:
    bool send(const std::string &bytes, const CallPlan &plan);
    void noteUnanswered(const UnansweredRequest &request, bool timedOut, unsigned suspensions);

    Fleet &fleet_;
    std::size_t gateway_;
    std::unique_ptr<gateway_tests::CallerSocket> socket_;
    bool accepted_ = false;
    /// When the last answer on the connection was complete.
    TimePoint answeredAt_;
    /// Kills of the gateway when the connection was opened.
    unsigned kills_ = 0;
};

} // namespace wisteria::soak
