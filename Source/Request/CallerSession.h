#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Connection/CallerServer.h"
#include "Connection/PeerPool.h"
#include "Process/EventLoop.h"
#include "Request/EntryRequest.h"

namespace wisteria {

/// Objects that the sessions of one traffic thread share. All of them outlive the sessions.
struct CallerSessionContext
{
    EventLoop &loop;
    PeerPool &peers;
    EntryState &state;
    EntryShared &shared;
    /// Called once for each session with its outcome, for metrics.
    std::function<void(const std::string &outcome, const std::string &reason,
                       std::chrono::microseconds took)>
        report;
};

/// Handles one caller's request: performs the actions of EntryRequest.h on streams to agents, and
/// applies the agents' frames as events and as the caller's answer.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /// @param closed Called once, when the request has ended.
    CallerSession(CallerSessionContext &context, std::shared_ptr<CallerExchange> exchange,
                  CallerRequest request, std::function<void()> closed);

    /// Starts the request; it may end within this call.
    void start();

    /// Ends the request because the caller hung up.
    void callerGone();

    /// Resumes reading from the agent because the caller has read what was queued for it.
    void callerCaughtUp();

private:
    class Attempt;

    void perform(EntryAction action);
    EntryAction performOne(const EntryAction &action);
    EntryAction send(const SendAttempt &attempt);
    void refuse(const Refusal &refusal);
    void beginAnswer(const StartAnswer &answer);
    void flushAnswer();
    void frameReceived(const std::string &content);
    void streamClosed(const StreamEnd &end);
    void appendChunk(const std::string &bytes);
    void finishAnswer(bool complete);
    void deadline();
    void cancelStream();
    void finish(const std::string &outcome, const std::string &reason);

    CallerSessionContext &context_;
    std::shared_ptr<CallerExchange> exchange_;
    CallerRequest request_;
    std::function<void()> onClosed_;
    RequestState state_;
    TimePoint startedAt_;
    EventLoop::TimerId timer_ = 0;
    std::shared_ptr<Attempt> attempt_;
    PeerClient *client_ = nullptr;
    PeerClient::StreamId stream_ = 0;
    StartAnswer answer_;
    std::string buffered_;
    bool answering_ = false;
    bool streaming_ = false;
    bool paused_ = false;
    bool ended_ = false;
};

} // namespace wisteria
