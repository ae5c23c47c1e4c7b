#pragma once

#include <string>
#include <vector>

#include "Connection/GroupLink.h"
#include "Connection/PeerPool.h"

namespace wisteria {

/// Path that agents of a group send each other GroupMessages on.
inline constexpr const char *groupPath = "/v1/group";

/// Sends over the HTTP/2 connections between agents.
class PeerGroupLink : public GroupLink
{
public:
    /// @param loop The control loop; outlives the link.
    /// @param addresses Address of each rank's agent, by rank.
    PeerGroupLink(EventLoop &loop, std::vector<std::string> addresses, PeerTimeouts timeouts = {});

    void send(std::uint32_t rank, const v1::GroupMessage &message) override;

private:
    std::vector<std::string> addresses_;
    PeerPool peers_;
};

} // namespace wisteria
