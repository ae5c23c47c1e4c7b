#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Process/Endpoint.h"
#include "Process/Time.h"

namespace wisteria {

/// A gateway's address and the state of its failure detection.
struct PeerGateway
{
    Endpoint address;
    /// Permit requests and probes sent since its last message, and when the first and the last were
    /// sent.
    std::uint32_t unanswered = 0;
    TimePoint firstUnansweredAt{};
    TimePoint lastRequestAt{};
};

/// All gateways including this one, by the name of their VM.
using PeerGateways = std::map<std::string, PeerGateway>;

/// Returns the limit owner of a backend server, chosen by rendezvous hashing among the responsive
/// gateways. Gateways that know the same list choose the same owner without a message, and few
/// limits change their owner when a gateway joins or leaves.
/// @return Nothing when no gateway is responsive.
std::optional<std::string> limitOwnerOf(const PeerGateways &gateways, const std::string &server,
                                        TimePoint now);

/// Records a permit request or probe sent to a gateway.
void noteRequestSent(PeerGateway &gateway, TimePoint now);
/// Records that a message arrived from a gateway.
void noteMessageReceived(PeerGateways &gateways, const Endpoint &from);

/// Returns whether a gateway counts as unresponsive. The loss of a few datagrams does not suffice:
/// two gateways that use different owners are granted a limit twice.
bool isUnresponsive(const PeerGateway &gateway, TimePoint now);

/// Returns whether a probe of an unresponsive gateway is due.
bool shouldProbe(const PeerGateway &gateway, TimePoint now);

} // namespace wisteria
