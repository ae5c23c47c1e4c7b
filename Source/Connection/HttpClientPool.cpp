#include "Connection/HttpClientPool.h"

#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include "Connection/HttpReader.h"
#include "Connection/TcpConnection.h"

namespace wisteria {

namespace {

/// Idle timeout when the server announces none. Shorter than the idle timeouts of common servers,
/// so that no request is sent while the server closes the connection.
constexpr milliseconds defaultIdleTimeout{2000};
/// Subtracted from the idle timeout that the server announced. Covers the network delay and a late
/// timer.
constexpr milliseconds idleTimeoutMargin{700};
/// Time from the first byte of an answer to the end of its head. A head is sent at once; a server
/// that sends it bit by bit would keep its caller waiting until the deadline.
constexpr milliseconds headTimeout{500};

/// Returns the idle timeout from the "timeout=5" of a Keep-Alive field, less the margin.
milliseconds idleTimeoutOf(const HttpResponseHead &head)
{
    const std::string *field = findField(head.fields, "Keep-Alive");
    if (field == nullptr)
        return defaultIdleTimeout;
    const std::size_t at = field->find("timeout=");
    if (at == std::string::npos)
        return defaultIdleTimeout;
    int value = 0;
    const char *begin = field->data() + at + std::string_view("timeout=").size();
    std::from_chars(begin, field->data() + field->size(), value);
    return std::max(milliseconds(0), milliseconds(seconds(value)) - idleTimeoutMargin);
}

/// Callbacks of the call that currently uses a connection; empty while the connection is idle.
struct ConnectionCallbacks
{
    std::function<void()> connected;
    std::function<void(std::string_view)> received;
    std::function<void(TcpEnd)> ended;
    /// Set when the connection has ended, or has received bytes while idle.
    std::shared_ptr<bool> unusable = std::make_shared<bool>(false);
};

TcpEvents eventsOf(const std::shared_ptr<ConnectionCallbacks> &callbacks)
{
    return {.connected =
                [callbacks] {
                    const auto callback = callbacks->connected;
                    if (callback)
                        callback();
                },
            .received =
                [callbacks](std::string_view bytes) {
                    const auto callback = callbacks->received;
                    if (callback)
                        callback(bytes);
                    else
                        *callbacks->unusable = true;
                },
            .ended =
                [callbacks](TcpEnd end) {
                    *callbacks->unusable = true;
                    const auto callback = callbacks->ended;
                    if (callback)
                        callback(end);
                },
            .drained = {}};
}

struct PooledConnection
{
    std::unique_ptr<TcpConnection> tcp;
    std::shared_ptr<ConnectionCallbacks> callbacks;
};

/// A connection without a request in flight.
struct IdleConnection
{
    PooledConnection connection;
    TimePoint expiresAt;
};

} // namespace

class HttpClientPool::Private
{
public:
    explicit Private(EventLoop &loop) : loop_(loop) { }

    EventLoop &loop_;
    std::map<Endpoint, std::vector<IdleConnection>> idle_;
    std::uint64_t opened_ = 0;
    bool closed_ = false;
};

namespace {

class PooledCall : public HttpCall
{
public:
    PooledCall(EventLoop &loop, CallEvents events, bool isHeadRequest)
        : loop_(loop), events_(std::move(events)), isHeadRequest_(isHeadRequest)
    {
        startReader();
    }

    ~PooledCall() override
    {
        *destroyed_ = true;
        loop_.cancel(headTimer_);
        if (!callbacks_)
            return;
        // The answer is no longer needed. After an orderly close a frozen backend server would
        // still read and run the request when it resumes, seconds later; after a reset it does not.
        tcp_->abort();
        closeConnection();
    }

    bool sent() const override { return sent_; }

    std::size_t queuedBytes() const override
    {
        return request_.size() + (tcp_ ? tcp_->queued() : 0);
    }

    void pauseReading(bool pause) override
    {
        if (tcp_)
            tcp_->pauseReading(pause);
    }

    void attach(PooledConnection connection, bool connected, std::string request)
    {
        tcp_ = std::move(connection.tcp);
        callbacks_ = std::move(connection.callbacks);
        request_ = std::move(request);
        callbacks_->connected = [this] { send(); };
        callbacks_->received = [this](std::string_view bytes) { feed(bytes); };
        callbacks_->ended = [this](TcpEnd end) { onEnded(end); };
        if (connected)
            send();
    }

    std::function<void(PooledConnection, milliseconds)> storeIdle_;

private:
    void startReader()
    {
        reader_ = std::make_unique<ResponseReader>(
            ResponseEvents{.head = [this](HttpResponseHead head) { onHead(std::move(head)); },
                           .body = [this](std::string_view bytes) { onBody(bytes); },
                           .complete = [this] { onComplete(); },
                           .malformed = [this](AnswerFault fault) { fail(fault); }},
            isHeadRequest_);
    }

    void send()
    {
        sent_ = true;
        tcp_->send(request_);
        request_.clear();
    }

    void feed(std::string_view bytes)
    {
        const auto destroyed = destroyed_;
        reader_->feed(bytes);
        if (!*destroyed)
            watchHead();
    }

    void watchHead()
    {
        if (!callbacks_ || !reader_->insideHead()) {
            loop_.cancel(std::exchange(headTimer_, 0));
            return;
        }
        if (headTimer_ != 0)
            return;
        headTimer_ = loop_.runAfter(headTimeout, [this] {
            headTimer_ = 0;
            fail(AnswerFault::TooSlow);
        });
    }

