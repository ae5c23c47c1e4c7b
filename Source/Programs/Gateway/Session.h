#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "Connection/CallerConnection.h"
#include "Programs/Gateway/Exchange.h"

namespace wisteria {

/// Callbacks from a session to its gateway.
struct SessionEvents
{
    /// The connection is closed; the session may be destroyed.
    std::function<void()> closed;
    /// A request waits for a slot.
    std::function<void()> queued;
    /// So many bytes have been received from the caller.
    std::function<void(std::size_t)> received;
    /// A slot may be free.
    std::function<void()> slotFreed;
};

/// A caller's connection and its current request.
class Session : public AnswerSink
{
public:
    Session(GatewayContext &context, int descriptor, SessionEvents events);
    ~Session() override;

    Exchange *exchange() { return exchange_.get(); }
    /// Whether there is no current request. Its answer may still be queued for a slow caller.
    bool idle() const { return !exchange_ && !early_; }
    /// Whether nothing of another request has arrived since the connection was opened, or the last
    /// answer was sent, so long ago.
    bool unused(milliseconds time, TimePoint now) const;
    /// Whether the connection is closed once its caller has taken the rest of the answer.
    bool draining() const { return draining_; }
    void checkTimeouts(TimePoint now);
    /// Number of bytes that are held of the connection's requests and answers.
    std::size_t heldBytes() const;
    /// When the connection began with its current request, or to wait for one.
    TimePoint since() const;
    /// Ends what the connection holds, because the gateway holds too much: a request that has not
    /// run is refused, an answer that is being received is cut, and one that the caller does not
    /// take is broken off.
    void cut(TimePoint now);
    /// Closes a connection that has no current request.
    void closeIdle();
    /// Answers what has been read of a request, because the gateway exits.
    void endForStop(TimePoint now);
    /// Whether a part of a stream has been sent to the caller.
    bool streaming() const { return exchange_ && exchange_->streaming(); }

private:
    /// A request that arrived before a configuration and the backend servers were known.
    struct EarlyRequest
    {
        GatewayRequest request;
        TimePoint arrived;
        TimePoint waitUntil;
    };

    HttpLimits takeLimits();
    milliseconds waitLimit(bool requestBegun) const;
    void startRequest(HttpRequest request);
    void waitForConfiguration(GatewayRequest request, TimePoint now);
    void checkEarly(TimePoint now);
    void logEarlyAbandoned();
    void admit(GatewayRequest request, TimePoint arrived, TimePoint now);
    void onFault(RequestFault fault);
    void answerWithoutExchange(int status, const std::string &attemptId, milliseconds retryAfter,
                               const char *reason);
    void finishRequest(bool keepAlive);
    bool keepsAlive() const;
    void closeConnection();

    void answer(int status, const HttpFields &fields, std::string_view body) override;
    void beginStream(int status, const HttpFields &fields) override;
    void sendStream(std::string_view bytes) override;
    void endStream() override;
    void abort() override;
    std::size_t queuedBytes() const override { return connection_.queued(); }

    GatewayContext &context_;
    SessionEvents events_;
    /// Those in force when the last request began, or else when the connection was opened.
    CallerLimits limits_;
    CallerConnection connection_;
    std::unique_ptr<Exchange> exchange_;
    std::optional<EarlyRequest> early_;
    bool keepAlive_ = true;
    /// Whether the request that is being answered is a HEAD.
    bool isHeadRequest_ = false;
    bool closed_ = false;
    bool draining_ = false;
};

} // namespace wisteria
