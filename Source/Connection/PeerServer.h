#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Process/Error.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// Identifier of one stream of a PeerServer; never reused.
using PeerStreamId = std::uint64_t;

/// Handles the requests of a PeerServer. Called on the loop's thread.
class PeerService
{
public:
    virtual ~PeerService() = default;

    /// A complete request was received.
    virtual void requestReceived(PeerStreamId stream, const std::string &path,
                                 std::vector<std::string> frames) = 0;

    /// The peer or abort() reset the stream, or the connection was lost.
    virtual void streamCancelled(PeerStreamId stream) = 0;

    /// The queue of an answer has fallen to the low watermark; more bytes may be sent.
    virtual void streamDrained(PeerStreamId stream) { static_cast<void>(stream); }
};

/// HTTP/2 server for the system's other processes.
class PeerServer
{
public:
    /// @param service Must outlive the server.
    PeerServer(EventLoop &loop, PeerService &service);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Starts listening.
    /// @param address IP address and port; for port 0 the kernel chooses a free one.
    /// @return The bound address with its port; BadSettings when listening fails.
    Result<std::string> listen(const std::string &address);

    /// Sends bytes of an answer. Drops them when the stream has ended already.
    /// @param frames Encoded by appendFrame().
    /// @param last Whether these bytes complete the answer.
    void reply(PeerStreamId stream, std::string_view frames, bool last);

    /// Resets a stream, so that the peer sees its answer as incomplete.
    void abort(PeerStreamId stream);

    /// Number of bytes of an answer that are not yet passed to the connection.
    std::size_t queuedBytes(PeerStreamId stream) const;

    /// Stops listening and tells all peers to open no further streams (GOAWAY). Open streams are
    /// still answered.
    void beginShutdown();

    /// Number of open streams.
    std::size_t openStreams() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
