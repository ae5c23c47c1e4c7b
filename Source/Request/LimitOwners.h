#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Process/Endpoint.h"
#include "Process/Time.h"

namespace wisteria {

/// A gateway as another one knows it.
struct PeerGateway
{
    Endpoint address;
    /// Questions since it was last heard of, and when the first and the last of them left.
    std::uint32_t unanswered = 0;
    TimePoint firstUnansweredAt{};
    TimePoint lastRequestAt{};
};

/// All gateways, by the name of their VM, this one included. A plain value.
using PeerGateways = std::map<std::string, PeerGateway>;

/// The gateway that keeps a backend server's limit. All that know the same gateways name the same
/// one, without a message; when one joins or leaves, few limits change their keeper.
/// @return Nothing when no gateway is known.
std::optional<std::string> limitOwnerOf(const PeerGateways &gateways, const std::string &server,
                                        TimePoint now);

/// Notes a question to a gateway.
void noteRequestSent(PeerGateway &gateway, TimePoint now);
/// Notes any message from a gateway.
void noteMessageReceived(PeerGateways &gateways, const Endpoint &from);

/// Whether a gateway counts as silent. One that loses a few datagrams does not: two gateways that
/// go by two keepers are granted a limit twice.
bool isUnresponsive(const PeerGateway &gateway, TimePoint now);

/// Whether a silent gateway is due to be asked whether it is back.
bool shouldProbe(const PeerGateway &gateway, TimePoint now);

} // namespace wisteria
