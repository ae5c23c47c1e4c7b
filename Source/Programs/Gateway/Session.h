#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "Connection/CallerConnection.h"
#include "Programs/Gateway/Exchange.h"

namespace wisteria {

/// What a session asks of its gateway.
struct SessionEvents
{
    /// The connection is over; the session may be destroyed.
    std::function<void()> closed;
    /// A request waits for a place.
    std::function<void()> queued;
    /// A place may be free.
    std::function<void()> slotFreed;
    /// The gateway is stopping: each answer is the connection's last.
    std::function<bool()> stopping;
};

/// A caller's connection and the request that is under way on it.
class Session : public AnswerSink
{
public:
    Session(GatewayContext &context, int descriptor, SessionEvents events);
    ~Session() override;

    Exchange *exchange() { return exchange_.get(); }
    bool idle() const { return !exchange_ && !early_; }
    void checkTimeouts(TimePoint now);
    /// Closes a connection on which no request is under way.
    void closeIdle();

private:
    /// A request that came before a configuration was known.
    struct EarlyRequest
    {
        CallerRequest request;
        TimePoint arrived;
        TimePoint waitUntil;
    };

    void begin(HttpRequest request);
    void waitForConfiguration(CallerRequest request, TimePoint now);
    void checkEarly(TimePoint now);
    void noteEarlyLeft();
    void admit(CallerRequest request, TimePoint arrived, TimePoint now);
    void onFault(RequestFault fault);
    void answerNow(int status, const std::string &attemptId, milliseconds retryAfter,
                   const char *reason);
    void done(bool keepAlive);

    void answer(int status, const HttpFields &fields, std::string_view body) override;
    void beginStream(int status, const HttpFields &fields) override;
    void sendStream(std::string_view bytes) override;
    void endStream() override;
    void abort() override;
    std::size_t queued() const override { return connection_.queued(); }

    GatewayContext &context_;
    SessionEvents events_;
    CallerLimits limits_;
    CallerConnection connection_;
    std::unique_ptr<Exchange> exchange_;
    std::optional<EarlyRequest> early_;
    bool keepAlive_ = true;
    bool over_ = false;
};

} // namespace wisteria
