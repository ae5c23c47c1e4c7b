#include "Connection/PlatformHttp.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include <curl/curl.h>

#include "Connection/CurlAnswerHead.h"

namespace wisteria {

namespace {

/// Maximum size of an answer, so that a faulty service can't exhaust the process's memory.
constexpr std::size_t maxAnswerBytes = 32 * 1024 * 1024;
constexpr milliseconds connectTimeout(2000);

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *userData)
{
    auto &body = *static_cast<std::string *>(userData);
    const std::size_t bytes = size * count;
    if (body.size() + bytes > maxAnswerBytes)
        return 0;
    body.append(data, bytes);
    return bytes;
}

void initialiseCurlOnce()
{
    static const CURLcode done = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(done);
}

} // namespace

class PlatformHttp::Private
{
public:
    explicit Private(std::string url) : url_(std::move(url))
    {
        initialiseCurlOnce();
        handle_ = curl_easy_init();
    }
    ~Private() { curl_easy_cleanup(handle_); }
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void prepare(const std::string &path, milliseconds timeout)
    {
        const long limit = static_cast<long>(timeout.count());
        curl_easy_reset(handle_);
        curl_easy_setopt(handle_, CURLOPT_URL, (url_ + path).c_str());
        curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle_, CURLOPT_PROXY, "");
        curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS, std::max(limit, 1L));
        curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(connectTimeout.count()));
        curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(handle_, CURLOPT_NOPROGRESS, 0L);
        curl_easy_setopt(handle_, CURLOPT_XFERINFOFUNCTION, &Private::onProgress);
        curl_easy_setopt(handle_, CURLOPT_XFERINFODATA, this);
        answerHead_.watch(handle_);
    }

    PlatformAnswer perform()
    {
        PlatformAnswer answer;
        curl_easy_setopt(handle_, CURLOPT_WRITEDATA, &answer.body);
        const CURLcode code = curl_easy_perform(handle_);
        long requestBytes = 0;
        curl_easy_getinfo(handle_, CURLINFO_REQUEST_SIZE, &requestBytes);
        if (answerHead_.fault())
            answer.error = describe(*answerHead_.fault());
        else if (code != CURLE_OK)
            answer.error = curl_easy_strerror(code);
        else if (!answerHead_.complete())
            answer.error = describe(AnswerFault::EndedEarly);
        else
            curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &answer.status);
        transferred_ += transferredNow(requestBytes) + answer.body.size();
        answer.timedOut = code == CURLE_OPERATION_TIMEDOUT;
        answer.neverSent = code != CURLE_OK && requestBytes == 0;
        return answer;
    }

    CURL *handle() const { return handle_; }

    std::string url_;
    std::atomic<bool> interrupted_ = false;

    std::uint64_t transferred_ = 0;

private:
    std::uint64_t transferredNow(long requestBytes) const
    {
        long headerBytes = 0;
        curl_easy_getinfo(handle_, CURLINFO_HEADER_SIZE, &headerBytes);
        curl_off_t sentBytes = 0;
        curl_easy_getinfo(handle_, CURLINFO_SIZE_UPLOAD_T, &sentBytes);
        return static_cast<std::uint64_t>(requestBytes + headerBytes + sentBytes);
    }

    /// libcurl calls this at least once a second; a nonzero result aborts the transfer.
    static int onProgress(void *self, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
    {
        return static_cast<Private *>(self)->interrupted_ ? 1 : 0;
    }

    CURL *handle_ = nullptr;
    CurlAnswerHead answerHead_;
};

PlatformHttp::PlatformHttp(std::string url)
    : private_(std::make_unique<Private>(std::move(url))) { }

PlatformHttp::~PlatformHttp() = default;

PlatformAnswer PlatformHttp::get(const std::string &path, milliseconds timeout)
{
    private_->prepare(path, timeout);
    return private_->perform();
}

PlatformAnswer PlatformHttp::post(const std::string &path, const std::string &data,
                                  milliseconds timeout)
{
    private_->prepare(path, timeout);
    CURL *handle = private_->handle();
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/octet-stream");
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, data.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(data.size()));
    // libcurl resends a request when a reused connection turns out to be closed. If the second
    // connection is refused, the error says that nothing was sent, though the service may have
    // received the first request. On a fresh connection libcurl doesn't resend, so the error is
    // correct.
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    PlatformAnswer answer = private_->perform();
    curl_slist_free_all(headers);
    return answer;
}

void PlatformHttp::interrupt()
{
    private_->interrupted_ = true;
}

const std::string &PlatformHttp::url() const
{
    return private_->url_;
}

std::uint64_t PlatformHttp::transferredBytes() const
{
    return private_->transferred_;
}

std::string describe(const PlatformAnswer &answer)
{
    return answer.error.empty() ? "status " + std::to_string(answer.status) : answer.error;
}

} // namespace wisteria
