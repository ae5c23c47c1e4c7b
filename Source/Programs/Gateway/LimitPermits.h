#pragma once

#include <map>
#include <string>

#include "Connection/DatagramSocket.h"
#include "Programs/Gateway/GatewayContext.h"
#include "Programs/Gateway/GatewayDirectory.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Exchanges permit messages with the other gateways, so that all gateways together keep within the
/// limits that backend servers advertise.
class LimitPermits
{
public:
    LimitPermits(GatewayContext &context, DatagramSocket &socket, GatewayDirectory &directory);

    /// Requests the permits that are due: from another gateway by a message, or at once if this
    /// gateway owns the limit. Also forgets old limits.
    /// @return Whether a caller's request may now be sent that was not permitted before.
    bool requestPermits(TimePoint now);
    /// Replies to a permit request of another gateway.
    void receive(const Endpoint &from, const PermitRequestMessage &message, TimePoint now);
    /// Applies the reply of another gateway.
    /// @return Whether a caller's request may now be sent that was not permitted before.
    bool receive(const Endpoint &from, const PermitReplyMessage &message, TimePoint now);

private:
    bool requestPermit(const PermitRequest &request, TimePoint now);
    void probeUnresponsive(const PermitRequest &request, TimePoint now);
    void send(PeerGateway &gateway, const PermitRequest &request, TimePoint now);
    bool applyOwnReply(const PermitReply &reply, TimePoint now);

    GatewayContext &context_;
    DatagramSocket &socket_;
    GatewayDirectory &directory_;
    /// Limits that this gateway owns, by backend server.
    OwnedLimits ownedLimits_;
};

} // namespace wisteria
