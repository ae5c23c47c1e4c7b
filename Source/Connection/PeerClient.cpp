#include "Connection/PeerClient.h"

#include <cerrno>
#include <charconv>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>

#include "Connection/AnswerFault.h"
#include "Connection/FrameCodec.h"
#include "Connection/Http2Headers.h"
#include "Connection/Http2Link.h"
#include "Process/Logging.h"

namespace wisteria {

namespace {

/// Flow control window of the whole connection. It is large, so that only the windows of streams
/// limit a peer.
constexpr std::int32_t connectionWindowBytes = 16 * 1024 * 1024;
/// Status of each answer of a peer, which says all else in its messages.
constexpr int statusOfPeers = 200;

struct Stream
{
    std::shared_ptr<PeerStreamHandler> handler;
    std::string request;
    std::size_t requestSent = 0;
    FrameReader reader;
    bool headersSent = false;
    bool refusedUnprocessed = false;
    bool malformed = false;
    std::size_t interimAnswers = 0;
    bool endReceived = false;
    bool paused = false;
    /// Number of bytes received while paused, for which no window update was sent.
    std::size_t unconsumedBytes = 0;
};

} // namespace

class PeerClient::Private
{
public:
    Private(EventLoop &loop, std::string address, PeerTimeouts timeouts)
        : loop_(loop), address_(std::move(address)), timeouts_(timeouts)
    { }

    ~Private()
    {
        loop_.cancel(timer_);
        if (!connecting_)
            return;
        loop_.unwatch(socket_.get_handle());
        socket_.close();
        nghttp2_session_del(session_);
    }

    Result<StreamId> open(const std::string &path, std::string frames,
                          std::shared_ptr<PeerStreamHandler> handler)
    {
        const auto ready = ensureSession();
        if (ready.has_error())
            return ready.error();
        auto stream = std::make_unique<Stream>();
        stream->handler = std::move(handler);
        stream->request = std::move(frames);
        const RequestHeaders headers(path, address_);
        nghttp2_data_provider provider{};
        provider.source.ptr = stream.get();
        provider.read_callback = &Private::readRequest;
        const StreamId id = nghttp2_submit_request(session_, nullptr, headers.data(),
                                                   headers.size(), &provider, nullptr);
        if (id < 0)
            return failure(ErrorKind::Unavailable,
                           address_ + ": takes no further stream (" + nghttp2_strerror(id)
                               + "); the request was not sent, try another peer");
        streams_[id] = std::move(stream);
        if (link_)
            link_->flushSoon();
        return id;
    }

    void cancel(StreamId id)
    {
        const auto found = streams_.find(id);
        if (found == streams_.end())
            return;
        found->second->handler = nullptr;
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        if (link_)
            link_->flushSoon();
    }

    void setPaused(StreamId id, bool paused)
    {
        Stream *stream = find(id);
        if (!stream || stream->paused == paused)
            return;
        stream->paused = paused;
        if (paused)
            return;
        nghttp2_session_consume_stream(session_, id, std::exchange(stream->unconsumedBytes, 0));
        if (link_)
            link_->flushSoon();
    }

    std::size_t openStreams() const { return streams_.size(); }

private:
    Result<void> ensureSession()
    {
        if (session_ && nghttp2_session_check_request_allowed(session_))
            return boost::outcome_v2::success();
        if (session_)
            return failure(ErrorKind::Unavailable,
                           address_ + ": the connection is closing; the request was not sent");
        if (monotonicNow() < retryAt_)
            return failure(ErrorKind::Unavailable,
                           address_
                               + ": could not be reached a moment ago; "
                                 "the request was not sent, try another peer");
        return connect();
    }

    Result<void> connect()
    {
        const ACE_INET_Addr remote(address_.c_str());
        ACE_SOCK_Connector connector;
        const ACE_Time_Value noWait = ACE_Time_Value::zero;
        socket_.set_handle(ACE_INVALID_HANDLE);
        if (connector.connect(socket_, remote, &noWait) == -1 && errno != EWOULDBLOCK
            && errno != EINPROGRESS) {
            socket_.close();
            retryAt_ = monotonicNow() + timeouts_.backoff;
            return failure(ErrorKind::Unavailable,
                           address_ + ": can't be connected to; the request was not sent");
        }
        socket_.enable(ACE_NONBLOCK);
        createSession();
        connecting_ = true;
        loop_.watch(socket_.get_handle(), Interest{.write = true},
                    [this](Interest) { onConnectResult(); });
        timer_ = loop_.runAfter(timeouts_.connect, [this] { connectionFailed(); });
        return boost::outcome_v2::success();
    }

