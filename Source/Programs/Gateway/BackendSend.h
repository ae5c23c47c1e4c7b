#pragma once

#include <memory>
#include <string>

#include "Programs/Gateway/GatewayContext.h"
#include "Programs/Gateway/RequestSuspicion.h"

namespace wisteria {

/// The present send of a request to a backend server, and what is recorded of it. Destroying it
/// does not end the send; see release().
class BackendSend
{
public:
    /// A request as it is sent.
    struct Message
    {
        std::string attemptId;
        /// Time that the backend server gets for it.
        milliseconds timeLeft{0};
        std::string text;
        ConnectionUse use = ConnectionUse::Fresh;
    };

    BackendSend(GatewayContext &context, RequestSuspicion &suspicion);
    BackendSend(const BackendSend &) = delete;
    BackendSend &operator=(const BackendSend &) = delete;

    void begin(BackendState &backend, Message message, CallEvents events, TimePoint now);
    /// Records that the gateway gives up the send, so that a crash right after it can be traced.
    void noteGivenUp(TimePoint now);
    /// Ends the send, which resets its connection unless a whole answer has come.
    void release(TimePoint now);

    bool active() const { return call_ != nullptr; }
    /// Whether the request was passed to an established connection; the server may have read it.
    bool delivered() const { return call_ && call_->sent(); }
    /// Id of the backend server; empty after release().
    const std::string &backendId() const { return backendId_; }
    /// The backend server; null if it is no longer known.
    BackendState *backend() const;
    /// When the last send began.
    TimePoint begunAt() const { return begunAt_; }
    /// Number of bytes of the request that the server has not taken yet.
    std::size_t queuedBytes() const { return call_ ? call_->queuedBytes() : 0; }
    void pauseReading(bool pause);

private:
    GatewayContext &context_;
    RequestSuspicion &suspicion_;
    std::unique_ptr<HttpCall> call_;
    std::string backendId_;
    TimePoint begunAt_;
};

} // namespace wisteria
