#include "Connection/TcpConnection.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>

namespace wisteria {

namespace {

/// Size of the read buffer in bytes. A server-sent event has a few hundred bytes, so one read
/// usually returns all available bytes.
constexpr std::size_t readBufferBytes = 16384;
/// TCP_USER_TIMEOUT: the connection ends when sent bytes stay unacknowledged for this long. Without
/// it a connection to a VM that lost power hangs until the kernel's default timeout of many
/// minutes. The value for servers is five times the wait before a lost packet is retransmitted: a
/// request sent on an idle connection whose peer is gone must fail well before its caller's
/// timeout.
constexpr milliseconds callerUserTimeout{4000};
constexpr milliseconds serverUserTimeout{1000};
/// Maximum number of connections that wait to be accepted. When the backlog is full, the kernel
/// drops the SYN and the caller retransmits it after one second, which delays its request by that
/// time.
constexpr int acceptBacklog = 1024;
/// Connections accepted before other events get their turn. More than that in one turn would starve
/// the open connections and all timers while new ones come as fast as they can be accepted.
constexpr int maxAcceptsPerTurn = 16;
/// A connection that is being closed is given up when the peer has sent nothing for this long, has
/// kept it open for the longest time, or has sent so many bytes that are dropped.
constexpr milliseconds lingerIdleTime{500};
constexpr milliseconds maxLingerTime{3000};
constexpr std::size_t maxLingerBytes = 33554432;

ACE_INET_Addr toAce(const Endpoint &endpoint)
{
    return ACE_INET_Addr(endpoint.port, endpoint.ip);
}

/// Returns why no connection was established, from the error of the kernel.
TcpEnd failedConnect(int error)
{
    return error == ECONNREFUSED ? TcpEnd::Refused : TcpEnd::NotEstablished;
}

void setUserTimeout(ACE_SOCK_Stream &stream, milliseconds userTimeout)
{
    unsigned int timeout = static_cast<unsigned int>(userTimeout.count());
    stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

void setOptions(ACE_SOCK_Stream &stream, milliseconds userTimeout)
{
    stream.enable(ACE_NONBLOCK);
    int noDelay = 1;
    stream.set_option(IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
    setUserTimeout(stream, userTimeout);
}

} // namespace

class TcpConnection::Private : public std::enable_shared_from_this<TcpConnection::Private>
{
public:
    Private(EventLoop &loop, TcpEvents events) : loop_(loop), events_(std::move(events)) { }

    void connect(const Endpoint &to)
    {
        connecting_ = true;
        ACE_SOCK_Connector connector;
        const ACE_INET_Addr address = toAce(to);
        const int result = connector.connect(stream_, address, &ACE_Time_Value::zero);
        if (result == -1 && errno != EWOULDBLOCK && errno != EINPROGRESS && errno != ETIME) {
            // The owner doesn't hold the connection yet, so the callback runs after this call.
            loop_.defer(
                [self = shared_from_this(), reason = failedConnect(errno)] { self->end(reason); });
            return;
        }
        setOptions(stream_, serverUserTimeout);
        watch();
    }

    void adopt(int descriptor)
    {
        stream_.set_handle(descriptor);
        setOptions(stream_, callerUserTimeout);
        watch();
    }

    void watch()
    {
        const Interest interest{.read = lingering_ || (!paused_ && !connecting_ && !closing_),
                                .write = connecting_ || queued() > 0};
        if (watching_ && interest == interest_)
            return;
        interest_ = interest;
        watching_ = true;
        loop_.watch(stream_.get_handle(), interest,
                    [self = shared_from_this()](Interest ready) { self->onReady(ready); });
    }

    void onReady(Interest ready)
    {
        if (!open_)
            return;
        if (connecting_) {
            finishConnect();
            return;
        }
        if (ready.write)
            flush();
        if (ready.read && open_)
            read();
    }

    void finishConnect()
    {
        int error = 0;
        int length = sizeof(error);
        stream_.get_option(SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            end(failedConnect(error));
            return;
        }
        connecting_ = false;
        watch();
        if (events_.connected)
            events_.connected();
        if (open_)
            flush();
    }

    void read()
    {
        static thread_local std::array<char, readBufferBytes> buffer;
        const ssize_t count = stream_.recv(buffer.data(), buffer.size());
        if (count > 0 && lingering_) {
            dropReceived(static_cast<std::size_t>(count));
            return;
        }
        if (count > 0) {
            events_.received(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
            return;
        }
        if (count == 0) {
            end(TcpEnd::Closed);
            return;
        }
        if (errno != EWOULDBLOCK && errno != EINTR)
            end(TcpEnd::Reset);
    }

    void send(std::string_view bytes)
    {
        if (!open_ || closing_)
            return;
        if (queued() == 0 && !connecting_) {
            const ssize_t count = stream_.send(bytes.data(), bytes.size());
            if (count > 0)
                bytes.remove_prefix(static_cast<std::size_t>(count));
            // An error is handled by the next read; bytes that could not be sent are dropped then.
        }
        if (bytes.empty())
            return;
        dropSent();
        queue_.append(bytes);
        watch();
    }

    /// Frees the sent part of the queue once it is the larger one, so that a long queue is moved a
    /// few times and not with each part that a slow peer takes.
    void dropSent()
    {
        if (sent_ <= queued())
            return;
        queue_.erase(0, sent_);
        queue_.shrink_to_fit();
        sent_ = 0;
    }

    std::size_t queued() const { return queue_.size() - sent_; }

    bool bytesWaiting() const
    {
        char byte = 0;
        return open_ && stream_.recv(&byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    void flush()
    {
        while (queued() > 0) {
            const ssize_t count = stream_.send(queue_.data() + sent_, queued());
            if (count <= 0) {
                dropSent();
                if (count == -1 && errno != EWOULDBLOCK && errno != EINTR)
                    end(TcpEnd::Reset);
                return;
            }
            sent_ += static_cast<std::size_t>(count);
        }
        dropSent();
        if (closing_) {
            shutDownWriting();
            return;
        }
        watch();
        if (events_.drained)
            events_.drained();
    }

    void closeWhenDrained()
    {
        if (closing_)
            return;
        closing_ = true;
        if (queued() == 0)
            shutDownWriting();
        else
            watch();
    }

    /// Tells the peer that nothing more comes, and drops what it still sends.
    void shutDownWriting()
    {
        if (!open_ || lingering_)
            return;
        lingering_ = true;
        lingerUntil_ = monotonicNow() + maxLingerTime;
        stream_.close_writer();
        watch();
        scheduleLingerCheck();
    }

    void scheduleLingerCheck()
    {
        lingerTimer_ =
            loop_.runAfter(lingerIdleTime, [self = shared_from_this()] { self->checkLinger(); });
    }

    void checkLinger()
    {
        lingerTimer_ = 0;
        const bool idle = std::exchange(droppedSinceCheck_, 0) == 0;
        if (idle || monotonicNow() >= lingerUntil_)
            end(TcpEnd::Closed);
        else
            scheduleLingerCheck();
    }

    void dropReceived(std::size_t bytes)
    {
        droppedSinceCheck_ += bytes;
        dropped_ += bytes;
        if (dropped_ > maxLingerBytes)
            end(TcpEnd::Closed);
    }

    void end(TcpEnd reason)
    {
        if (!open_)
            return;
        close();
        // The callback may destroy the connection and `events_`, so a copy is called.
        const auto ended = events_.ended;
        if (ended)
            ended(reason);
    }

    void abort()
    {
        constexpr int lingerOn = 1;
        constexpr int lingerSeconds = 0;
        linger reset{lingerOn, lingerSeconds};
        stream_.set_option(SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close();
    }

    void close()
    {
        if (!open_)
            return;
        open_ = false;
        loop_.cancel(std::exchange(lingerTimer_, 0));
        if (stream_.get_handle() == ACE_INVALID_HANDLE)
            return;
        loop_.unwatch(stream_.get_handle());
        stream_.close();
    }

    EventLoop &loop_;
    TcpEvents events_;
    ACE_SOCK_Stream stream_;
    std::string queue_;
    /// Bytes at the beginning of the queue that the kernel has taken already.
    std::size_t sent_ = 0;
    Interest interest_;
    bool watching_ = false;
    bool open_ = true;
    bool connecting_ = false;
    bool paused_ = false;
    bool closing_ = false;
    /// The second step of closing; see TcpConnection::closeWhenDrained().
    bool lingering_ = false;
    TimePoint lingerUntil_;
    EventLoop::TimerId lingerTimer_ = 0;
    std::size_t droppedSinceCheck_ = 0;
    std::size_t dropped_ = 0;
};

TcpConnection::TcpConnection(std::shared_ptr<Private> state) : private_(std::move(state)) { }

TcpConnection::~TcpConnection()
{
    private_->close();
    private_->events_.ended = nullptr;
}

std::unique_ptr<TcpConnection> TcpConnection::connect(EventLoop &loop, const Endpoint &to,
                                                      TcpEvents events)
{
    auto state = std::make_shared<Private>(loop, std::move(events));
    state->connect(to);
    return std::unique_ptr<TcpConnection>(new TcpConnection(std::move(state)));
}

std::unique_ptr<TcpConnection> TcpConnection::adopt(EventLoop &loop, int descriptor,
                                                    TcpEvents events)
{
    auto state = std::make_shared<Private>(loop, std::move(events));
    state->adopt(descriptor);
    return std::unique_ptr<TcpConnection>(new TcpConnection(std::move(state)));
}

void TcpConnection::send(std::string_view bytes)
{
    private_->send(bytes);
}

std::size_t TcpConnection::queued() const
{
    return private_->queued();
}

bool TcpConnection::bytesWaiting() const
{
    return private_->bytesWaiting();
}

void TcpConnection::pauseReading(bool pause)
{
    private_->paused_ = pause;
    if (private_->open_ && !private_->connecting_)
        private_->watch();
}

void TcpConnection::setPeerTimeout(milliseconds timeout)
{
    if (private_->open_)
        setUserTimeout(private_->stream_, timeout);
}

void TcpConnection::closeWhenDrained()
{
    private_->closeWhenDrained();
}

void TcpConnection::abort()
{
    private_->abort();
}

class TcpListener::Private
{
public:
    EventLoop &loop_;
    std::function<void(int)> accepted_;
    ACE_SOCK_Acceptor acceptor_;

    void accept(int most)
    {
        ACE_SOCK_Stream stream;
        for (int count = 0; count < most; ++count) {
            if (acceptor_.accept(stream, nullptr, nullptr, false) != 0)
                return;
            accepted_(stream.get_handle());
            stream.set_handle(ACE_INVALID_HANDLE);
            if (acceptor_.get_handle() == ACE_INVALID_HANDLE)
                return; // The callback has closed the listener.
        }
    }
};

TcpListener::TcpListener(EventLoop &loop, std::function<void(int)> accepted)
    : private_(new Private{loop, std::move(accepted), {}})
{ }

TcpListener::~TcpListener()
{
    close();
}

Endpoint TcpListener::address() const
{
    ACE_INET_Addr local;
    private_->acceptor_.get_local_addr(local);
    return {local.get_ip_address(), local.get_port_number()};
}

void TcpListener::acceptWaiting()
{
    private_->accept(acceptBacklog);
}

void TcpListener::close()
{
    if (private_->acceptor_.get_handle() == ACE_INVALID_HANDLE)
        return;
    private_->loop_.unwatch(private_->acceptor_.get_handle());
    private_->acceptor_.close();
}

Result<void> TcpListener::listen(const Endpoint &address)
{
    constexpr int reuseAddress = 1;
    if (private_->acceptor_.open(toAce(address), reuseAddress, PF_INET, acceptBacklog) == -1) {
        return failure(ErrorKind::BadSettings,
                       "can't listen on " + toText(address) + " (" + std::strerror(errno)
                           + "); check that the address is this VM's and that no other process or "
                             "setting has the port");
    }
    private_->acceptor_.enable(ACE_NONBLOCK);
    private_->loop_.watch(private_->acceptor_.get_handle(), Interest{.read = true},
                          [this](Interest) { private_->accept(maxAcceptsPerTurn); });
    return boost::outcome_v2::success();
}

} // namespace wisteria
