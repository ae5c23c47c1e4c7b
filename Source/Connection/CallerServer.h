#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Process/Error.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// One complete HTTP request of a caller.
struct CallerHttpRequest
{
    std::string method;
    std::string path;
    /// By name in lower case. A repeated header keeps its last value.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// One request and its answer. Must be used on the loop's thread only.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;

    virtual const CallerHttpRequest &request() const = 0;

    /// Sends a complete answer.
    virtual void answer(std::uint32_t status, const std::map<std::string, std::string> &headers,
                        std::string body) = 0;

    /// Starts a streamed answer, whose bytes follow by write().
    virtual void start(std::uint32_t status, const std::string &contentType) = 0;

    /// Appends bytes to a streamed answer.
    virtual void write(std::string_view bytes) = 0;

    /// Ends a streamed answer. If it is incomplete, the connection is closed without the last
    /// chunk, so that the caller can't take the answer for a complete one.
    virtual void finish(bool complete) = 0;

    /// Number of bytes that are not yet passed to the connection.
    virtual std::size_t queuedBytes() const = 0;
};

/// Handles the requests of a CallerServer. Called on the loop's thread.
class CallerService
{
public:
    virtual ~CallerService() = default;

    /// A complete request was received.
    virtual void requestArrived(std::shared_ptr<CallerExchange> exchange) = 0;

    /// The connection ended before the answer was complete.
    virtual void callerLeft(CallerExchange &exchange) = 0;

    /// The queue of a streamed answer has fallen to the low watermark; more bytes may be written.
    virtual void callerCaughtUp(CallerExchange &exchange) { static_cast<void>(exchange); }
};

/// Limits of what callers may send and of their connections.
struct CallerServerLimits
{
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Memory of one connection in bytes. Limits the size of the headers: longer ones are answered
    /// with 431.
    std::size_t connectionBytes = 16 * 1024;
    unsigned connections = 16384;
    seconds idle{75};
};

/// HTTP/1.1 server for callers of the entry (libmicrohttpd) on an event loop. The gateway uses
/// CallerConnection instead.
class CallerServer
{
public:
    /// @param service Must outlive the server.
    CallerServer(EventLoop &loop, CallerService &service, CallerServerLimits limits = {});
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Starts listening. Several servers of one process may share a port (SO_REUSEPORT); the kernel
    /// distributes connections among them.
    /// @return The bound address with its port; BadSettings when listening fails.
    Result<std::string> listen(const std::string &address);

    /// Accepts no further connections. Received requests are still answered, and each connection is
    /// closed after its answer.
    void beginShutdown();

    /// Number of requests without a complete answer.
    std::size_t openRequests() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
