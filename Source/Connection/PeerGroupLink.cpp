#include "Connection/PeerGroupLink.h"

#include <utility>

#include "Connection/PeerCall.h"

namespace wisteria {

PeerGroupLink::PeerGroupLink(EventLoop &loop, std::vector<std::string> addresses,
                             PeerTimeouts timeouts)
    : addresses_(std::move(addresses)), peers_(loop, timeouts)
{ }

void PeerGroupLink::send(std::uint32_t rank, const v1::GroupMessage &message)
{
    if (rank >= addresses_.size())
        return;
    // A message that does not arrive is sent again by the decisions; its empty answer says nothing.
    callPeer<v1::GroupMessage>(peers_.clientFor(addresses_[rank]), groupPath, message,
                               [](const auto &) {});
}

} // namespace wisteria
