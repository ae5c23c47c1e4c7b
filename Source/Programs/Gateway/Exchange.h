#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Programs/Gateway/GatewayContext.h"
#include "Request/CallerRequest.h"
#include "Request/EventSplitter.h"
#include "Request/RetryDecision.h"

namespace wisteria {

/// Where the answer of an exchange goes.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    /// A whole answer with a length.
    virtual void answer(int status, const HttpFields &fields, std::string_view body) = 0;
    /// The head of a stream, then its bytes, then its end.
    virtual void beginStream(int status, const HttpFields &fields) = 0;
    virtual void sendStream(std::string_view bytes) = 0;
    virtual void endStream() = 0;
    /// Closes the connection so that the answer can't look complete.
    virtual void abort() = 0;
    /// Bytes that the caller has not taken yet.
    virtual std::size_t queued() const = 0;
};

/// One attempt of a caller, from its arrival to its answer: waits for a place, is sent, sent again
/// where that is allowed, and answered. Destroying it drops whatever is under way.
class Exchange
{
public:
    /// @param arrived When the request came; it may have waited for a configuration since.
    Exchange(GatewayContext &context, AnswerSink &sink, CallerRequest request, Access access,
             std::string service, TimePoint arrived);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /// Looks for a place; called at the arrival and whenever one may be free.
    /// @return Whether it no longer waits.
    bool tryDispatch(TimePoint now);

    /// Ends what has waited or worked for too long.
    void checkTimeouts(TimePoint now);

    /// The caller takes bytes again.
    void callerDrained();

    bool waiting() const { return waiting_; }
    bool finished() const { return finished_; }
    std::uint32_t priority() const { return priority_; }
    TimePoint arrived() const { return arrived_; }
    const std::string &service() const { return service_; }

private:
    milliseconds timeLeft(TimePoint now) const { return remaining(now, deadline_); }
    bool waitIsWorthIt(const BackendChoice &choice, TimePoint now) const;
    void startWaiting();
    void stopWaiting();
    void send(BackendState &backend, TimePoint now);
    bool acceptsHead(const HttpResponseHead &head) const;
    void onHead(const HttpResponseHead &head);
    void onBody(std::string_view bytes);
    void onComplete();
    void onFailed(const CallFailure &failure);
    void forwardEvents(std::string_view bytes);
    bool forwardsStream() const;
    void completeStream();
    void noteGoodAnswer();
    void forwardAnswer();
    void endSend(SendOutcome outcome, const std::string &reason);
    void releaseBackend();
    void moveOffSlowBackend(TimePoint now);
    BackendChoice chooseNext(double maxLoad, TimePoint now);
    BackendState *backendNow();
    void refuse(const char *reason, const BackendChoice &choice, TimePoint now);
    void finish(int status, const char *reason, TimePoint now);
    void countEnd(int status, const char *reason, TimePoint now);

    GatewayContext &context_;
    AnswerSink &sink_;
    CallerRequest request_;
    /// Keeps the route alive that the request came in on.
    std::shared_ptr<const RouteTable> routes_;
    const RouteRule &route_;
    std::string organisation_;
    std::uint32_t priority_ = 0;
    std::string service_;
    TimePoint arrived_;
    TimePoint deadline_;
    /// The service's backend servers are ranks of groups.
    bool inGroup_ = false;
    /// Latest moment at which it still waits for its first place.
    TimePoint waitUntil_;
    /// When it looks for a place again although none has become free.
    TimePoint tryAgainAt_ = TimePoint::max();
    bool waiting_ = true;
    /// Counted among those that wait for a place of the service.
    bool queued_ = false;
    bool finished_ = false;
    SendHistory history_;
    std::vector<std::string> tried_;
    std::unique_ptr<HttpCall> call_;
    std::string backendId_;
    TimePoint sentAt_;
    TimePoint lastByteAt_;
    TimePoint firstEventAt_;
    milliseconds longestPause_{0};
    BackendAnswerHead head_;
    std::string body_;
    EventSplitter splitter_;
};

} // namespace wisteria
