#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Programs/Gateway/StoreWatch.h"
#include "Request/LimitOwners.h"

namespace wisteria {

/// All gateways that are listed in the store. Each gateway writes its own entry whenever the list
/// has none with its current address.
class GatewayDirectory
{
public:
    /// @param self Name of this gateway's VM.
    /// @param address Where this gateway receives datagrams.
    GatewayDirectory(EventLoop &loop, HttpClientPool &pool, EventLog &log, Metrics &metrics,
                     const Endpoint &store, std::string self, const Endpoint &address);
    ~GatewayDirectory();
    GatewayDirectory(const GatewayDirectory &) = delete;
    GatewayDirectory &operator=(const GatewayDirectory &) = delete;

    /// All gateways if this one is listed with its current address, otherwise none; `LimitPermits`
    /// then uses a fixed share of each limit. A gateway that does not know the others yet must not
    /// act as the only one.
    PeerGateways &gateways() { return isListed() ? gateways_ : noGateways_; }
    const std::string &self() const { return self_; }

    /// Checks the timeouts of calls, and writes this gateway's entry if it is missing or outdated.
    void checkTimeouts(TimePoint now);

private:
    bool isListed() const;
    void apply(const platform::KeyedRecord &record);
    void applyAll(const std::vector<platform::KeyedRecord> &records);
    void write(TimePoint now);
    void handleWriteReply();

    HttpClientPool &pool_;
    EventLog &log_;
    Endpoint store_;
    std::string self_;
    Endpoint address_;
    PeerGateways gateways_;
    PeerGateways noGateways_;
    bool snapshotReceived_ = false;
    std::unique_ptr<HttpCall> call_;
    HttpResponse response_;
    TimePoint callBegunAt_;
    TimePoint nextWriteAt_;
    milliseconds writeBackoff_;
    StoreWatch watch_;
};

} // namespace wisteria
