#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Gateway/GatewayFleet.h"

namespace wisteria::gateway_tests {

/// Gateways before backend servers that write heartbeats to the store, leave, and go on serving.
/// Entries expire after three heartbeat intervals of silence, as on the platform.
class LeavingFleet
{
public:
    LeavingFleet(std::size_t gateways, std::size_t servers, milliseconds heartbeatInterval);
    ~LeavingFleet();
    LeavingFleet(const LeavingFleet &) = delete;
    LeavingFleet &operator=(const LeavingFleet &) = delete;

    /// Starts the gateways; the servers are in the store's list already.
    void start();

    /// How a server tells that it leaves.
    enum class Notice {
        Removal, ///< Its entry is removed.
        Draining, ///< Its entry says so.
        DrainingThenOlder, ///< The same, but an earlier heartbeat is written after it.
    };
    /// Lets a server leave. It goes on serving and writes no more heartbeats.
    void leave(std::size_t server, Notice notice);

    /// Lets the store be away, during which no server writes; entries expire then.
    /// @param backAfter When each server writes again, counted from the store's return.
    void beginOutage(StoreFault fault, std::vector<milliseconds> backAfter);
    void endOutage();

    /// Requests that reached servers later than `bound` after the store took their leaving.
    std::size_t lateArrivals(milliseconds bound) const;
    /// Requests that reached a server.
    std::size_t arrivals(std::size_t server) const;

    GatewayFleet fleet;

private:
    struct Server
    {
        std::unique_ptr<ScriptedServer> program;
        std::string id;
        std::uint64_t sequence = 0;
        TimePoint heartbeatAt;
        /// When it writes the next heartbeat.
        TimePoint dueAt;
        bool listed = true;
        std::optional<TimePoint> leftAt;
        std::vector<TimePoint> arrivals;
    };

    void writeEntry(Server &server, const std::string &state, std::uint64_t sequence);
    void run();
    void keepEntry(Server &server, TimePoint now);

    milliseconds heartbeatInterval_;
    mutable std::mutex mutex_;
    std::vector<Server> servers_;
    bool storeAway_ = false;
    std::vector<milliseconds> backAfter_;
    bool stopping_ = false;
    std::thread writer_;
};

} // namespace wisteria::gateway_tests