    void onHead(HttpResponseHead head)
    {
        skippingAnswer_ = events_.accept && !events_.accept(head);
        if (skippingAnswer_ && answerSkipped_) {
            fail("a second answer to another request");
            return;
        }
        if (skippingAnswer_) {
            answerSkipped_ = true;
            return;
        }
        headReceived_ = true;
        head_ = std::move(head);
        // The callback may destroy the call and `events_`, so a copy is called.
        const auto callback = events_.head;
        callback(head_);
    }

    void onBody(std::string_view bytes)
    {
        if (skippingAnswer_)
            return;
        const auto callback = events_.body;
        callback(bytes);
    }

    void onComplete()
    {
        if (skippingAnswer_) {
            const std::string remaining = reader_->trailingBytes();
            // The reader is running this callback, so it must not be destroyed yet.
            previousReader_ = std::move(reader_);
            startReader();
            skippingAnswer_ = false;
            if (!remaining.empty())
                reader_->feed(remaining);
            return;
        }
        const bool reusable = head_.keepAlive && head_.selfDelimited && !answerSkipped_
            && reader_->trailingBytes().empty() && tcp_->queued() == 0 && !*callbacks_->unusable;
        if (reusable)
            returnToPool();
        else
            closeConnection();
        const auto complete = events_.complete;
        complete();
    }

    void onEnded(TcpEnd end)
    {
        refused_ = end == TcpEnd::Refused;
        if (refused_ || end == TcpEnd::NotEstablished || !sent_) {
            fail("the connection was refused");
            return;
        }
        connectionEnded_ = true;
        if (end == TcpEnd::Closed && headReceived_) {
            const auto destroyed = destroyed_;
            reader_->feedEnd();
            if (*destroyed || !callbacks_)
                return;
        }
        fail(end == TcpEnd::Closed ? "the connection was closed" : "the connection was reset");
    }

    void fail(AnswerFault fault)
    {
        answerFault_ = fault;
        fail(describe(fault));
    }

    void fail(std::string reason)
    {
        if (!callbacks_)
            return;
        closeConnection();
        const CallFailure failure{.neverSent = !sent_,
                                  .refused = refused_,
                                  .headReceived = headReceived_,
                                  .connectionEnded = connectionEnded_,
                                  .answerFault = answerFault_,
                                  .reason = std::move(reason)};
        const auto failed = events_.failed;
        failed(failure);
    }

    void returnToPool()
    {
        callbacks_->connected = nullptr;
        callbacks_->received = nullptr;
        callbacks_->ended = nullptr;
        const milliseconds idleTimeout = idleTimeoutOf(head_);
        storeIdle_({std::move(tcp_), std::move(callbacks_)}, idleTimeout);
        callbacks_ = nullptr;
    }

    void closeConnection()
    {
        callbacks_->connected = nullptr;
        callbacks_->received = nullptr;
        callbacks_->ended = nullptr;
        tcp_.reset();
        callbacks_ = nullptr;
    }

    EventLoop &loop_;
    CallEvents events_;
    bool isHeadRequest_;
    EventLoop::TimerId headTimer_ = 0;
    std::optional<AnswerFault> answerFault_;
    std::unique_ptr<TcpConnection> tcp_;
    std::shared_ptr<ConnectionCallbacks> callbacks_;
    std::unique_ptr<ResponseReader> reader_;
    std::unique_ptr<ResponseReader> previousReader_;
    HttpResponseHead head_;
    std::string request_;
    std::shared_ptr<bool> destroyed_ = std::make_shared<bool>(false);
    bool sent_ = false;
    bool headReceived_ = false;
    bool refused_ = false;
    bool connectionEnded_ = false;
    bool skippingAnswer_ = false;
    bool answerSkipped_ = false;
};

} // namespace

HttpClientPool::HttpClientPool(EventLoop &loop) : private_(std::make_shared<Private>(loop)) { }

HttpClientPool::~HttpClientPool()
{
    private_->closed_ = true;
    private_->idle_.clear();
}

std::unique_ptr<HttpCall> HttpClientPool::call(const Endpoint &to, std::string request,
                                               ConnectionUse use, CallEvents events, TimePoint now)
{
    const bool isHeadRequest = request.starts_with("HEAD ");
    auto call = std::make_unique<PooledCall>(private_->loop_, std::move(events), isHeadRequest);
    call->storeIdle_ = [state = private_, to](PooledConnection connection,
                                              milliseconds idleTimeout) {
        if (state->closed_ || idleTimeout <= milliseconds(0))
            return;
        state->idle_[to].push_back({std::move(connection), Clock::now() + idleTimeout});
    };
    auto &idle = private_->idle_[to];
    while (use == ConnectionUse::Reuse && !idle.empty()) {
        IdleConnection idleConnection = std::move(idle.back());
        idle.pop_back();
        if (*idleConnection.connection.callbacks->unusable || idleConnection.expiresAt <= now)
            continue;
        call->attach(std::move(idleConnection.connection), true, std::move(request));
        return call;
    }
    auto callbacks = std::make_shared<ConnectionCallbacks>();
    ++private_->opened_;
    auto tcp = TcpConnection::connect(private_->loop_, to, eventsOf(callbacks));
    call->attach({std::move(tcp), std::move(callbacks)}, false, std::move(request));
    return call;
}

void HttpClientPool::closeExpired(TimePoint now)
{
    for (auto &[endpoint, connections] : private_->idle_) {
        std::erase_if(connections, [now](const IdleConnection &idleConnection) {
            return *idleConnection.connection.callbacks->unusable
                || idleConnection.expiresAt <= now;
        });
    }
    std::erase_if(private_->idle_, [](const auto &entry) { return entry.second.empty(); });
}

std::uint64_t HttpClientPool::opened() const
{
    return private_->opened_;
}

} // namespace wisteria
