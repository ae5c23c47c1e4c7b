#include "Connection/BackendClient.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <curl/curl.h>

#include "Connection/CurlAnswerHead.h"
#include "Process/Logging.h"

namespace wisteria {

namespace {

constexpr long connectTimeoutMs = 1000;
constexpr long maxIdleConnections = 64;

std::string contentTypeOf(CURL *easy)
{
    const char *type = nullptr;
    curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &type);
    return type ? type : "";
}

} // namespace

class BackendClient::Private
{
public:
    struct Call
    {
        Private *owner = nullptr;
        CallId id = 0;
        CURL *easy = nullptr;
        curl_slist *headers = nullptr;
        CurlAnswerHead answerHead;
        /// For log lines.
        std::string name;
        std::string body;
        std::shared_ptr<BackendCallHandler> handler;
        bool started = false;
        bool paused = false;

        ~Call()
        {
            curl_easy_cleanup(easy);
            curl_slist_free_all(headers);
        }
    };

    Private(EventLoop &loop, std::string url)
        : loop_(loop), url_(std::move(url)), multi_(curl_multi_init())
    {
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Private::onSocket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Private::onTimer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, maxIdleConnections);
    }

    ~Private()
    {
        *alive_ = false;
        loop_.cancel(timer_);
        for (const auto &[id, call] : calls_)
            curl_multi_remove_handle(multi_, call->easy);
        calls_.clear();
        curl_multi_cleanup(multi_);
    }

    CallId start(BackendCall request, std::shared_ptr<BackendCallHandler> handler)
    {
        auto call = newCall(url_ + "/v1/services/" + request.service + "/requests",
                            request.deadline, std::move(handler));
        call->name = "request " + request.requestId;
        addHeader(*call, "Content-Type: application/octet-stream");
        addHeader(*call, "Expect:");
        addHeader(*call, "Wisteria-Request-Id: " + request.requestId);
        addHeader(*call, "Wisteria-Priority: " + std::to_string(request.priority));
        addHeader(*call, "Wisteria-Deadline-Ms: " + std::to_string(request.deadline.count()));
        if (!request.key.empty()) {
            addHeader(*call, "Wisteria-Key: " + request.key);
            // libcurl silently resends a request when a reused connection closes without an
            // answer. The backend server may have run the first one, and a request with a key may
            // be one that must not run twice. libcurl never resends on a fresh connection.
            curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
        }
        call->body = std::move(request.body);
        curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
        curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call->body.size()));
        curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->body.data());
        return launch(std::move(call));
    }

    CallId checkHealth(milliseconds timeout, std::shared_ptr<BackendCallHandler> handler)
    {
        auto call = newCall(url_ + "/health", timeout, std::move(handler));
        call->name = "a health check";
        return launch(std::move(call));
    }

    void cancel(CallId id)
    {
        const auto found = calls_.find(id);
        if (found == calls_.end())
            return;
        found->second->handler = nullptr;
        // libcurl must not be re-entered: it may be running a callback of this call.
        loop_.defer([this, alive = alive_, id] {
            if (*alive)
                remove(id);
        });
    }

    void setPaused(CallId id, bool paused)
    {
        const auto found = calls_.find(id);
        if (found == calls_.end() || found->second->paused == paused)
            return;
        found->second->paused = paused;
        if (paused)
            return;
        loop_.defer([this, alive = alive_, id] {
            if (!*alive)
                return;
            const auto call = calls_.find(id);
            if (call != calls_.end() && !call->second->paused)
                curl_easy_pause(call->second->easy, CURLPAUSE_CONT);
        });
    }

