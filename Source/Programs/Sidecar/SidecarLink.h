#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Connection/DatagramSocket.h"
#include "Version/GroupMessages.h"
#include "Version/RelayPlan.h"

namespace wisteria {

/// Sends messages to the sidecars beside engines, through relays where that is faster. Messages to
/// this sidecar itself are handled on the event loop, without the network.
class SidecarLink
{
public:
    using Handler = std::function<void(const Endpoint &from, const GroupMessage &message)>;

    /// @param ownAddress Address of this sidecar; all sidecars of a service have the same port.
    /// @param handle Called with messages to this sidecar itself.
    SidecarLink(EventLoop &loop, DatagramSocket &socket, const LinkBandwidth &bandwidth,
                Endpoint ownAddress, Handler handle);

    /// Sends a message to the sidecar beside an engine.
    void sendToEngine(const Endpoint &engine, const GroupMessage &message);

    /// Sends one message to the sidecars beside many engines. It is encoded once: to encode a map
    /// for each rank would take the leader of a large group seconds.
    void sendToAll(const std::vector<Endpoint> &engines, const GroupMessage &message);

    /// Sends a message to the address of a process, from which one was received.
    void sendToAddress(const Endpoint &address, const GroupMessage &message);

    /// Sends an encoded message to sidecars, through relays when copies for all receivers would
    /// occupy this VM's link for too long.
    void relay(const std::vector<Endpoint> &engines, const std::string &bytes);

private:
    void handleHere(const GroupMessage &message);

    EventLoop &loop_;
    DatagramSocket &socket_;
    LinkBandwidth bandwidth_;
    Endpoint ownAddress_;
    Handler handle_;
};

} // namespace wisteria
