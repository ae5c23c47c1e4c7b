#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Gateway/ScriptedServer.h"
#include "Gateway/StoreStandIn.h"

namespace wisteria::gateway_tests {

/// Some gateways, each a process of its own, before one stand-in of the store.
class GatewayFleet
{
public:
    explicit GatewayFleet(std::size_t gateways);
    ~GatewayFleet();
    GatewayFleet(const GatewayFleet &) = delete;
    GatewayFleet &operator=(const GatewayFleet &) = delete;

    /// Adds a plain backend server to the list of the store.
    void addServer(const std::string &id, const ScriptedServer &server);
    /// Starts the gateways and waits until all know the configuration.
    void start();

    std::size_t size() const { return callers_.size(); }

    /// Sends requests at a rate, to one gateway after the other, and waits for all answers. The id
    /// of each names its gateway; see `gatewayOf`.
    std::vector<CallResult> load(const std::string &target, int perSecond, milliseconds time) const;

    StoreStandIn store;

private:
    std::vector<Endpoint> callers_;
    std::vector<pid_t> children_;
};

/// The gateway of a fleet that a request came through.
std::size_t gatewayOf(const SeenRequest &request);

/// One request as it reached a backend server.
struct Arrival
{
    std::size_t gateway = 0;
    TimePoint at;
};

/// What reached one backend server, and since when each gateway knows what the server says.
class ArrivalLog
{
public:
    /// Notes a request that arrives, and the answer that goes back at once.
    void note(const SeenRequest &request, bool told, TimePoint now);
    /// Arrivals from gateways that were told half a second before or earlier.
    std::vector<Arrival> fromTold() const;
    /// Most arrivals from one gateway between half a second after an answer to it and the end of a
    /// time.
    std::size_t mostAfterAnswer(milliseconds time) const;
    /// Arrivals from gateways that were told longer ago.
    std::size_t laterThan(milliseconds time) const;
    /// When the first answer told anything.
    TimePoint firstTold() const;
    std::size_t count() const;

private:
    mutable std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    std::vector<TimePoint> toldAt_;
};

/// Most arrivals in any span of a length that lies after a moment.
std::size_t mostWithin(const std::vector<Arrival> &arrivals, TimePoint after, milliseconds span);

} // namespace wisteria::gateway_tests
