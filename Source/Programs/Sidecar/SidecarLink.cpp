#include "Programs/Sidecar/SidecarLink.h"

#include <utility>
#include <variant>

namespace wisteria {

SidecarLink::SidecarLink(EventLoop &loop, DatagramSocket &socket, const LinkBandwidth &bandwidth,
                         Endpoint ownAddress, Handler handle)
    : loop_(loop), socket_(socket), bandwidth_(bandwidth), ownAddress_(ownAddress),
      handle_(std::move(handle))
{ }

void SidecarLink::sendToEngine(const Endpoint &engine, const GroupMessage &message)
{
    if (engine.ip == ownAddress_.ip)
        handleHere(message);
    else
        socket_.send({engine.ip, ownAddress_.port}, encodeMessage(message));
}

void SidecarLink::sendToAll(const std::vector<Endpoint> &engines, const GroupMessage &message)
{
    const std::string bytes = encodeMessage(message);
    // A sidecar sends its statuses to the address that a poll came from, so a poll has no relay.
    const bool direct = std::holds_alternative<RankPoll>(message);
    std::vector<Endpoint> others;
    for (const Endpoint &engine : engines) {
        if (engine.ip == ownAddress_.ip)
            handleHere(message);
        else if (direct)
            socket_.send({engine.ip, ownAddress_.port}, bytes);
        else
            others.push_back(engine);
    }
    relay(others, bytes);
}

void SidecarLink::sendToAddress(const Endpoint &address, const GroupMessage &message)
{
    socket_.send(address, encodeMessage(message));
}

void SidecarLink::relay(const std::vector<Endpoint> &engines, const std::string &bytes)
{
    for (const RelayBranch &branch : relayPlan(engines, bytes.size(), bandwidth_)) {
        const std::string datagram =
            branch.rest.empty() ? bytes : encodeMessage(RelayedMessage{branch.rest, bytes});
        socket_.send({branch.first.ip, ownAddress_.port}, datagram);
    }
}

void SidecarLink::handleHere(const GroupMessage &message)
{
    loop_.defer([this, message] { handle_(ownAddress_, message); });
}

} // namespace wisteria
