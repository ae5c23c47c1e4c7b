#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "Process/EventLoop.h"

namespace wisteria {

/// One call of the backend server.
struct BackendCall
{
    std::string service;
    /// Request id in hexadecimal, for the backend server's logs.
    std::string requestId;
    /// Idempotency key, or empty.
    std::string key;
    std::uint32_t priority = 0;
    /// Time after which the answer is of no use.
    milliseconds deadline{0};
    std::string body;
};

/// How a call of the backend server ended.
enum class BackendCallEnd {
    Complete, ///< The whole answer came.
    NotConnected, ///< No connection could be made: the call was surely not run.
    Cut, ///< The connection was lost after the call was sent: it may have run.
    TimedOut, ///< The deadline passed after the call was sent: it may have run.
};

/// Receives the answer of one call.
class BackendCallHandler
{
public:
    virtual ~BackendCallHandler() = default;

    virtual void answerStarted(std::uint32_t httpStatus, const std::string &contentType) = 0;
    virtual void answerBytes(std::string_view bytes) = 0;
    /// Called once, last.
    virtual void answerEnded(BackendCallEnd end) = 0;
};

/// Calls the backend server beside this process over HTTP/1.1 (libcurl). Belongs to its loop's
/// thread.
class BackendClient
{
public:
    using CallId = std::uint64_t;

    /// @param url Base of the backend server, "http://127.0.0.1:9000".
    BackendClient(EventLoop &loop, std::string url);
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    /// Starts a call.
    CallId start(BackendCall call, std::shared_ptr<BackendCallHandler> handler);

    /// Starts a health check (GET /health); only its end matters.
    CallId checkHealth(milliseconds timeout, std::shared_ptr<BackendCallHandler> handler);

    /// Gives a call up and closes its connection. Its handler is not called again.
    void cancel(CallId call);

    /// Stops or goes on reading an answer, while whoever it goes to is slow.
    void setPaused(CallId call, bool paused);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
