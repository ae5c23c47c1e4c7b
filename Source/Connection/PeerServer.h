#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Process/Error.h"
#include "Process/EventLoop.h"

namespace wisteria {

/// Name of one stream of a PeerServer; never used twice.
using PeerStreamId = std::uint64_t;

/// What a PeerServer's streams are answered by. Called on the loop's thread.
class PeerService
{
public:
    virtual ~PeerService() = default;

    /// A whole request has come.
    virtual void requestReceived(PeerStreamId stream, const std::string &path,
                                 std::vector<std::string> frames) = 0;

    /// The peer has gone or does not want the answer any more.
    virtual void streamCancelled(PeerStreamId stream) = 0;

    /// An answer that was waiting for the peer has been taken by it.
    virtual void streamDrained(PeerStreamId stream) { static_cast<void>(stream); }
};

/// Takes HTTP/2 connections from other processes of the system.
class PeerServer
{
public:
    /// @param service Must outlive the server.
    PeerServer(EventLoop &loop, PeerService &service);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Starts to listen.
    /// @param address IP number and port; port 0 takes a free one.
    /// @return The address with the port in use; BadSettings when it can't be had.
    Result<std::string> listen(const std::string &address);

    /// Sends bytes of an answer. Streams that are gone are ignored: a late answer ends here.
    /// @param frames Framed by FrameCodec.
    /// @param last Whether the answer is whole with these bytes.
    void reply(PeerStreamId stream, std::string_view frames, bool last);

    /// Cuts a stream so that the peer sees its answer as cut.
    void abort(PeerStreamId stream);

    /// Bytes of an answer that wait for the peer.
    std::size_t queuedBytes(PeerStreamId stream) const;

    /// Takes no new connection or stream and lets the present streams end.
    void beginShutdown();

    /// Streams without an end so far.
    std::size_t openStreams() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
