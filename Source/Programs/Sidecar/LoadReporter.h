#pragma once

#include <map>
#include <optional>

#include "Connection/DatagramSocket.h"
#include "Process/Time.h"
#include "Version/GroupMessages.h"
#include "Version/SentLoad.h"

namespace wisteria {

/// Reports the load of the engine on the same VM to all gateways that send hellos.
class LoadReporter
{
public:
    LoadReporter(DatagramSocket &socket, Endpoint engine);

    /// Records that a gateway is alive, and sends the last load to a new one.
    void noteHello(const Endpoint &gateway, TimePoint now);
    /// Removes the gateways whose last hello is too old.
    void removeExpired(TimePoint now);
    std::size_t gateways() const { return gateways_.size(); }

    /// Sends the load in a report to all gateways when it is due.
    void report(const RankReport &report, TimePoint now);
    /// The same for an engine that does not answer, such as one that is starting.
    void reportUnavailable(TimePoint now);

private:
    void send(const EngineLoad &load, TimePoint now);
    EngineLoad withGateways(EngineLoad load) const;

    DatagramSocket &socket_;
    Endpoint engine_;
    /// When each gateway's last hello arrived.
    std::map<Endpoint, TimePoint> gateways_;
    std::optional<EngineLoad> lastLoad_;
    SentLoad sentLoad_;
};

} // namespace wisteria
