#include "Programs/Bench/LoadWorker.h"

#include <array>
#include <ctime>
#include <list>
#include <optional>
#include <random>
#include <utility>

#include <curl/curl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "Connection/CurlAnswerHead.h"
#include "Programs/Bench/LoadKey.h"

namespace wisteria {

namespace {

constexpr int eventBatch = 64;
constexpr auto maxWait = std::chrono::milliseconds(100);

/// One connection: a curl handle and the request in progress.
struct Connection
{
    CURL *handle = nullptr;
    curl_slist *headers = nullptr;
    TimePoint due;
    std::string mark;
    std::string body;
    std::string answer;
    CurlAnswerHead answerHead;
};

std::size_t collectAnswer(char *data, std::size_t size, std::size_t count, void *connection)
{
    static_cast<Connection *>(connection)->answer.append(data, size * count);
    return size * count;
}

std::string withMark(const std::string &body, const std::string &mark)
{
    const std::size_t position = body.find('%');
    if (position == std::string::npos)
        return body;
    std::string marked = body;
    return marked.replace(position, 1, mark);
}

timespec toTimespec(std::chrono::nanoseconds time)
{
    const auto whole = std::chrono::duration_cast<seconds>(time);
    return {whole.count(), (time - whole).count()};
}

} // namespace

class LoadWorker::Private
{
public:
    explicit Private(LoadPlan plan)
        : plan_(std::move(plan)), epoll_(epoll_create1(EPOLL_CLOEXEC)), multi_(curl_multi_init()),
          random_(std::random_device()())
    {
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, onSocket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, onTimer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(plan_.connections));
        for (std::uint32_t i = 0; i < plan_.connections; ++i)
            addConnection();
    }

