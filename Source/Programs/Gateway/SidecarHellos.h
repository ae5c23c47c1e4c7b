#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Connection/DatagramSocket.h"
#include "Programs/Gateway/GatewayContext.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Announces this gateway to the sidecars of its services' engines. The entry of a group's backend
/// server has the address of its engine.
class SidecarHellos
{
public:
    /// @param port Port on which sidecars receive datagrams.
    SidecarHellos(const GatewayContext &context, DatagramSocket &socket, std::uint16_t port);

    /// Sends hellos that are due. A hello contains the digest of this gateway's engine list.
    void sendDue(TimePoint now);
    /// Sends a sidecar the engine list of its service, if an engine on its VM is known.
    void sendEngineList(const Endpoint &sidecar);

private:
    void sendHello(const std::string &service, const EngineProfile &engine, bool toAll,
                   TimePoint now);
    /// Engines that became known recently and whose sidecars have not reported yet.
    std::vector<Endpoint> enginesAwaitingReport(const std::string &service, TimePoint now) const;
    EngineList engineListOf(const std::string &service, const EngineProfile &engine) const;

    const GatewayContext &context_;
    DatagramSocket &socket_;
    std::uint16_t port_;
    TimePoint sentToAllAt_;
    TimePoint sentAt_;
};

} // namespace wisteria
