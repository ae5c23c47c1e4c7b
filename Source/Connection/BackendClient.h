#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "Process/EventLoop.h"

namespace wisteria {

/// One request to the backend server.
struct BackendCall
{
    std::string service;
    /// Request id in hexadecimal, for the backend server's logs.
    std::string requestId;
    /// Idempotency key, or empty.
    std::string key;
    std::uint32_t priority = 0;
    /// Time that the call may take; the caller has no use for a later answer.
    milliseconds deadline{0};
    std::string body;
};

/// How a call ended.
enum class BackendCallEnd {
    Complete, ///< The complete answer was received.
    NotConnected, ///< No byte of the request was sent: it was not run.
    Malformed, ///< What was received is no answer (AnswerFault): the request may have run.
    ConnectionLost, ///< The connection was lost after the request was sent: it may have run.
    TimedOut, ///< The deadline passed after the request was sent: it may have run.
};

/// Receives the answer of one call.
class BackendCallHandler
{
public:
    virtual ~BackendCallHandler() = default;

    virtual void answerStarted(std::uint32_t httpStatus, const std::string &contentType) = 0;
    virtual void answerBytes(std::string_view bytes) = 0;
    /// Called once, as the last callback. Not called after cancel().
    virtual void answerEnded(BackendCallEnd end) = 0;
};

/// Calls the backend server on the same VM over HTTP/1.1 (libcurl). Must be used on its loop's
/// thread only.
class BackendClient
{
public:
    using CallId = std::uint64_t;

    /// @param url Base URL of the backend server, "http://127.0.0.1:9000".
    BackendClient(EventLoop &loop, std::string url);
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    /// Starts a call.
    CallId start(BackendCall call, std::shared_ptr<BackendCallHandler> handler);

    /// Starts a health check (GET /health).
    CallId checkHealth(milliseconds timeout, std::shared_ptr<BackendCallHandler> handler);

    /// Cancels a call and closes its connection. Its handler is not called again.
    void cancel(CallId call);

    /// Pauses or resumes reading an answer, so that answers to slow callers don't fill the memory.
    void setPaused(CallId call, bool paused);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
