#include "Connection/HttpClientPool.h"

#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include "Connection/HttpReader.h"
#include "Connection/TcpConnection.h"

namespace wisteria {

namespace {

/// How long an idle connection is kept when the server does not say. Shorter than the idle
/// timeouts of common servers, so that a request does not cross the server's close.
constexpr milliseconds defaultIdle{2000};
/// Safety before the end that the server announced: the way there and a late timer.
constexpr milliseconds idleMargin{700};

/// The "timeout=5" of a Keep-Alive field.
milliseconds idleTimeOf(const HttpResponseHead &head)
{
    const std::string *field = findField(head.fields, "Keep-Alive");
    if (field == nullptr)
        return defaultIdle;
    const std::size_t at = field->find("timeout=");
    if (at == std::string::npos)
        return defaultIdle;
    int value = 0;
    const char *begin = field->data() + at + std::string_view("timeout=").size();
    std::from_chars(begin, field->data() + field->size(), value);
    return std::max(milliseconds(0), milliseconds(seconds(value)) - idleMargin);
}

/// The events of a connection go to whoever uses it at the time.
struct Wire
{
    std::function<void()> connected;
    std::function<void(std::string_view)> received;
    std::function<void(TcpEnd)> ended;
    std::shared_ptr<bool> dead = std::make_shared<bool>(false);
};

TcpEvents eventsOf(const std::shared_ptr<Wire> &wire)
{
    return {.connected =
                [wire] {
                    const auto call = wire->connected;
                    if (call)
                        call();
                },
            .received =
                [wire](std::string_view bytes) {
                    const auto call = wire->received;
                    if (call)
                        call(bytes);
                    else
                        *wire->dead = true;
                },
            .ended =
                [wire](TcpEnd how) {
                    *wire->dead = true;
                    const auto call = wire->ended;
                    if (call)
                        call(how);
                },
            .drained = {}};
}

struct PooledConnection
{
    std::unique_ptr<TcpConnection> tcp;
    std::shared_ptr<Wire> wire;
};

/// A connection that waits for its next request.
struct IdleConnection
{
    PooledConnection connection;
    TimePoint until;
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
    PooledCall(Endpoint to, CallEvents events, bool noBody)
        : to_(to), events_(std::move(events)), noBody_(noBody)
    {
        startReader();
    }

    ~PooledCall() override
    {
        *gone_ = true;
        if (!wire_)
            return;
        // Nobody waits for the answer any more. A backend server that stands still would find the
        // request when it goes on, seconds after the caller left, and run it; after a reset it does
        // not.
        tcp_->abort();
        release();
    }

    bool sent() const override { return sent_; }

    void pauseReading(bool pause) override
    {
        if (tcp_)
            tcp_->pauseReading(pause);
    }

    void attach(PooledConnection connection, bool connected, std::string request)
    {
        tcp_ = std::move(connection.tcp);
        wire_ = std::move(connection.wire);
        request_ = std::move(request);
        wire_->connected = [this] { send(); };
        wire_->received = [this](std::string_view bytes) { feed(bytes); };
        wire_->ended = [this](TcpEnd how) { onEnded(how); };
        if (connected)
            send();
    }

    std::function<void(PooledConnection, milliseconds)> giveBack_;

private:
    void startReader()
    {
        reader_ = std::make_unique<ResponseReader>(
            ResponseEvents{.head = [this](HttpResponseHead head) { onHead(std::move(head)); },
                           .body = [this](std::string_view bytes) { onBody(bytes); },
                           .complete = [this] { onComplete(); },
                           .malformed = [this](std::string why) { fail(std::move(why)); }},
            noBody_);
    }

    void send()
    {
        sent_ = true;
        tcp_->send(request_);
        request_.clear();
    }

    void feed(std::string_view bytes) { reader_->feed(bytes); }

    void onHead(HttpResponseHead head)
    {
        foreign_ = events_.accept && !events_.accept(head);
        if (foreign_ && foreignSeen_) {
            fail("a second answer to another request");
            return;
        }
        if (foreign_) {
            foreignSeen_ = true;
            return;
        }
        headSeen_ = true;
        head_ = std::move(head);
        // The owner may destroy the call, and with it these functions, while one of them runs.
        const auto tell = events_.head;
        tell(head_);
    }

