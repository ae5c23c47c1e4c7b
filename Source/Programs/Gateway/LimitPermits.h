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
    bool ask(TimePoint now);
    void take(const Endpoint &from, const PermitAsked &asked, TimePoint now);
    /// @return As `ask` does.
    bool take(const Endpoint &from, const PermitTold &told, TimePoint now);

private:
    bool ask(const PermitQuestion &question, TimePoint now);
    void tryAgain(const PermitQuestion &question, TimePoint now);
    void send(PeerGateway &gateway, const PermitQuestion &question, TimePoint now);
    bool takeOwn(const PermitAnswer &answer, TimePoint now);

    GatewayContext &context_;
    DatagramSocket &peers_;
    GatewayDirectory &directory_;
    /// Limits that this gateway keeps, by backend server.
    KeptLimits kept_;
};

} // namespace wisteria
