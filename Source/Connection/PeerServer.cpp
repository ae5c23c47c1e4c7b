#include "Connection/PeerServer.h"

#include <unordered_map>
#include <utility>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>

#include "Connection/FrameCodec.h"
#include "Connection/Http2Headers.h"
#include "Connection/Http2Link.h"
#include "Connection/ListenAddress.h"

namespace wisteria {

namespace {

constexpr std::uint32_t maxConcurrentStreams = 16384;
constexpr std::int32_t connectionWindowBytes = 64 * 1024 * 1024;
/// streamDrained() is called when the queue of an answer shrinks from more than this size to at
/// most this size.
constexpr std::size_t lowWatermarkBytes = 64 * 1024;
constexpr int acceptsPerRound = 64;

struct ServerStream
{
    std::string path;
    FrameReader reader;
    std::vector<std::string> frames;
    std::string answer;
    std::size_t answerSent = 0;
    bool answering = false;
    bool answerComplete = false;
    bool deferred = false;
    bool delivered = false;
    bool aboveLowWatermark = false;
};

PeerStreamId streamIdOf(std::uint32_t session, std::int32_t stream)
{
    return (static_cast<PeerStreamId>(session) << 32) | static_cast<std::uint32_t>(stream);
}

} // namespace

class PeerServer::Private
{
public:
    /// One peer's connection.
    class Session
    {
    public:
        Session(Private &server, std::uint32_t id, int descriptor) : server_(server), sessionId_(id)
        {
            nghttp2_session *session = createSession();
            link_ = std::make_unique<Http2Link>(server.loop_, session, descriptor,
                                                [this] { server_.sessionClosed(sessionId_); });
        }

        void reply(std::int32_t id, std::string_view frames, bool last)
        {
            ServerStream *stream = find(id);
            if (!stream || stream->answerComplete)
                return;
            stream->answer.append(frames);
            stream->answerComplete = last;
            stream->aboveLowWatermark =
                stream->answer.size() - stream->answerSent > lowWatermarkBytes;
            if (!stream->answering)
                startAnswer(id, *stream);
            else if (std::exchange(stream->deferred, false))
                nghttp2_session_resume_data(link_->session(), id);
            link_->flushSoon();
        }

        void abort(std::int32_t id)
        {
            nghttp2_submit_rst_stream(link_->session(), NGHTTP2_FLAG_NONE, id,
                                      NGHTTP2_INTERNAL_ERROR);
            link_->flushSoon();
        }

        std::size_t queuedBytes(std::int32_t id)
        {
            const ServerStream *stream = find(id);
            return stream ? stream->answer.size() - stream->answerSent : 0;
        }

        /// Sends a GOAWAY with the last stream that is answered; the peer sends later requests to
        /// other peers.
        void announceShutdown()
        {
            nghttp2_submit_goaway(link_->session(), NGHTTP2_FLAG_NONE,
                                  nghttp2_session_get_last_proc_stream_id(link_->session()),
                                  NGHTTP2_NO_ERROR, nullptr, 0);
            link_->flushSoon();
        }

        std::size_t openStreams() const { return streams_.size(); }

        void cancelAll()
        {
            std::unordered_map<std::int32_t, std::unique_ptr<ServerStream>> streams;
            streams.swap(streams_);
            for (const auto &[id, stream] : streams) {
                if (stream->delivered)
                    server_.service_.streamCancelled(streamIdOf(sessionId_, id));
            }
        }

