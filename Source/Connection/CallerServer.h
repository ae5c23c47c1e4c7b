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

/// One HTTP request of a caller, whole.
struct CallerHttpRequest
{
    std::string method;
    std::string path;
    /// By name in lower case; of a repeated header the last.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// The answer to one caller. Belongs to the loop's thread.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;

    virtual const CallerHttpRequest &request() const = 0;

    /// Answers at once and whole.
    virtual void answer(std::uint32_t status, const std::map<std::string, std::string> &headers,
                        std::string body) = 0;

    /// Begins an answer whose bytes come later.
    virtual void start(std::uint32_t status, const std::string &contentType) = 0;

    /// Adds bytes to a begun answer.
    virtual void write(std::string_view bytes) = 0;

    /// Ends a begun answer. An incomplete one is cut: the connection is closed without the end
    /// mark, so that the caller can't take it for whole.
    virtual void finish(bool complete) = 0;

    /// Bytes that wait for the caller to take them.
    virtual std::size_t queuedBytes() const = 0;
};

/// What a CallerServer's requests are answered by. Called on the loop's thread.
class CallerService
{
public:
    virtual ~CallerService() = default;

    /// A whole request has come.
    virtual void requestArrived(std::shared_ptr<CallerExchange> exchange) = 0;

    /// The caller has gone before its answer was whole.
    virtual void callerLeft(CallerExchange &exchange) = 0;

    /// The caller has taken what waited for it.
    virtual void callerDrained(CallerExchange &exchange) { static_cast<void>(exchange); }
};

/// Bounds on what callers may send and hold.
struct CallerLimits
{
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Memory a connection, which bounds its headers; longer ones are answered with 431.
    std::size_t connectionBytes = 16 * 1024;
    unsigned connections = 16384;
    seconds idle{75};
};

/// HTTP/1.1 for callers (libmicrohttpd) on an event loop.
class CallerServer
{
public:
    /// @param service Must outlive the server.
    CallerServer(EventLoop &loop, CallerService &service, CallerLimits limits = {});
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Starts to listen; several servers of one process may share a port, and the system spreads
    /// connections over them.
    /// @return The address with the port in use; BadSettings when it can't be had.
    Result<std::string> listen(const std::string &address);

    /// Takes no new connection; requests that have come are answered, and connections are closed
    /// after their answers.
    void beginShutdown();

    /// Requests without a whole answer so far.
    std::size_t openRequests() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
