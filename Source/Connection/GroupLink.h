#pragma once

#include <cstdint>

#include "Peer.pb.h"

namespace wisteria {

/// Carries messages to the agents of a rank group. Messages may be lost, late or doubled.
class GroupLink
{
public:
    virtual ~GroupLink() = default;

    /// Sends without waiting. Called on the control loop's thread.
    virtual void send(std::uint32_t rank, const v1::GroupMessage &message) = 0;
};

} // namespace wisteria
