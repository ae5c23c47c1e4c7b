#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "Connection/PeerClient.h"

namespace wisteria {

/// The connections of one event loop to its peers, by address.
class PeerPool
{
public:
    PeerPool(EventLoop &loop, PeerTimeouts timeouts) : loop_(loop), timeouts_(timeouts) { }

    /// Returns the client for a peer; creates it on first use.
    PeerClient &clientFor(const std::string &address)
    {
        std::unique_ptr<PeerClient> &client = clients_[address];
        if (!client)
            client = std::make_unique<PeerClient>(loop_, address, timeouts_);
        return *client;
    }

    /// Closes the idle connections to all peers other than those given. A connection with open
    /// streams stays open until a later call.
    void keepOnly(const std::set<std::string> &addresses)
    {
        std::erase_if(clients_, [&](const auto &entry) {
            return !addresses.contains(entry.first) && entry.second->openStreams() == 0;
        });
    }

private:
    EventLoop &loop_;
    PeerTimeouts timeouts_;
    std::map<std::string, std::unique_ptr<PeerClient>> clients_;
};

} // namespace wisteria
