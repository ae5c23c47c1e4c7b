#pragma once

#include <atomic>
#include <list>
#include <thread>

#include "Process/Endpoint.h"

namespace wisteria::soak {

/// What a proxy does to the bytes that pass through it.
enum class LinkFault {
    None,
    Delayed, ///< Every byte comes 150 ms late.
    Silenced, ///< Nothing passes either way; connections stay open.
    RequestsCut, ///< Nothing passes towards the server.
    AnswersCut, ///< Nothing passes towards the client.
};

/// A loopback proxy whose link a soak can harm: one thread a connection.
class FaultProxy
{
public:
    explicit FaultProxy(const Endpoint &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    const Endpoint &endpoint() const { return endpoint_; }
    void setFault(LinkFault fault) { fault_ = fault; }
    /// Resets every open connection; new ones are taken again.
    void resetConnections() { ++generation_; }

private:
    void acceptLoop();
    void forward(int client);
    static bool pass(int from, int to);

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