    void createSession()
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, &Private::onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Private::onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Private::onFrame);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &Private::onFrameSent);
        nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks,
                                                                 &Private::onFrameNotSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Private::onStreamClosed);
        nghttp2_option *option = nullptr;
        nghttp2_option_new(&option);
        nghttp2_option_set_no_auto_window_update(option, 1);
        nghttp2_session_client_new2(&session_, callbacks, this, option);
        nghttp2_option_del(option);
        nghttp2_session_callbacks_del(callbacks);
        nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
        nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                              connectionWindowBytes);
    }

    void onConnectResult()
    {
        int error = 0;
        socklen_t length = sizeof(error);
        ::getsockopt(socket_.get_handle(), SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0)
            return connectionFailed();
        loop_.cancel(timer_);
        loop_.unwatch(socket_.get_handle());
        connecting_ = false;
        const int enabled = 1;
        socket_.set_option(IPPROTO_TCP, TCP_NODELAY, const_cast<int *>(&enabled), sizeof(enabled));
        link_ = std::make_unique<Http2Link>(loop_, session_, socket_.get_handle(),
                                            [this] { connectionLost(); });
        socket_.set_handle(ACE_INVALID_HANDLE);
        scheduleKeepalive();
    }

    void connectionFailed()
    {
        loop_.cancel(timer_);
        loop_.unwatch(socket_.get_handle());
        socket_.close();
        connecting_ = false;
        nghttp2_session_del(session_);
        session_ = nullptr;
        retryAt_ = monotonicNow() + timeouts_.backoff;
        endAllStreams();
    }

    void connectionLost()
    {
        loop_.cancel(timer_);
        link_.reset();
        session_ = nullptr;
        endAllStreams();
    }

    /// Reports all open streams as incomplete, and those whose request was not sent also as not
    /// received by the peer.
    void endAllStreams()
    {
        std::unordered_map<StreamId, std::unique_ptr<Stream>> streams;
        streams.swap(streams_);
        for (auto &[id, stream] : streams)
            reportEnd(*stream, false);
    }

    static void reportEnd(Stream &stream, bool complete)
    {
        if (!stream.handler)
            return;
        const auto handler = std::exchange(stream.handler, nullptr);
        const bool mayHaveReached = stream.headersSent && !stream.refusedUnprocessed;
        handler->streamClosed(
            {.complete = complete && !stream.malformed, .mayHaveReached = mayHaveReached});
    }

    /// The connection to a frozen peer (stopped process, failed VM) stays open, and the kernel of a
    /// stopped process still acknowledges bytes. Only a missing answer to a PING reveals the
    /// failure. Without this check a caller would wait until its deadline.
    void scheduleKeepalive()
    {
        timer_ = loop_.runAfter(timeouts_.ping, [this] {
            const auto silent = monotonicNow() - link_->lastReceivedAt();
            if (silent >= timeouts_.silence && !streams_.empty())
                return connectionLost();
            if (silent >= timeouts_.ping && !streams_.empty()) {
                nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
                link_->flushSoon();
            }
            scheduleKeepalive();
        });
    }

    Stream *find(StreamId id)
    {
        const auto found = streams_.find(id);
        return found == streams_.end() ? nullptr : found->second.get();
    }

    static ssize_t readRequest(nghttp2_session *, std::int32_t, std::uint8_t *buffer,
                               std::size_t length, std::uint32_t *flags,
                               nghttp2_data_source *source, void *)
    {
        auto *stream = static_cast<Stream *>(source->ptr);
        const std::size_t copied =
            stream->request.copy(reinterpret_cast<char *>(buffer), length, stream->requestSent);
        stream->requestSent += copied;
        if (stream->requestSent == stream->request.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            stream->request = std::string();
            stream->requestSent = 0;
        }
        return static_cast<ssize_t>(copied);
    }

    /// Checks the status. nghttp2 itself only refuses one that is not three digits, and a head
    /// whose fields break a rule.
    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                        std::uint8_t, void *self)
    {
        const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
        if (key != ":status")
            return 0;
        const std::string_view text(reinterpret_cast<const char *>(value), valueLength);
        int status = 0;
        std::from_chars(text.data(), text.data() + text.size(), status);
        static_cast<Private *>(self)->checkStatus(frame->hd.stream_id, status);
        return 0;
    }

    void checkStatus(StreamId id, int status)
    {
        Stream *stream = find(id);
        if (!stream || stream->malformed)
            return;
        const std::optional<AnswerFault> fault = isInterimStatus(status)
            ? faultOfInterim(status, ++stream->interimAnswers)
            : faultOfFinalStatus(status);
        if (!fault && (isInterimStatus(status) || status == statusOfPeers))
            return;
        loggerFor("peer")->warn("{}: no answer with status {}; {}.", address_, status,
                                fault ? describe(*fault) : "peers answer with 200");
        stream->malformed = true;
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_PROTOCOL_ERROR);
    }

    static int onData(nghttp2_session *session, std::uint8_t, std::int32_t id,
                      const std::uint8_t *data, std::size_t length, void *self)
    {
        nghttp2_session_consume_connection(session, length);
        Stream *stream = static_cast<Private *>(self)->find(id);
        if (!stream || !stream->handler || stream->malformed)
            return 0;
        if (stream->paused)
            stream->unconsumedBytes += length;
        else
            nghttp2_session_consume_stream(session, id, length);
        stream->reader.feed({reinterpret_cast<const char *>(data), length});
        while (stream->handler) {
            auto frame = stream->reader.next();
            if (frame.has_error()) {
                stream->malformed = true;
                nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_PROTOCOL_ERROR);
                return 0;
            }
            if (!frame.value())
                return 0;
            const auto handler = stream->handler;
            handler->frameReceived(*frame.value());
        }
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *self)
    {
        if (frame->hd.type == NGHTTP2_GOAWAY)
            static_cast<Private *>(self)->markUnprocessedAbove(frame->goaway.last_stream_id);
        Stream *stream = static_cast<Private *>(self)->find(frame->hd.stream_id);
        if (stream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
            stream->endReceived = true;
        if (stream && frame->hd.type == NGHTTP2_RST_STREAM
            && frame->rst_stream.error_code == NGHTTP2_REFUSED_STREAM)
            stream->refusedUnprocessed = true;
        return 0;
    }

    /// The GOAWAY of a peer names the last stream that it processes; later ones are unprocessed.
    void markUnprocessedAbove(StreamId lastProcessed)
    {
        for (auto &[id, stream] : streams_) {
            if (id > lastProcessed)
                stream->refusedUnprocessed = true;
        }
    }

    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *self)
    {
        Stream *stream = static_cast<Private *>(self)->find(frame->hd.stream_id);
        if (stream && frame->hd.type == NGHTTP2_HEADERS)
            stream->headersSent = true;
        return 0;
    }

    static int onFrameNotSent(nghttp2_session *, const nghttp2_frame *frame, int, void *self)
    {
        if (frame->hd.type == NGHTTP2_HEADERS)
            static_cast<Private *>(self)->closeStream(frame->hd.stream_id, false);
        return 0;
    }

    static int onStreamClosed(nghttp2_session *, std::int32_t id, std::uint32_t error, void *self)
    {
        static_cast<Private *>(self)->closeStream(id, error == NGHTTP2_NO_ERROR);
        return 0;
    }

    void closeStream(StreamId id, bool clean)
    {
        const auto found = streams_.find(id);
        if (found == streams_.end())
            return;
        const std::unique_ptr<Stream> stream = std::move(found->second);
        streams_.erase(found);
        reportEnd(*stream, clean && stream->endReceived && !stream->reader.hasUnreadBytes());
    }

    EventLoop &loop_;
    std::string address_;
    PeerTimeouts timeouts_;
    ACE_SOCK_Stream socket_;
    bool connecting_ = false;
    nghttp2_session *session_ = nullptr;
    std::unique_ptr<Http2Link> link_;
    std::unordered_map<StreamId, std::unique_ptr<Stream>> streams_;
    EventLoop::TimerId timer_ = 0;
    TimePoint retryAt_{};
};

PeerClient::PeerClient(EventLoop &loop, std::string address, PeerTimeouts timeouts)
    : private_(std::make_unique<Private>(loop, std::move(address), timeouts))
{ }

PeerClient::~PeerClient() = default;

Result<PeerClient::StreamId> PeerClient::open(const std::string &path, std::string frames,
                                              std::shared_ptr<PeerStreamHandler> handler)
{
    return private_->open(path, std::move(frames), std::move(handler));
}

void PeerClient::cancel(StreamId stream)
{
    private_->cancel(stream);
}

void PeerClient::setPaused(StreamId stream, bool paused)
{
    private_->setPaused(stream, paused);
}

std::size_t PeerClient::openStreams() const
{
    return private_->openStreams();
}

} // namespace wisteria
