#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Gateway/GatewayUnderTest.h"

namespace wisteria::gateway_tests {

/// First of 64 loopback addresses that no other caller of this function uses. On an address that is
/// used again, a closed connection of an earlier program may still occupy a port.
std::uint32_t unusedLoopbackAddresses();

/// Several gateway processes with one stand-in of the store.
class GatewayFleet
{
public:
    explicit GatewayFleet(std::size_t gateways);
    ~GatewayFleet();
    GatewayFleet(const GatewayFleet &) = delete;
    GatewayFleet &operator=(const GatewayFleet &) = delete;

    /// Adds a backend server of the service "plain" to the store's list.
    void addServer(const std::string &id, const ScriptedServer &server);
    /// Starts the gateways and waits until all know the configuration.
    /// @param moreSettings Lines that are added to their settings.
    void start(const std::string &moreSettings = {});

    std::size_t size() const { return callers_.size(); }
    /// Where a gateway takes callers.
    const Endpoint &callers(std::size_t gateway) const { return callers_[gateway]; }
    /// The process of a gateway.
    pid_t process(std::size_t gateway) const { return children_[gateway]; }
    /// Writes the next version of the configuration, with the same content.
    void changeConfiguration() { changeConfiguration(configurationOf(1)); }
    /// The same with another content.
    void changeConfiguration(nlohmann::json configuration);
    /// Kills a gateway and starts it again.
    void restart(std::size_t gateway);
    /// Kills all gateways before it starts any of them again.
    void restartAll();

    /// Makes the request of a number, with this attempt id.
    using RequestMaker = std::function<std::string(const std::string &id, std::size_t number)>;

    /// Sends requests at a rate, to the gateways in turn, and waits for all answers. The attempt id
    /// of each request contains its gateway; see `gatewayOf`.
    std::vector<CallResult> sendAtRate(const RequestMaker &maker, double perSecond,
                                       milliseconds time) const;
    std::vector<CallResult> sendAtRate(const std::string &target, int perSecond,
                                       milliseconds time) const;

    StoreStandIn store;

private:
    static pid_t startGateway(const std::string &settings);

    std::vector<Endpoint> callers_;
    std::vector<std::string> settings_;
    std::vector<pid_t> children_;
    int configurationVersion_ = 1;
};

/// Index of the gateway that sent a request.
std::size_t gatewayOf(const SeenRequest &request);

/// One request that reached a backend server.
struct Arrival
{
    std::size_t gateway = 0;
    TimePoint at;
};

/// Requests that reached one backend server, and when each gateway first got its server signal: a
/// limit, a backoff or draining.
class ArrivalLog
{
public:
    /// Records a request that arrives.
    /// @param signalled Whether its answer, which is sent at once, has the signal.
    void note(const SeenRequest &request, bool signalled, TimePoint now);
    /// Arrivals from gateways that got the signal at least half a second before.
    std::vector<Arrival> fromSignalled() const;
    /// Maximum number of arrivals from one gateway between half a second and `time` after an answer
    /// to it.
    std::size_t maxAfterAnswer(milliseconds time) const;
    /// Number of arrivals later than `time` after their gateway got the signal.
    std::size_t countLaterThan(milliseconds time) const;
    /// When the first answer with the signal was sent.
    TimePoint firstSignalAt() const;
    std::size_t count() const;

private:
    mutable std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    std::vector<TimePoint> signalledAt_;
};

/// Maximum number of arrivals in any window of length `span` that begins at `after` or later.
std::size_t maxWithin(const std::vector<Arrival> &arrivals, TimePoint after, milliseconds span);

} // namespace wisteria::gateway_tests