    private:
        nghttp2_session *createSession()
        {
            nghttp2_session_callbacks *callbacks = nullptr;
            nghttp2_session_callbacks_new(&callbacks);
            nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &Session::onBegin);
            nghttp2_session_callbacks_set_on_header_callback(callbacks, &Session::onHeader);
            nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Session::onData);
            nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Session::onFrame);
            nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Session::onClosed);
            nghttp2_session *session = nullptr;
            nghttp2_session_server_new(&session, callbacks, this);
            nghttp2_session_callbacks_del(callbacks);
            const nghttp2_settings_entry settings[] = {
                {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams}};
            nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
            nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                                  connectionWindowBytes);
            return session;
        }

        ServerStream *find(std::int32_t id)
        {
            const auto found = streams_.find(id);
            return found == streams_.end() ? nullptr : found->second.get();
        }

        void startAnswer(std::int32_t id, ServerStream &stream)
        {
            stream.answering = true;
            nghttp2_data_provider provider{};
            provider.source.ptr = this;
            provider.read_callback = &Session::readAnswer;
            const nghttp2_nv status = http2Header(":status", "200");
            nghttp2_submit_response(link_->session(), id, &status, 1, &provider);
        }

        static ssize_t readAnswer(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                                  std::size_t length, std::uint32_t *flags,
                                  nghttp2_data_source *source, void *)
        {
            auto *self = static_cast<Session *>(source->ptr);
            ServerStream *stream = self->find(id);
            if (!stream)
                return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
            const std::size_t copied =
                stream->answer.copy(reinterpret_cast<char *>(buffer), length, stream->answerSent);
            stream->answerSent += copied;
            if (stream->answerSent == stream->answer.size()) {
                stream->answer.clear();
                stream->answerSent = 0;
                if (stream->answerComplete)
                    *flags |= NGHTTP2_DATA_FLAG_EOF;
            }
            self->noteDrained(id, *stream);
            if (copied == 0 && !stream->answerComplete) {
                stream->deferred = true;
                return NGHTTP2_ERR_DEFERRED;
            }
            return static_cast<ssize_t>(copied);
        }

        void noteDrained(std::int32_t id, ServerStream &stream)
        {
            if (!stream.aboveLowWatermark
                || stream.answer.size() - stream.answerSent > lowWatermarkBytes)
                return;
            stream.aboveLowWatermark = false;
            Private *server = &server_;
            server_.loop_.defer([server, stream = streamIdOf(sessionId_, id)] {
                server->service_.streamDrained(stream);
            });
        }

        static int onBegin(nghttp2_session *, const nghttp2_frame *frame, void *self)
        {
            auto *session = static_cast<Session *>(self);
            session->streams_[frame->hd.stream_id] = std::make_unique<ServerStream>();
            return 0;
        }

        static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                            std::size_t nameLength, const std::uint8_t *value,
                            std::size_t valueLength, std::uint8_t, void *self)
        {
            const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
            ServerStream *stream = static_cast<Session *>(self)->find(frame->hd.stream_id);
            if (stream && key == ":path")
                stream->path.assign(reinterpret_cast<const char *>(value), valueLength);
            return 0;
        }

        static int onData(nghttp2_session *session, std::uint8_t, std::int32_t id,
                          const std::uint8_t *data, std::size_t length, void *self)
        {
            ServerStream *stream = static_cast<Session *>(self)->find(id);
            if (!stream)
                return 0;
            stream->reader.feed({reinterpret_cast<const char *>(data), length});
            while (true) {
                auto frame = stream->reader.next();
                if (frame.has_error()) {
                    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id,
                                              NGHTTP2_PROTOCOL_ERROR);
                    return 0;
                }
                if (!frame.value())
                    return 0;
                stream->frames.push_back(std::move(*frame.value()));
            }
        }

        static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *self)
        {
            auto *session = static_cast<Session *>(self);
            if (!(frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
                return 0;
            if (frame->hd.type != NGHTTP2_DATA && frame->hd.type != NGHTTP2_HEADERS)
                return 0;
            session->deliver(frame->hd.stream_id);
            return 0;
        }

        void deliver(std::int32_t id)
        {
            ServerStream *stream = find(id);
            if (!stream)
                return;
            if (stream->reader.hasUnreadBytes())
                return abort(id);
            stream->delivered = true;
            server_.service_.requestReceived(streamIdOf(sessionId_, id), stream->path,
                                             std::move(stream->frames));
        }

        static int onClosed(nghttp2_session *, std::int32_t id, std::uint32_t error, void *self)
        {
            auto *session = static_cast<Session *>(self);
            const auto found = session->streams_.find(id);
            if (found == session->streams_.end())
                return 0;
            const std::unique_ptr<ServerStream> stream = std::move(found->second);
            session->streams_.erase(found);
            if (stream->delivered && (error != NGHTTP2_NO_ERROR || !stream->answerComplete))
                session->server_.service_.streamCancelled(streamIdOf(session->sessionId_, id));
            return 0;
        }

        Private &server_;
        std::uint32_t sessionId_;
        std::unordered_map<std::int32_t, std::unique_ptr<ServerStream>> streams_;
        std::unique_ptr<Http2Link> link_;
    };

    Private(EventLoop &loop, PeerService &service) : loop_(loop), service_(service) { }

    ~Private() { stopListening(); }

    Result<std::string> listen(const std::string &address)
    {
        const ACE_INET_Addr local(address.c_str());
        if (acceptor_.open(local, 1) == -1)
            return listenFailure(address);
        listening_ = true;
        acceptor_.enable(ACE_NONBLOCK);
        loop_.watch(acceptor_.get_handle(), Interest{.read = true}, [this](Interest) { accept(); });
        ACE_INET_Addr bound;
        acceptor_.get_local_addr(bound);
        return addressText(bound);
    }

    void stopListening()
    {
        if (!std::exchange(listening_, false))
            return;
        loop_.unwatch(acceptor_.get_handle());
        acceptor_.close();
    }

    void accept()
    {
        for (int round = 0; round < acceptsPerRound; ++round) {
            ACE_SOCK_Stream peer;
            if (acceptor_.accept(peer, nullptr, nullptr, false) == -1)
                return;
            peer.enable(ACE_NONBLOCK);
            int enabled = 1;
            peer.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            const std::uint32_t id = ++lastSession_;
            sessions_[id] = std::make_unique<Session>(*this, id, peer.get_handle());
            peer.set_handle(ACE_INVALID_HANDLE);
        }
    }

    Session *find(PeerStreamId stream)
    {
        const auto found = sessions_.find(static_cast<std::uint32_t>(stream >> 32));
        return found == sessions_.end() ? nullptr : found->second.get();
    }

    void sessionClosed(std::uint32_t id)
    {
        const auto found = sessions_.find(id);
        if (found == sessions_.end())
            return;
        const std::unique_ptr<Session> session = std::move(found->second);
        sessions_.erase(found);
        session->cancelAll();
    }

    EventLoop &loop_;
    PeerService &service_;
    ACE_SOCK_Acceptor acceptor_;
    bool listening_ = false;
    std::uint32_t lastSession_ = 0;
    std::unordered_map<std::uint32_t, std::unique_ptr<Session>> sessions_;
};

PeerServer::PeerServer(EventLoop &loop, PeerService &service)
    : private_(std::make_unique<Private>(loop, service))
{ }

PeerServer::~PeerServer() = default;

Result<std::string> PeerServer::listen(const std::string &address)
{
    return private_->listen(address);
}

void PeerServer::reply(PeerStreamId stream, std::string_view frames, bool last)
{
    if (Private::Session *session = private_->find(stream))
        session->reply(static_cast<std::int32_t>(stream), frames, last);
}

void PeerServer::abort(PeerStreamId stream)
{
    if (Private::Session *session = private_->find(stream))
        session->abort(static_cast<std::int32_t>(stream));
}

std::size_t PeerServer::queuedBytes(PeerStreamId stream) const
{
    Private::Session *session = private_->find(stream);
    return session ? session->queuedBytes(static_cast<std::int32_t>(stream)) : 0;
}

void PeerServer::beginShutdown()
{
    private_->stopListening();
    for (const auto &[id, session] : private_->sessions_)
        session->announceShutdown();
}

std::size_t PeerServer::openStreams() const
{
    std::size_t open = 0;
    for (const auto &[id, session] : private_->sessions_)
        open += session->openStreams();
    return open;
}

} // namespace wisteria