    void onBody(std::string_view bytes)
    {
        if (foreign_)
            return;
        const auto tell = events_.body;
        tell(bytes);
    }

    void onComplete()
    {
        if (foreign_) {
            const std::string rest = reader_->surplus();
            // The reader is running; it goes once it has returned.
            retired_ = std::move(reader_);
            startReader();
            foreign_ = false;
            if (!rest.empty())
                reader_->feed(rest);
            return;
        }
        const bool reusable = head_.keepAlive && head_.framed && !foreignSeen_
            && reader_->surplus().empty() && tcp_->queued() == 0 && !*wire_->dead;
        if (reusable)
            giveBack();
        else
            release();
        const auto complete = events_.complete;
        complete();
    }

    void onEnded(TcpEnd how)
    {
        if (how == TcpEnd::Refused || !sent_) {
            fail("the connection was refused");
            return;
        }
        if (how == TcpEnd::Closed && headSeen_) {
            const auto gone = gone_;
            reader_->feedEnd();
            if (*gone || !wire_)
                return;
        }
        fail(how == TcpEnd::Closed ? "the connection was closed" : "the connection was reset");
    }

    void fail(std::string reason)
    {
        if (!wire_)
            return;
        release();
        const CallFailure failure{!sent_, headSeen_, std::move(reason)};
        const auto failed = events_.failed;
        failed(failure);
    }

    void giveBack()
    {
        wire_->connected = nullptr;
        wire_->received = nullptr;
        wire_->ended = nullptr;
        const milliseconds idle = idleTimeOf(head_);
        giveBack_({std::move(tcp_), std::move(wire_)}, idle);
        wire_ = nullptr;
    }

    void release()
    {
        wire_->connected = nullptr;
        wire_->received = nullptr;
        wire_->ended = nullptr;
        tcp_.reset();
        wire_ = nullptr;
    }

    Endpoint to_;
    CallEvents events_;
    bool noBody_;
    std::unique_ptr<TcpConnection> tcp_;
    std::shared_ptr<Wire> wire_;
    std::unique_ptr<ResponseReader> reader_;
    std::unique_ptr<ResponseReader> retired_;
    HttpResponseHead head_;
    std::string request_;
    std::shared_ptr<bool> gone_ = std::make_shared<bool>(false);
    bool sent_ = false;
    bool headSeen_ = false;
    bool foreign_ = false;
    bool foreignSeen_ = false;
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
    const bool noBody = request.starts_with("HEAD ");
    auto call = std::make_unique<PooledCall>(to, std::move(events), noBody);
    call->giveBack_ = [state = private_, to](PooledConnection connection, milliseconds idle) {
        if (state->closed_ || idle <= milliseconds(0))
            return;
        state->idle_[to].push_back({std::move(connection), Clock::now() + idle});
    };
    auto &idle = private_->idle_[to];
    while (use == ConnectionUse::Reuse && !idle.empty()) {
        IdleConnection kept = std::move(idle.back());
        idle.pop_back();
        if (*kept.connection.wire->dead || kept.until <= now)
            continue;
        call->attach(std::move(kept.connection), true, std::move(request));
        return call;
    }
    auto wire = std::make_shared<Wire>();
    ++private_->opened_;
    auto tcp = TcpConnection::connect(private_->loop_, to, eventsOf(wire));
    call->attach({std::move(tcp), std::move(wire)}, false, std::move(request));
    return call;
}

void HttpClientPool::closeExpired(TimePoint now)
{
    for (auto &[endpoint, connections] : private_->idle_) {
        std::erase_if(connections, [now](const IdleConnection &kept) {
            return *kept.connection.wire->dead || kept.until <= now;
        });
    }
    std::erase_if(private_->idle_, [](const auto &entry) { return entry.second.empty(); });
}

std::uint64_t HttpClientPool::opened() const
{
    return private_->opened_;
}

} // namespace wisteria
