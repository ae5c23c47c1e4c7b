#pragma once

#include <map>
#include <string>

#include "Connection/DatagramSocket.h"
#include "Programs/Gateway/GatewayContext.h"
#include "Programs/Gateway/GatewayDirectory.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Carries the questions and answers by which all gateways together keep to the limits that backend
/// servers name.
class LimitPermits
{
public:
    LimitPermits(GatewayContext &context, DatagramSocket &peers, GatewayDirectory &directory);

    /// Asks where a question is due.
    /// @return Whether a request may now be sent that could not be before.
    bool requestPermits(TimePoint now);
    void receive(const Endpoint &from, const PermitRequestMessage &message, TimePoint now);
    /// @return As `requestPermits` does.
    bool receive(const Endpoint &from, const PermitReplyMessage &message, TimePoint now);

private:
    bool requestPermit(const PermitRequest &request, TimePoint now);
    void probeUnresponsive(const PermitRequest &request, TimePoint now);
    void send(PeerGateway &gateway, const PermitRequest &request, TimePoint now);
    bool applyOwnReply(const PermitReply &reply, TimePoint now);

    GatewayContext &context_;
    DatagramSocket &peers_;
    GatewayDirectory &directory_;
    /// Limits that this gateway keeps, by backend server.
    OwnedLimits ownedLimits_;
};

} // namespace wisteria
