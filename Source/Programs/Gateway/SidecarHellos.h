#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Connection/DatagramSocket.h"
#include "Programs/Gateway/GatewayContext.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Makes the gateway known to the sidecars of its services' engines.
class SidecarHellos
{
public:
    /// @param port Where sidecars take messages.
    SidecarHellos(const GatewayContext &context, DatagramSocket &peers, std::uint16_t port);

    /// Says hello to those that are due: which list of engines this gateway has.
    void sendDue(TimePoint now);
    /// Answers a sidecar with the list of its engine's service.
    void sendEngineList(const Endpoint &sidecar);

private:
    void sendHello(const std::string &service, const EngineProfile &engine, bool toAll,
                   TimePoint now);
    std::vector<Endpoint> silentEngines(const std::string &service, TimePoint now) const;
    EngineList engineListOf(const std::string &service, const EngineProfile &engine) const;

    const GatewayContext &context_;
    DatagramSocket &peers_;
    std::uint16_t port_;
    TimePoint sentToAllAt_;
    TimePoint sentAt_;
};

} // namespace wisteria