private:
    std::unique_ptr<Call> newCall(const std::string &url, milliseconds timeout,
                                  std::shared_ptr<BackendCallHandler> handler)
    {
        auto call = std::make_unique<Call>();
        call->owner = this;
        call->id = ++lastCall_;
        call->easy = curl_easy_init();
        call->handler = std::move(handler);
        curl_easy_setopt(call->easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
        curl_easy_setopt(call->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(call->easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(std::max<milliseconds::rep>(timeout.count(), 1)));
        curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
        curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, &Private::onBytes);
        curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call.get());
        curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call.get());
        call->answerHead.watch(call->easy);
        return call;
    }

    static void addHeader(Call &call, const std::string &header)
    {
        call.headers = curl_slist_append(call.headers, header.c_str());
    }

    CallId launch(std::unique_ptr<Call> call)
    {
        const CallId id = call->id;
        CURL *easy = call->easy;
        calls_[id] = std::move(call);
        curl_multi_add_handle(multi_, easy);
        return id;
    }

    void remove(CallId id)
    {
        const auto found = calls_.find(id);
        if (found == calls_.end())
            return;
        curl_multi_remove_handle(multi_, found->second->easy);
        calls_.erase(found);
    }

    static std::size_t onBytes(char *bytes, std::size_t size, std::size_t count, void *argument)
    {
        auto *call = static_cast<Call *>(argument);
        const std::size_t length = size * count;
        if (!call->handler)
            return length;
        if (call->paused)
            return CURL_WRITEFUNC_PAUSE;
        const auto handler = call->handler;
        reportStart(*call);
        handler->answerBytes({bytes, length});
        return length;
    }

    static void reportStart(Call &call)
    {
        if (std::exchange(call.started, true) || !call.handler)
            return;
        long status = 0;
        curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &status);
        const auto handler = call.handler;
        handler->answerStarted(static_cast<std::uint32_t>(status), contentTypeOf(call.easy));
    }

    static int onSocket(CURL *, curl_socket_t socket, int what, void *self, void *)
    {
        auto *client = static_cast<Private *>(self);
        if (what == CURL_POLL_REMOVE) {
            client->loop_.unwatch(socket);
            return 0;
        }
        const Interest interest{.read = (what & CURL_POLL_IN) != 0,
                                .write = (what & CURL_POLL_OUT) != 0};
        client->loop_.watch(socket, interest, [client, socket](Interest ready) {
            client->processSocket(socket, ready);
        });
        return 0;
    }

    static int onTimer(CURLM *, long timeoutMs, void *self)
    {
        auto *client = static_cast<Private *>(self);
        client->loop_.cancel(client->timer_);
        client->timer_ = 0;
        if (timeoutMs < 0)
            return 0;
        client->timer_ = client->loop_.runAfter(milliseconds(timeoutMs), [client] {
            client->timer_ = 0;
            client->processSocket(CURL_SOCKET_TIMEOUT, {});
        });
        return 0;
    }

    void processSocket(curl_socket_t socket, Interest ready)
    {
        int events = 0;
        if (ready.read)
            events |= CURL_CSELECT_IN;
        if (ready.write)
            events |= CURL_CSELECT_OUT;
        int running = 0;
        curl_multi_socket_action(multi_, socket, events, &running);
        collectEnded();
    }

    void collectEnded()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Call *call = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
            end(*call, message->data.result);
        }
    }

    void end(Call &ended, CURLcode code)
    {
        const CallId id = ended.id;
        const BackendCallEnd result = classify(ended, code);
        if (result == BackendCallEnd::Complete)
            reportStart(ended);
        if (result == BackendCallEnd::Malformed)
            loggerFor("agent")->warn("The backend server gave no answer to {}: {}.", ended.name,
                                     describe(*ended.answerHead.fault()));
        const auto handler = std::exchange(ended.handler, nullptr);
        remove(id);
        if (handler)
            handler->answerEnded(result);
    }

    /// A call counts as not run only when no byte of it was sent. The error code doesn't prove
    /// that: when a request crashes the backend server on a reused connection, libcurl resends it,
    /// and the call ends with "could not connect".
    static BackendCallEnd classify(const Call &call, CURLcode code)
    {
        if (code == CURLE_OK && call.answerHead.complete())
            return BackendCallEnd::Complete;
        long sentBytes = 0;
        curl_easy_getinfo(call.easy, CURLINFO_REQUEST_SIZE, &sentBytes);
        if (sentBytes == 0)
            return BackendCallEnd::NotConnected;
        if (call.answerHead.fault())
            return BackendCallEnd::Malformed;
        if (code == CURLE_OPERATION_TIMEDOUT)
            return BackendCallEnd::TimedOut;
        return BackendCallEnd::ConnectionLost;
    }

    EventLoop &loop_;
    std::string url_;
    CURLM *multi_;
    EventLoop::TimerId timer_ = 0;
    CallId lastCall_ = 0;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

BackendClient::BackendClient(EventLoop &loop, std::string url)
    : private_(std::make_unique<Private>(loop, std::move(url)))
{ }

BackendClient::~BackendClient() = default;

BackendClient::CallId BackendClient::start(BackendCall call,
                                           std::shared_ptr<BackendCallHandler> handler)
{
    return private_->start(std::move(call), std::move(handler));
}

BackendClient::CallId BackendClient::checkHealth(milliseconds timeout,
                                                 std::shared_ptr<BackendCallHandler> handler)
{
    return private_->checkHealth(timeout, std::move(handler));
}

void BackendClient::cancel(CallId call)
{
    private_->cancel(call);
}

void BackendClient::setPaused(CallId call, bool paused)
{
    private_->setPaused(call, paused);
}

} // namespace wisteria
