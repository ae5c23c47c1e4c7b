#pragma once

#include <atomic>
#include <list>
#include <thread>

#include "Process/Endpoint.h"

namespace wisteria::soak {

/// Network fault that a proxy injects into its connections.
enum class LinkFault {
    None,
    Delayed, ///< Each read of data is delayed by 150 ms.
    Blackholed, ///< No data is forwarded in either direction; connections stay open.
    RequestsBlocked, ///< No data is forwarded to the server.
    AnswersBlocked, ///< No data is forwarded to the client.
};

/// A TCP proxy on loopback that injects faults, with one thread per connection.
class FaultProxy
{
public:
    explicit FaultProxy(const Endpoint &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    const Endpoint &endpoint() const { return endpoint_; }
    void setFault(LinkFault fault) { fault_ = fault; }
    /// Resets all open connections; new connections are accepted.
    void resetConnections() { ++generation_; }

private:
    void acceptLoop();
    void forward(int client);
    static bool forwardBytes(int from, int to);

    Endpoint target_;
    Endpoint endpoint_;
    int listener_ = -1;
    std::atomic<LinkFault> fault_ = LinkFault::None;
    std::atomic<unsigned> generation_ = 0;
    std::atomic<bool> stopping_ = false;
    std::list<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace wisteria::soak
