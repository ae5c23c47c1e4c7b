#pragma once

#include <functional>
#include <string>

#include <nghttp2/nghttp2.h>

#include "Process/EventLoop.h"

namespace wisteria {

/// Moves the bytes of one HTTP/2 session over one non-blocking socket. Owns both.
class Http2Link
{
public:
    /// @param session Taken over.
    /// @param descriptor A connected, non-blocking socket; taken over.
    /// @param closed Called once, at the end of a round of the loop, when the peer has gone, the
    /// session has nothing left to do or the bytes were no HTTP/2. The link may be destroyed there.
    Http2Link(EventLoop &loop, nghttp2_session *session, int descriptor,
              std::function<void()> closed);
    ~Http2Link();
    Http2Link(const Http2Link &) = delete;
    Http2Link &operator=(const Http2Link &) = delete;

    nghttp2_session *session() const { return session_; }

    /// Sends what the session has to send at the end of this round, so that many messages share one
    /// system call.
    void flushSoon();

    /// Sends what the session has to send now, as far as the socket takes it.
    void flush();

    /// When bytes last came from the peer.
    TimePoint lastHeard() const { return lastHeard_; }

    bool isClosed() const { return closing_; }

private:
    void ready(Interest interest);
    void receive();
    void updateInterest();
    void close();

    EventLoop &loop_;
    nghttp2_session *session_;
    int descriptor_;
    std::function<void()> closed_;
    std::string pending_;
    std::size_t sent_ = 0;
    TimePoint lastHeard_;
    Interest interest_;
    bool flushScheduled_ = false;
    bool closing_ = false;
    /// Outlives the link in deferred tasks, which find out by it that the link is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace wisteria
