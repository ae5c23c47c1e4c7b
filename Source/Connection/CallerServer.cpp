#include "Connection/CallerServer.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <set>
#include <utility>

#include <ace/INET_Addr.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Connection/ListenAddress.h"

namespace wisteria {

namespace {

constexpr int listenBacklog = 1024;
constexpr std::size_t streamBlockBytes = 16 * 1024;
/// callerCaughtUp() is called when the queue of a streamed answer shrinks from more than this size
/// to at most this size.
constexpr std::size_t lowWatermarkBytes = 16 * 1024;
/// Interval of the check for idle connections.
constexpr milliseconds idleCheckInterval(1000);

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return lower;
}

MHD_Result collectHeader(void *headers, MHD_ValueKind, const char *name, const char *value)
{
    auto &map = *static_cast<std::map<std::string, std::string> *>(headers);
    map[lowerCase(name)] = value ? value : "";
    return MHD_YES;
}

int openListeningSocket(const ACE_INET_Addr &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled));
    const auto *raw = static_cast<const sockaddr *>(address.get_addr());
    if (::bind(descriptor, raw, address.get_size()) != 0
        || ::listen(descriptor, listenBacklog) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

class CallerServer::Private
{
public:
    /// One request and its answer.
    ///
    /// The connection is suspended in libmicrohttpd while there is nothing to send, and resumed
    /// when bytes or the end of the answer are added.
    class Exchange : public CallerExchange, public std::enable_shared_from_this<Exchange>
    {
    public:
        Exchange(Private &server, MHD_Connection *connection)
            : server_(&server), connection_(connection)
        { }

        ~Exchange() override
        {
            if (response_)
                MHD_destroy_response(response_);
        }

        const CallerHttpRequest &request() const override { return request_; }

        void answer(std::uint32_t status, const std::map<std::string, std::string> &headers,
                    std::string body) override
        {
            if (response_ || !connection_)
                return;
            body_ = std::move(body);
            response_ =
                MHD_create_response_from_buffer(body_.size(), body_.data(), MHD_RESPMEM_PERSISTENT);
            for (const auto &[name, value] : headers)
                MHD_add_response_header(response_, name.c_str(), value.c_str());
            status_ = status;
            finished_ = true;
            resume();
        }

        void start(std::uint32_t status, const std::string &contentType) override
        {
            if (response_ || !connection_)
                return;
            response_ = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes,
                                                          &Exchange::readStream, this, nullptr);
            if (!contentType.empty())
                MHD_add_response_header(response_, MHD_HTTP_HEADER_CONTENT_TYPE,
                                        contentType.c_str());
            status_ = status;
            resume();
        }

        void write(std::string_view bytes) override
        {
            if (!connection_ || finished_)
                return;
            body_.append(bytes);
            aboveLowWatermark_ = queuedBytes() > lowWatermarkBytes;
            resume();
        }

        void finish(bool complete) override
        {
            if (!connection_ || finished_)
                return;
            finished_ = true;
            complete_ = complete;
            resume();
        }

        std::size_t queuedBytes() const override { return body_.size() - sent_; }

        void resume()
        {
            if (!std::exchange(suspended_, false))
                return;
            MHD_resume_connection(connection_);
            server_->runSoon();
        }

        MHD_Result suspend()
        {
            suspended_ = true;
            MHD_suspend_connection(connection_);
            return MHD_YES;
        }

        static ssize_t readStream(void *self, std::uint64_t, char *buffer, std::size_t size)
        {
            return static_cast<Exchange *>(self)->readStream(buffer, size);
        }

        ssize_t readStream(char *buffer, std::size_t size)
        {
            const std::size_t copied = body_.copy(buffer, size, sent_);
            sent_ += copied;
            if (sent_ == body_.size()) {
                body_.clear();
                sent_ = 0;
            }
            noteDrained();
            if (copied > 0)
                return static_cast<ssize_t>(copied);
            if (finished_) {
                // The last chunk is sent only after a complete answer, so that a caller can't take
                // an aborted one for complete.
                return complete_ ? MHD_CONTENT_READER_END_OF_STREAM
                                 : MHD_CONTENT_READER_END_WITH_ERROR;
            }
            suspend();
            return 0;
        }

        void noteDrained()
        {
            if (!aboveLowWatermark_ || queuedBytes() > lowWatermarkBytes)
                return;
            aboveLowWatermark_ = false;
            Private *server = server_;
            server->loop_.defer([server, exchange = shared_from_this()] {
                server->service_.callerCaughtUp(*exchange);
            });
        }

        Private *server_;
        MHD_Connection *connection_;
        CallerHttpRequest request_;
        MHD_Response *response_ = nullptr;
        std::uint32_t status_ = 0;
        std::string body_;
        std::size_t sent_ = 0;
        bool delivered_ = false;
        bool tooLarge_ = false;
        bool suspended_ = false;
        bool finished_ = false;
        bool complete_ = true;
        bool aboveLowWatermark_ = false;
    };

    Private(EventLoop &loop, CallerService &service, CallerServerLimits limits)
        : loop_(loop), service_(service), limits_(limits)
    { }

    ~Private()
    {
        *alive_ = false;
        loop_.cancel(idleCheckTimer_);
        if (!daemon_)
            return;
        // libmicrohttpd must not be stopped while connections are suspended.
        for (Exchange *exchange : open_)
            exchange->resume();
        MHD_run(daemon_);
        loop_.unwatch(epoll_);
        MHD_stop_daemon(daemon_);
    }

    Result<std::string> listen(const std::string &address)
    {
        const ACE_INET_Addr local(address.c_str());
        const int descriptor = openListeningSocket(local);
        if (descriptor < 0)
            return listenFailure(address);
        daemon_ = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &Private::onAccess, this,
            MHD_OPTION_LISTEN_SOCKET, descriptor, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            limits_.connectionBytes, MHD_OPTION_CONNECTION_LIMIT, limits_.connections,
            MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(limits_.idle.count()),
            MHD_OPTION_NOTIFY_COMPLETED, &Private::onCompleted, this, MHD_OPTION_END);
        if (!daemon_) {
            ::close(descriptor);
            return listenFailure(address);
        }
        epoll_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
        loop_.watch(epoll_, Interest{.read = true}, [this](Interest) { run(); });
        scheduleIdleCheck();
        sockaddr_in bound{};
        socklen_t length = sizeof(bound);
        ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &length);
        return addressText(ACE_INET_Addr(&bound, length));
    }

    void beginShutdown()
    {
        stopping_ = true;
        if (daemon_) {
            const MHD_socket descriptor = MHD_quiesce_daemon(daemon_);
            if (descriptor != MHD_INVALID_SOCKET)
                ::close(descriptor);
        }
    }

    std::size_t openRequests() const { return open_.size(); }

    void runSoon()
    {
        if (std::exchange(runScheduled_, true))
            return;
        loop_.defer([this, alive = alive_] {
            if (*alive)
                run();
        });
    }

