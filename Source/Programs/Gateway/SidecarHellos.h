#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Connection/DatagramSocket.h"
#include "Programs/Gateway/GatewayContext.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Announces this gateway to the sidecars of its services' engines.
class SidecarHellos
{
public:
    /// @param port Port on which sidecars receive datagrams.
    SidecarHellos(const GatewayContext &context, DatagramSocket &peers, std::uint16_t port);

    /// Sends hellos that are due. A hello contains the digest of this gateway's engine list.
    void sendDue(TimePoint now);
    /// Sends a sidecar the engine list of its service, if an engine on its VM is known.
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