    ~Private()
    {
        for (Connection &connection : connections_) {
            curl_easy_cleanup(connection.handle);
            curl_slist_free_all(connection.headers);
        }
        curl_multi_cleanup(multi_);
        close(epoll_);
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    LoadTally run()
    {
        nextDue_ = monotonicNow();
        while (ended_ < plan_.requests) {
            startDueRequests(monotonicNow());
            waitForEvents();
            collectAnswers(monotonicNow());
        }
        return std::move(tally_);
    }

private:
    static int onSocket(CURL *, curl_socket_t socket, int what, void *self, void *known)
    {
        auto *worker = static_cast<Private *>(self);
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(worker->epoll_, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event = {};
        event.data.fd = socket;
        if (what & CURL_POLL_IN)
            event.events |= EPOLLIN;
        if (what & CURL_POLL_OUT)
            event.events |= EPOLLOUT;
        epoll_ctl(worker->epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
        curl_multi_assign(worker->multi_, socket, worker);
        return 0;
    }

    static int onTimer(CURLM *, long wait, void *self)
    {
        auto *worker = static_cast<Private *>(self);
        worker->timer_.reset();
        if (wait >= 0)
            worker->timer_ = monotonicNow() + milliseconds(wait);
        return 0;
    }

    void addConnection()
    {
        Connection &connection = connections_.emplace_back();
        connection.handle = curl_easy_init();
        curl_easy_setopt(connection.handle, CURLOPT_PRIVATE, &connection);
        curl_easy_setopt(connection.handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(connection.handle, CURLOPT_WRITEFUNCTION, collectAnswer);
        curl_easy_setopt(connection.handle, CURLOPT_WRITEDATA, &connection);
        curl_easy_setopt(connection.handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(connection.handle, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(plan_.timeout.count()));
        setHeaders(connection, "");
        idle_.push_back(&connection);
    }

    void setHeaders(Connection &connection, const std::string &key)
    {
        curl_slist_free_all(connection.headers);
        connection.headers = curl_slist_append(nullptr, "Expect:");
        for (const std::string &header : plan_.headers)
            connection.headers = curl_slist_append(connection.headers, header.c_str());
        if (!key.empty()) {
            connection.headers =
                curl_slist_append(connection.headers, "Wisteria-Idempotent: false");
            connection.headers = curl_slist_append(connection.headers, "Wisteria-Attempt: 1");
            connection.headers =
                curl_slist_append(connection.headers, ("Wisteria-Key: " + key).c_str());
        }
        curl_easy_setopt(connection.handle, CURLOPT_HTTPHEADER, connection.headers);
    }

    void startDueRequests(TimePoint now)
    {
        const bool openLoop = plan_.interval.count() > 0;
        while (started_ < plan_.requests && !idle_.empty() && (!openLoop || nextDue_ <= now)) {
            Connection &connection = *idle_.back();
            idle_.pop_back();
            start(connection, openLoop ? nextDue_ : now);
            nextDue_ += plan_.interval;
        }
    }

    void start(Connection &connection, TimePoint due)
    {
        connection.due = due;
        connection.mark = plan_.markPrefix + std::to_string(started_) + ".";
        connection.body = withMark(plan_.body, connection.mark);
        connection.answer.clear();
        connection.answerHead.watch(connection.handle);
        if (plan_.keyed)
            setHeaders(connection, makeIdempotencyKey(wallNow(), random_(), random_()));
        const std::string &url = plan_.urls[started_ % plan_.urls.size()];
        curl_easy_setopt(connection.handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(connection.handle, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(connection.body.size()));
        curl_easy_setopt(connection.handle, CURLOPT_POSTFIELDS, connection.body.data());
        curl_multi_add_handle(multi_, connection.handle);
        ++started_;
    }

    std::chrono::nanoseconds timeUntilNextEvent(TimePoint now) const
    {
        TimePoint next = now + maxWait;
        if (timer_)
            next = std::min(next, *timer_);
        if (started_ < plan_.requests && !idle_.empty())
            next = std::min(next, nextDue_);
        return std::max<std::chrono::nanoseconds>(next - now, std::chrono::nanoseconds(0));
    }

    void waitForEvents()
    {
        std::array<epoll_event, eventBatch> events = {};
        const timespec wait = toTimespec(timeUntilNextEvent(monotonicNow()));
        const int ready = epoll_pwait2(epoll_, events.data(), eventBatch, &wait, nullptr);
        int running = 0;
        for (int i = 0; i < ready; ++i) {
            const epoll_event &event = events[static_cast<std::size_t>(i)];
            int mask = 0;
            if (event.events & (EPOLLIN | EPOLLHUP | EPOLLERR))
                mask |= CURL_CSELECT_IN;
            if (event.events & EPOLLOUT)
                mask |= CURL_CSELECT_OUT;
            curl_multi_socket_action(multi_, event.data.fd, mask, &running);
        }
        if (timer_ && *timer_ <= monotonicNow()) {
            timer_.reset();
            curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
        }
    }

    void collectAnswers(TimePoint now)
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi_, &left)) {
            char *connectionPointer = nullptr;
            CURL *handle = message->easy_handle;
            const CURLcode code = message->data.result;
            curl_easy_getinfo(handle, CURLINFO_PRIVATE, &connectionPointer);
            curl_multi_remove_handle(multi_, handle);
            Connection &connection = *reinterpret_cast<Connection *>(connectionPointer);
            count(connection, code, now);
            idle_.push_back(&connection);
            ++ended_;
        }
    }

    void count(const Connection &connection, CURLcode code, TimePoint now)
    {
        long status = 0;
        curl_easy_getinfo(connection.handle, CURLINFO_RESPONSE_CODE, &status);
        const std::string name = code == CURLE_OPERATION_TIMEDOUT
            ? "timeout"
            : outcomeName(status, code == CURLE_OK && connection.answerHead.complete(),
                          connection.answer);
        ++tally_.outcomes[name];
        if (name != "answer")
            return;
        tally_.latencies.push_back(std::chrono::duration_cast<microseconds>(now - connection.due));
        const bool marked = plan_.body.find('%') != std::string::npos;
        if (marked && connection.answer.find(connection.mark) == std::string::npos)
            ++tally_.crossed;
    }

    const LoadPlan plan_;
    const int epoll_;
    CURLM *const multi_;
    std::mt19937_64 random_;
    std::list<Connection> connections_;
    std::vector<Connection *> idle_;
    std::optional<TimePoint> timer_;
    TimePoint nextDue_;
    std::uint64_t started_ = 0;
    std::uint64_t ended_ = 0;
    LoadTally tally_;
};

LoadWorker::LoadWorker(LoadPlan plan) : private_(std::make_unique<Private>(std::move(plan))) { }

LoadWorker::~LoadWorker() = default;

LoadTally LoadWorker::run()
{
    return private_->run();
}

} // namespace wisteria
