#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Programs/Gateway/AnswerRelay.h"
#include "Programs/Gateway/BackendSend.h"
#include "Programs/Gateway/GatewayContext.h"
#include "Programs/Gateway/GatewayMetrics.h"
#include "Programs/Gateway/PriorityAdmission.h"
#include "Programs/Gateway/RequestSuspicion.h"
#include "Request/GatewayRequest.h"
#include "Request/MoveDecision.h"
#include "Request/RetryDecision.h"

namespace wisteria {

/// One HTTP request of a caller (an attempt, as callers count), from its arrival to its answer: it
/// waits for a slot, is sent to a backend server, is retried where that is allowed, and is
/// answered. The entry names differently: there, an attempt is one send to a backend server.
/// Destroying an exchange cancels a send in progress.
class Exchange
{
public:
    /// @param arrived When the request arrived; it may have waited for a configuration since then.
    Exchange(GatewayContext &context, AnswerSink &sink, GatewayRequest request, Access access,
             std::string service, TimePoint arrived);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /// Sends the request if a backend server has a slot; called on arrival and whenever a slot may
    /// be free.
    /// @return False if the request waits on; true if it was sent or refused.
    bool tryDispatch(TimePoint now);

    /// Ends a wait or a send that has timed out, and moves a stream off a slow backend server.
    void checkTimeouts(TimePoint now);
    /// Ends the request, or the present send of it, because the gateway holds too many bytes.
    void cut(TimePoint now);
    /// Answers the request because the gateway exits, or cuts its stream off.
    void endForStop(TimePoint now);
    /// Whether a part of a stream has been sent to the caller.
    bool streaming() const { return history_.answerBegun; }
    /// Number of bytes that are held of the request and its answer.
    std::size_t heldBytes() const;
    const std::string &id() const { return request_.attemptId; }

    /// Reads from the backend server again, as the caller has received all queued bytes.
    void resumeReading();

    /// Whether the first send is still pending.
    bool waiting() const { return waiting_; }
    bool finished() const { return finished_; }
    /// Its urgency and its place in the admission queue.
    const PriorityAdmission &admission() const { return admission_; }
    PriorityAdmission &admission() { return admission_; }
    TimePoint arrived() const { return arrived_; }
    const std::string &service() const { return service_; }

private:
    /// An answer of the gateway instead of a backend server's.
    struct OwnAnswer
    {
        int status = 0;
        /// For the log line and metrics.
        const char *reason = "";
        milliseconds retryAfter{0};
        std::string body{};
    };

    milliseconds timeLeft(TimePoint now) const { return remaining(now, deadline_); }
    milliseconds timeNeeded(TimePoint now);
    bool fitsPlannedStop(TimePoint now) const;
    bool maySendAgain(SendOutcome outcome, const SendHistory &history, TimePoint now) const;
    bool shouldWait(const BackendChoice &choice, TimePoint now) const;
    TimePoint waitTimeout(NoBackendReason reason) const;
    void endWait(TimePoint now);
    void send(BackendState &backend, TimePoint now);
    bool acceptsHead(const HttpResponseHead &head) const;
    void onHead(const HttpResponseHead &head);
    void onBody(std::string_view bytes);
    void onComplete();
    void onFailed(const CallFailure &failure);
    void noteAnswerWithoutServerError();
    void forwardAnswer();
    void endSend(SendOutcome outcome, const std::string &reason);
    void continueAfter(SendOutcome outcome, TimePoint now);
    bool sendAgain(SendOutcome outcome, BackendChoice &refusalCause, TimePoint now);
    bool waitForOtherRuns(TimePoint mayRunAt, TimePoint now);
    TimePoint groupOpenedAt() const;
    bool holdRetry(SendOutcome outcome, TimePoint now);
    void noteCompleteAnswer();
    void refuseQuarantined(TimePoint now);
    void refuseForStop(TimePoint now);
    void checkServer(TimePoint now);
    void moveOff(const BackendState &server, MoveCause cause, TimePoint now);
    BackendChoice chooseNext(double maxLoad, TimePoint now);
    void refuse(const char *reason, const BackendChoice &choice, TimePoint now);
    void answerItself(const OwnAnswer &answer, TimePoint now);
    void finish(int status, const char *reason, TimePoint now);
    RequestEnd endOf(int status, const char *reason, TimePoint now) const;

    GatewayContext &context_;
    AnswerSink &sink_;
    GatewayRequest request_;
    /// Keeps the route of the request alive when a new configuration replaces it.
    std::shared_ptr<const RouteTable> routes_;
    const RouteRule &route_;
    std::string service_;
    PriorityAdmission admission_;
    RequestSuspicion suspicion_;
    TimePoint arrived_;
    TimePoint deadline_;
    /// Whether the service's backend servers are ranks of groups.
    bool inGroup_ = false;
    bool isEngine_ = false;
    /// When a request that still waits for its first slot is refused.
    TimePoint waitUntil_;
    /// The same for a suspect request that waits for another run, from its first such wait on.
    TimePoint suspectWaitUntil_;
    /// When the request looks for a slot again even if none has become free.
    TimePoint nextDispatchAt_ = TimePoint::max();
    bool waiting_ = true;
    bool finished_ = false;
    SendHistory history_;
    std::vector<std::string> tried_;
    /// A send has ended and it is not decided yet what follows: it is being found out whether the
    /// server crashed, or reports about that are awaited until `decideAt_`.
    std::optional<SendOutcome> undecided_;
    TimePoint decideAt_ = TimePoint::max();
    /// Whether the connection of the last send ended.
    bool connectionEnded_ = false;
    BackendSend send_;
    TimePoint sendEndedAt_;
    AnswerRelay relay_;
};

} // namespace wisteria
