#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Process/Endpoint.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// How the other side ended a connection.
enum class TcpEnd {
    Closed, ///< It closed in order: everything that it sent has arrived.
    Reset, ///< It was reset or timed out: bytes may be missing.
    Refused, ///< It was never set up, so nothing has been sent.
};

/// What the owner of a connection is told. The owner may destroy the connection in any of them.
struct TcpEvents
{
    std::function<void()> connected;
    std::function<void(std::string_view)> received;
    std::function<void(TcpEnd)> ended;
    /// Everything that was queued has gone out.
    std::function<void()> drained;
};

/// A non-blocking TCP connection on an event loop. Destroying it closes it without another event.
class TcpConnection
{
public:
    /// Begins to connect; `connected` or `ended(Refused)` tells the outcome.
    static std::unique_ptr<TcpConnection> connect(EventLoop &loop, const Endpoint &to,
                                                  TcpEvents events);
    /// Takes over an accepted descriptor.
    static std::unique_ptr<TcpConnection> adopt(EventLoop &loop, int descriptor, TcpEvents events);

    ~TcpConnection();
    TcpConnection(const TcpConnection &) = delete;
    TcpConnection &operator=(const TcpConnection &) = delete;

    /// Sends, or queues what the other side does not take yet.
    void send(std::string_view bytes);

    /// Bytes queued and not yet handed to the kernel.
    std::size_t queued() const;

    /// Stops or resumes reading, so that a slow receiver slows its sender down.
    void pauseReading(bool pause);

    /// Closes after the queue has gone out; nothing is read any more.
    void closeWhenDrained();

    /// Closes with a reset, so that what the other side has not read yet is void.
    void abort();

private:
    class Private;
    explicit TcpConnection(std::shared_ptr<Private> state);
    std::shared_ptr<Private> private_;
};

/// Listens on an address and hands out accepted descriptors.
class TcpListener
{
public:
    TcpListener(EventLoop &loop, std::function<void(int)> accepted);
    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// @return BadSettings that names the address when it can't be had.
    Result<void> listen(const Endpoint &address);

    /// The address in use, with the port that was given for port 0.
    Endpoint address() const;

    /// Stops to listen: connections that come later are refused.
    void close();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
