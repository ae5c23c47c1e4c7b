#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Programs/Gateway/StoreWatch.h"
#include "Request/LimitOwners.h"

namespace wisteria {

/// All gateways, as the store knows them. Each writes itself down there when it starts.
class GatewayDirectory
{
public:
    /// @param self The name of the own VM.
    /// @param address Where this gateway takes messages.
    GatewayDirectory(EventLoop &loop, HttpClientPool &pool, EventLog &log, Metrics &metrics,
                     const Endpoint &store, std::string self, const Endpoint &address);
    ~GatewayDirectory();
    GatewayDirectory(const GatewayDirectory &) = delete;
    GatewayDirectory &operator=(const GatewayDirectory &) = delete;

    /// All gateways once this one is among them; before that, none. One that does not know yet who
    /// the others are would take itself for the only one.
    PeerGateways &gateways() { return listed() ? gateways_ : none_; }
    const std::string &self() const { return self_; }

    /// Writes the own entry where it is lacking.
    void checkTimeouts(TimePoint now);

private:
    bool listed() const;
    void apply(const platform::KeyedRecord &record);
    void applyAll(const std::vector<platform::KeyedRecord> &records);
    void write(TimePoint now);
    void noteWritten();

    HttpClientPool &pool_;
    EventLog &log_;
    Endpoint store_;
    std::string self_;
    Endpoint address_;
    PeerGateways gateways_;
    PeerGateways none_;
    bool known_ = false;
    std::unique_ptr<HttpCall> call_;
    HttpResponse response_;
    TimePoint callBegunAt_;
    TimePoint writeAgainAt_;
    milliseconds writePause_;
    StoreWatch watch_;
};

} // namespace wisteria
