#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Connection/HttpMessage.h"
#include "Process/Endpoint.h"
#include "Process/EventLoop.h"
#include "Process/Time.h"

namespace wisteria {

/// How a call without a whole answer ended.
struct CallFailure
{
    /// No byte of the request has left, so it has not run.
    bool neverSent = false;
    /// The head of the answer had arrived.
    bool headSeen = false;
    std::string reason;
};

/// What the owner of a call is told. It may destroy the call in any of them.
struct CallEvents
{
    /// Whether the answer belongs to the call. One that does not is read over once: a backend
    /// server may send an answer late, where the next one is expected. Empty accepts all.
    std::function<bool(const HttpResponseHead &)> accept;
    std::function<void(const HttpResponseHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
    std::function<void(const CallFailure &)> failed;
};

/// One HTTP/1.1 request on its way. Destroying it before its end closes the connection, which
/// makes most backend servers drop the request.
class HttpCall
{
public:
    virtual ~HttpCall() = default;
    /// Whether the connection stands, so that the request may have been read.
    virtual bool sent() const = 0;
    /// Stops or resumes reading the answer.
    virtual void pauseReading(bool pause) = 0;
};

/// How a call picks its connection.
enum class ConnectionUse {
    Reuse, ///< An idle connection where there is one.
    /// Always a new one. A kept connection may be closed by the other side just as a request
    /// goes out; whether it ran is then unknown, and one that may not repeat would be lost.
    Fresh,
};

/// HTTP/1.1 connections to any number of servers, one request at a time on each.
///
/// A connection is used again only after a whole, framed answer with nothing behind it, and within
/// the time that the server said it keeps it. Requests are never sent again by themselves.
class HttpClientPool
{
public:
    explicit HttpClientPool(EventLoop &loop);
    ~HttpClientPool();
    HttpClientPool(const HttpClientPool &) = delete;
    HttpClientPool &operator=(const HttpClientPool &) = delete;

    /// @param request The whole request as bytes; a HEAD must begin with "HEAD ".
    std::unique_ptr<HttpCall> call(const Endpoint &to, std::string request, ConnectionUse use,
                                   CallEvents events, TimePoint now);

    /// Closes connections whose time is over.
    void closeExpired(TimePoint now);

    /// Connections opened so far.
    std::uint64_t opened() const;

private:
    class Private;
    std::shared_ptr<Private> private_;
};

} // namespace wisteria
