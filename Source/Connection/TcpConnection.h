#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Process/Endpoint.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// Why a connection ended.
enum class TcpEnd {
    Closed, ///< The peer closed it (FIN): everything that the peer sent has arrived.
    Reset, ///< It was reset or timed out: bytes may be missing.
    NotEstablished, ///< It was never established, so nothing has been sent.
    Refused, ///< Like NotEstablished; nothing listens at the peer's address.
};

/// Callbacks of a connection. The owner may destroy the connection within any of them.
struct TcpEvents
{
    std::function<void()> connected;
    std::function<void(std::string_view)> received;
    std::function<void(TcpEnd)> ended;
    /// All queued bytes have been handed to the kernel.
    std::function<void()> drained;
};

/// A non-blocking TCP connection on an event loop. The destructor closes the connection at once; no
/// callback follows.
class TcpConnection
{
public:
    /// Starts to connect. On success `connected` is called, on failure `ended` with
    /// TcpEnd::Refused or TcpEnd::NotEstablished.
    static std::unique_ptr<TcpConnection> connect(EventLoop &loop, const Endpoint &to,
                                                  TcpEvents events);
    /// Wraps an accepted descriptor and becomes its owner.
    static std::unique_ptr<TcpConnection> adopt(EventLoop &loop, int descriptor, TcpEvents events);

    ~TcpConnection();
    TcpConnection(const TcpConnection &) = delete;
    TcpConnection &operator=(const TcpConnection &) = delete;

    /// Sends bytes; queues those that the kernel doesn't accept yet.
    void send(std::string_view bytes);

    /// Number of queued bytes that are not yet handed to the kernel.
    std::size_t queued() const;

    /// Whether the kernel has received bytes that are not read yet.
    bool bytesWaiting() const;

    /// Pauses or resumes reading. While reading is paused, TCP flow control slows the peer down.
    void pauseReading(bool pause);

    /// Sets for how long sent bytes may stay unacknowledged, or the peer may take none, before the
    /// connection counts as lost.
    void setPeerTimeout(milliseconds timeout);

    /// Closes the connection in two steps, and then calls `ended`: once the queue is empty it stops
    /// writing; then it drops what the peer still sends, until the peer closes or a bound in time
    /// or bytes is reached. If it closed at once, the kernel would reset the connection for unread
    /// bytes, and the peer could lose what was sent before.
    void closeWhenDrained();

    /// Closes with a reset, so that the peer discards what it has not read yet.
    void abort();

private:
    class Private;
    explicit TcpConnection(std::shared_ptr<Private> state);
    std::shared_ptr<Private> private_;
};

/// Listens on an address and passes accepted descriptors to a callback.
class TcpListener
{
public:
    TcpListener(EventLoop &loop, std::function<void(int)> accepted);
    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// @return BadSettings, naming the address, when binding or listening fails.
    Result<void> listen(const Endpoint &address);

    /// Passes on the connections that wait to be accepted, up to the size of the backlog.
    void acceptWaiting();

    /// The bound address. For port 0 it holds the port that the kernel chose.
    Endpoint address() const;

    /// Stops listening: later connections are refused.
    void close();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
