#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Connection/AnswerFault.h"
#include "Connection/HttpMessage.h"
#include "Process/Endpoint.h"
#include "Process/EventLoop.h"
#include "Process/Time.h"

namespace wisteria {

/// Why a call failed to get a complete answer.
struct CallFailure
{
    /// No byte of the request was sent, so the server has not run it.
    bool neverSent = false;
    /// Nothing listens at the server's address; implies `neverSent`.
    bool refused = false;
    /// The head of the answer was received.
    bool headReceived = false;
    /// The connection ended after the request was sent. False for an answer that can't be used
    /// although the connection holds.
    bool connectionEnded = false;
    /// The rule that the bytes which came as the answer break.
    std::optional<AnswerFault> answerFault;
    std::string reason;
};

/// Callbacks of a call. Each may destroy the call.
struct CallEvents
{
    /// Whether the answer belongs to the call. The first answer that doesn't is skipped: a backend
    /// server may send a late answer to an earlier request on the same connection. A second one
    /// fails the call. An empty function accepts all answers.
    std::function<bool(const HttpResponseHead &)> accept;
    std::function<void(const HttpResponseHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
    std::function<void(const CallFailure &)> failed;
};

/// One HTTP/1.1 request in flight. Destroying it before it ends resets the connection, on which
/// most backend servers abort the request.
class HttpCall
{
public:
    virtual ~HttpCall() = default;
    /// Whether the request was passed to an established connection. The server may have read it.
    virtual bool sent() const = 0;
    /// Pauses or resumes reading the answer.
    virtual void pauseReading(bool pause) = 0;
    /// Number of bytes of the request that the server has not taken yet.
    virtual std::size_t queuedBytes() const = 0;
};

/// Which connection a call uses.
enum class ConnectionUse {
    Reuse, ///< An idle connection if there is one, else a new one.
    /// Always a new connection. The server may close an idle connection just as a request is
    /// sent. It is then unknown whether the request ran, and one that is not idempotent can't be
    /// retried.
    Fresh,
};

/// Pool of HTTP/1.1 connections to any number of servers, with one request at a time on each.
///
/// A connection is reused only after a complete answer that marks its own end, with no bytes after
/// it, and within the idle timeout that the server announced. The pool never resends a request.
class HttpClientPool
{
public:
    explicit HttpClientPool(EventLoop &loop);
    ~HttpClientPool();
    HttpClientPool(const HttpClientPool &) = delete;
    HttpClientPool &operator=(const HttpClientPool &) = delete;

    /// Sends a request to a server.
    /// @param request The serialised request. A HEAD request must begin with "HEAD ".
    std::unique_ptr<HttpCall> call(const Endpoint &to, std::string request, ConnectionUse use,
                                   CallEvents events, TimePoint now);

    /// Closes idle connections that have expired.
    void closeExpired(TimePoint now);

    /// Number of connections opened so far.
    std::uint64_t opened() const;

private:
    class Private;
    std::shared_ptr<Private> private_;
};

} // namespace wisteria
