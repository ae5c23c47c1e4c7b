#pragma once

#include <functional>
#include <string>

#include <nghttp2/nghttp2.h>

#include "Process/EventLoop.h"

namespace wisteria {

/// Transfers the bytes of an HTTP/2 session over a non-blocking socket. Owns both.
class Http2Link
{
public:
    /// @param session The link becomes its owner.
    /// @param descriptor A connected, non-blocking socket. The link becomes its owner.
    /// @param closed Called once, at the end of a loop iteration, when the connection was lost, the
    /// session has finished or the peer violated HTTP/2. May destroy the link.
    Http2Link(EventLoop &loop, nghttp2_session *session, int descriptor,
              std::function<void()> closed);
    ~Http2Link();
    Http2Link(const Http2Link &) = delete;
    Http2Link &operator=(const Http2Link &) = delete;

    nghttp2_session *session() const { return session_; }

    /// Sends the session's output at the end of this loop iteration, so that many messages share
    /// one system call.
    void flushSoon();

    /// Sends as much of the session's output as the socket accepts now.
    void flush();

    /// When bytes were last received from the peer.
    TimePoint lastReceivedAt() const { return lastReceivedAt_; }

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
    TimePoint lastReceivedAt_;
    Interest interest_;
    bool flushScheduled_ = false;
    bool closing_ = false;
    /// Set to false by the destructor. Deferred tasks hold a copy and do nothing once it is false.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace wisteria
