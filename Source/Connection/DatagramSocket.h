#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "Process/Endpoint.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// Sends and receives datagrams between the system's own processes. They may be lost, doubled or
/// come in another order; messages are made to bear that.
class DatagramSocket
{
public:
    using Received = std::function<void(const Endpoint &from, std::string_view bytes)>;

    DatagramSocket(EventLoop &loop, Received received);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// @return BadSettings that names the address when it can't be had.
    Result<void> open(const Endpoint &address);

    /// Sends a datagram, or drops it when the link is full.
    void send(const Endpoint &to, std::string_view bytes);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