private:
    void run()
    {
        runScheduled_ = false;
        MHD_run(daemon_);
        MHD_UNSIGNED_LONG_LONG timeout = 0;
        // The epoll descriptor doesn't become readable again for input that is already buffered.
        if (MHD_get_timeout(daemon_, &timeout) == MHD_YES && timeout == 0)
            loop_.post([this, alive = alive_] {
                if (*alive)
                    run();
            });
    }

    void scheduleIdleCheck()
    {
        idleCheckTimer_ = loop_.runAfter(idleCheckInterval, [this] {
            run();
            scheduleIdleCheck();
        });
    }

    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char *, const char *upload,
                               std::size_t *uploadSize, void **context)
    {
        return static_cast<Private *>(self)->access(connection, url, method, upload, uploadSize,
                                                    context);
    }

    MHD_Result access(MHD_Connection *connection, const char *url, const char *method,
                      const char *upload, std::size_t *uploadSize, void **context)
    {
        if (!*context) {
            begin(connection, url, method, context);
            return MHD_YES;
        }
        const auto &exchange = *static_cast<std::shared_ptr<Exchange> *>(*context);
        if (*uploadSize > 0) {
            appendBody(*exchange, {upload, *uploadSize});
            *uploadSize = 0;
            return MHD_YES;
        }
        if (exchange->response_)
            return queue(*exchange);
        if (!std::exchange(exchange->delivered_, true))
            deliver(exchange);
        return exchange->response_ ? queue(*exchange) : exchange->suspend();
    }

    void begin(MHD_Connection *connection, const char *url, const char *method, void **context)
    {
        auto exchange = std::make_shared<Exchange>(*this, connection);
        exchange->request_.method = method;
        exchange->request_.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader,
                                  &exchange->request_.headers);
        open_.insert(exchange.get());
        *context = new std::shared_ptr<Exchange>(std::move(exchange));
    }

    void appendBody(Exchange &exchange, std::string_view bytes)
    {
        std::string &body = exchange.request_.body;
        exchange.tooLarge_ =
            exchange.tooLarge_ || body.size() + bytes.size() > limits_.maxBodyBytes;
        if (exchange.tooLarge_)
            body.clear();
        else
            body.append(bytes);
    }

    void deliver(const std::shared_ptr<Exchange> &exchange)
    {
        if (exchange->tooLarge_) {
            exchange->answer(MHD_HTTP_CONTENT_TOO_LARGE, {{"Content-Type", "application/json"}},
                             R"({"outcome":"not_run","reason":"body_too_large","message":)"
                             R"("The request body is larger than )"
                                 + std::to_string(limits_.maxBodyBytes)
                                 + R"( bytes; send a smaller one."})");
            return;
        }
        service_.requestArrived(exchange);
    }

    MHD_Result queue(Exchange &exchange)
    {
        if (stopping_)
            MHD_add_response_header(exchange.response_, MHD_HTTP_HEADER_CONNECTION, "close");
        return MHD_queue_response(exchange.connection_, exchange.status_, exchange.response_);
    }

    static void onCompleted(void *self, MHD_Connection *, void **context,
                            MHD_RequestTerminationCode code)
    {
        auto *owner = static_cast<std::shared_ptr<Exchange> *>(*context);
        if (!owner)
            return;
        const std::shared_ptr<Exchange> exchange = std::move(*owner);
        delete owner;
        *context = nullptr;
        auto *server = static_cast<Private *>(self);
        server->open_.erase(exchange.get());
        exchange->connection_ = nullptr;
        exchange->suspended_ = false;
        if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && exchange->delivered_)
            server->service_.callerLeft(*exchange);
    }

    EventLoop &loop_;
    CallerService &service_;
    CallerServerLimits limits_;
    MHD_Daemon *daemon_ = nullptr;
    int epoll_ = -1;
    bool runScheduled_ = false;
    bool stopping_ = false;
    EventLoop::TimerId idleCheckTimer_ = 0;
    std::set<Exchange *> open_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

CallerServer::CallerServer(EventLoop &loop, CallerService &service, CallerServerLimits limits)
    : private_(std::make_unique<Private>(loop, service, limits))
{ }

CallerServer::~CallerServer() = default;

Result<std::string> CallerServer::listen(const std::string &address)
{
    return private_->listen(address);
}

void CallerServer::beginShutdown()
{
    private_->beginShutdown();
}

std::size_t CallerServer::openRequests() const
{
    return private_->openRequests();
}

} // namespace wisteria
