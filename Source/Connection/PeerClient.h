#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Process/Error.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// How a stream to a peer came to its end.
struct StreamEnd
{
    /// The peer ended its answer itself; false when it was cut.
    bool complete = false;
    /// Bytes of the request may have left this process and not been refused unprocessed. False is
    /// proof that the peer never saw the request.
    bool mayHaveReached = false;
};

/// Receives what a peer answers on one stream.
class PeerStreamHandler
{
public:
    virtual ~PeerStreamHandler() = default;

    /// One frame's content, in order.
    virtual void frameReceived(const std::string &content) = 0;

    /// Called once, last.
    virtual void streamClosed(const StreamEnd &end) = 0;
};

/// Time limits of a connection to a peer.
struct PeerTimeouts
{
    milliseconds connect{500};
    /// Silence after which the peer is asked for a sign of life (HTTP/2 PING).
    milliseconds ping{1000};
    /// Silence after which the connection is given up: the peer is frozen or cut off, which the
    /// socket alone would not show.
    milliseconds silence{3000};
    /// Wait after a failed connection before the next try.
    milliseconds backoff{200};
};

/// One HTTP/2 connection to one peer, made when first needed and remade after it was lost. Belongs
/// to its loop's thread.
class PeerClient
{
public:
    using StreamId = std::int32_t;

    /// @param address IP number and port, "127.0.0.1:7001".
    PeerClient(EventLoop &loop, std::string address, PeerTimeouts timeouts = {});
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Opens a stream and sends a request on it.
    /// @param frames The whole request, as FrameCodec frames it.
    /// @return Unavailable when the peer is known to be out of reach; the request was not sent.
    Result<StreamId> open(const std::string &path, std::string frames,
                          std::shared_ptr<PeerStreamHandler> handler);

    /// Tells the peer that the answer is not wanted any more. The handler is not called again.
    void cancel(StreamId stream);

    /// Holds a stream's peer back or lets it go on. While held back, the peer sends at most one
    /// window (64 KB) more; a slow reader thus slows its own stream and nobody else's.
    void setPaused(StreamId stream, bool paused);

    /// Streams without an end so far.
    std::size_t openStreams() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
