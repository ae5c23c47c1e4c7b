#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "Connection/HttpReader.h"
#include "Connection/TcpConnection.h"

namespace wisteria {

/// Callbacks of a caller's connection.
struct CallerEvents
{
    std::function<void(HttpRequest)> request;
    /// The caller's bytes can't be read as a request.
    std::function<void(RequestFault)> fault;
    /// The caller closed the connection, or it was lost.
    std::function<void()> closed;
    /// All queued bytes have been handed to the kernel.
    std::function<void()> drained;
    /// So many bytes have been received; called before any other callback for them.
    std::function<void(std::size_t)> received{};
};

/// A caller's connection at the gateway, or a client's at a StatusListener. Handles one request at
/// a time: the next one only after finishAnswer().
class CallerConnection
{
public:
    /// @param limits Called when the first byte of each request is read.
    CallerConnection(EventLoop &loop, int descriptor, HttpLimitsSource limits, CallerEvents events);

    /// Sends a part of an answer.
    void send(std::string_view bytes) { tcp_->send(bytes); }

    /// Lets the caller pause for some time while it reads the answer, which is complete and longer
    /// than what the kernel takes for a caller that does not read.
    void allowPauses();

    /// Ends the answer and handles the next request.
    void finishAnswer(TimePoint now);

    /// Closes the connection once all queued bytes have been sent and the caller has had a short
    /// time to take them; then calls `closed`.
    void close();

    /// Closes the connection without sending the queued bytes and without a TCP reset, so that the
    /// caller can't take an unfinished answer for a complete one.
    void abort();

    std::size_t queued() const { return tcp_ ? tcp_->queued() : 0; }
    /// Number of bytes that are held of requests that are being read and of answers that the caller
    /// has not taken yet.
    std::size_t heldBytes() const { return reader_.heldBytes() + queued(); }
    bool answering() const { return answering_; }
    /// When the connection began to wait for a request or, once its first byte has arrived, for the
    /// rest of that request.
    TimePoint waitingSince() const { return waitingSince_; }
    /// Whether at least one byte of the next request has been received.
    bool requestStarted() const { return reader_.requestStarted(); }
    /// Whether bytes of the caller have arrived that are not read yet.
    bool bytesWaiting() const { return tcp_ && tcp_->bytesWaiting(); }

private:
    void feed(std::string_view bytes);
    void handleNext();
    void handleOne();

    /// Reading pauses when more bytes than this are buffered while a request is being handled
    /// (pipelined requests).
    static constexpr std::size_t maxPipelinedBytes = 65536;

    CallerEvents events_;
    RequestReader reader_;
    std::unique_ptr<TcpConnection> tcp_;
    bool answering_ = false;
    /// handleNext() is running, so that an answer that is given at once does not call it again.
    bool handling_ = false;
    bool closing_ = false;
    TimePoint waitingSince_;
};

} // namespace wisteria
