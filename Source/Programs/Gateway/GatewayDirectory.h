#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Programs/Gateway/StoreAppender.h"
#include "Programs/Gateway/StoreWatch.h"
#include "Request/LimitOwners.h"

namespace wisteria {

/// All gateways that are listed in the store. Each gateway writes its own entry whenever the list
/// has none with its current address, and tells the others that it finds there of itself: they read
/// the list seldom.
class GatewayDirectory
{
public:
    /// @param self Name of this gateway's VM.
    /// @param address Where this gateway receives datagrams.
    /// @param introduce Tells the gateway at an address of this one.
    GatewayDirectory(EventLoop &loop, HttpClientPool &pool, EventLog &log, Metrics &metrics,
                     const Endpoint &store, std::string self, const Endpoint &address,
                     std::function<void(const Endpoint &)> introduce);
    ~GatewayDirectory();
    GatewayDirectory(const GatewayDirectory &) = delete;
    GatewayDirectory &operator=(const GatewayDirectory &) = delete;

    /// All gateways if this one is listed with its current address, otherwise none; `LimitPermits`
    /// then uses a fixed share of each limit. A gateway that does not know the others yet must not
    /// act as the only one.
    PeerGateways &gateways() { return isListed() ? gateways_ : noGateways_; }
    const std::string &self() const { return self_; }
    /// Whether the list has been read and has this gateway, so that all others are known.
    bool known() const { return isListed(); }
    /// Asks all other gateways to tell this one what they know.
    void introduceToAll();
    /// Where the other known gateways receive messages, whether this one is listed or not.
    std::vector<Endpoint> peers() const;

    /// Adds a gateway that told of itself.
    void notePresence(const std::string &name, const Endpoint &address);

    /// Checks the timeouts of calls, and writes this gateway's entry if it is missing or outdated.
    void checkTimeouts(TimePoint now);

private:
    bool isListed() const;
    void apply(const platform::KeyedRecord &record);
    void put(const std::string &name, const Endpoint &address);
    void applyAll(const std::vector<platform::KeyedRecord> &records);
    void writeIfMissing(TimePoint now);

    EventLog &log_;
    std::string self_;
    Endpoint address_;
    std::function<void(const Endpoint &)> introduce_;
    PeerGateways gateways_;
    PeerGateways noGateways_;
    bool snapshotReceived_ = false;
    StoreAppender appender_;
    StoreWatch watch_;
};

} // namespace wisteria
