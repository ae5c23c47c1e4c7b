#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "Process/Endpoint.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// Sends and receives UDP datagrams between the system's processes. Datagrams may be lost,
/// duplicated or reordered; the messages tolerate that.
class DatagramSocket
{
public:
    using Received = std::function<void(const Endpoint &from, std::string_view bytes)>;

    DatagramSocket(EventLoop &loop, Received received);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Binds the socket to an address and starts to receive.
    /// @return BadSettings, naming the address, when binding fails.
    Result<void> open(const Endpoint &address);

    /// Sends a datagram; drops it when the kernel doesn't accept it at once.
    void send(const Endpoint &to, std::string_view bytes);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
