#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Process/Error.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// How a stream to a peer ended.
struct StreamEnd
{
    /// The peer sent a complete answer. False when the stream was aborted or the connection lost.
    bool complete = false;
    /// The peer may have processed the request. False is proof that it did not: nothing was sent,
    /// or the peer refused the stream unprocessed.
    bool mayHaveReached = false;
};

/// Receives the answer on one stream.
class PeerStreamHandler
{
public:
    virtual ~PeerStreamHandler() = default;

    /// Receives the content of each frame, in order.
    virtual void frameReceived(const std::string &content) = 0;

    /// Called once, as the last callback. Not called after cancel().
    virtual void streamClosed(const StreamEnd &end) = 0;
};

/// Time limits of a connection to a peer.
struct PeerTimeouts
{
    milliseconds connect{500};
    /// Time without received bytes after which a keepalive (HTTP/2 PING) is sent while streams are
    /// open.
    milliseconds ping{1000};
    /// Time without received bytes after which a connection with open streams is closed: the peer
    /// is frozen or unreachable, which the socket doesn't report.
    milliseconds silence{3000};
    /// Minimum time between a failed connection attempt and the next one.
    milliseconds backoff{200};
};

/// An HTTP/2 connection to one peer, opened on first use and reopened on the next use after it was
/// lost. Must be used on its loop's thread only.
class PeerClient
{
public:
    using StreamId = std::int32_t;

    /// @param address IP address and port, "127.0.0.1:7001".
    PeerClient(EventLoop &loop, std::string address, PeerTimeouts timeouts = {});
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Opens a stream and sends a request on it.
    /// @param frames The complete request, encoded by appendFrame().
    /// @return Unavailable when the stream can't be opened now; the request was not sent.
    Result<StreamId> open(const std::string &path, std::string frames,
                          std::shared_ptr<PeerStreamHandler> handler);

    /// Resets a stream whose answer is no longer needed. Its handler is not called again.
    void cancel(StreamId stream);

    /// Pauses or resumes receiving on a stream by withholding window updates. While it is paused,
    /// the peer sends at most one window (64 KB) more, so a slow reader slows only its own stream.
    void setPaused(StreamId stream, bool paused);

    /// Number of open streams.
    std::size_t openStreams() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
