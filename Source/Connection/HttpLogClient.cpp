#include "Connection/HttpLogClient.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include "Connection/Base64.h"

namespace wisteria {

namespace {

using Json = nlohmann::json;

/// Records asked for in one read; with records of a few hundred bytes an answer stays small.
constexpr int recordsPerRead = 512;
/// Largest answer that is taken, so that a faulty service can't fill the process's memory.
constexpr std::size_t maxAnswerBytes = 32 * 1024 * 1024;
/// What a read may take beyond the time that the service was asked to wait.
constexpr milliseconds readGrace(3000);
constexpr milliseconds connectTimeout(2000);
constexpr long httpOk = 200;
constexpr long httpClientError = 400;
constexpr long httpServerError = 500;
constexpr long httpUnavailable = 503;

struct Answer
{
    CURLcode code = CURLE_OK;
    long status = 0;
    /// Bytes of the request that left; 0 proves that the service saw nothing.
    long requestBytes = 0;
    std::string body;
};

std::size_t takeBody(char *data, std::size_t size, std::size_t count, void *userData)
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

std::string describe(const Answer &answer)
{
    if (answer.code != CURLE_OK)
        return curl_easy_strerror(answer.code);
    return "status " + std::to_string(answer.status);
}

/// Says of a failed append whether it is proved that nothing was written.
Result<Offset> appendFailure(const Answer &answer, const std::string &url)
{
    const std::string what = "the log at " + url + " did not append (" + describe(answer) + ")";
    const bool neverSent = answer.code != CURLE_OK && answer.requestBytes == 0;
    if (neverSent || answer.status == httpUnavailable) {
        return failure(ErrorKind::Unavailable,
                       what + "; nothing was written, try again once the log answers");
    }
    const bool rejected = answer.code == CURLE_OK && answer.status >= httpClientError
        && answer.status < httpServerError;
    if (rejected)
        return failure(ErrorKind::BadInput, what + "; check the log's URL and the record's size");
    return failure(ErrorKind::OutcomeUnknown,
                   what + "; the record may stand in the log, read back before appending again");
}

Result<LogBatch> parseBatch(const std::string &body)
{
    const Json document = Json::parse(body, nullptr, false);
    LogBatch batch;
    try {
        batch.first = document.at("first").get<Offset>();
        batch.end = document.at("end").get<Offset>();
        for (const Json &entry : document.at("records")) {
            auto data = decodeBase64(entry.at("data").get_ref<const std::string &>());
            if (!data)
                return failure(ErrorKind::Unavailable, "the log sent a record that is not base64");
            batch.records.push_back({entry.at("offset").get<Offset>(), std::move(*data)});
        }
    } catch (const Json::exception &error) {
        return failure(ErrorKind::Unavailable,
                       std::string("the log's answer can't be understood (") + error.what()
                           + "); check that its URL names the log service");
    }
    return batch;
}

} // namespace

class HttpLogClient::Private
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

    Answer post(const std::string &path, const std::string &data, milliseconds timeout)
    {
        prepare(path, timeout);
        curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/octet-stream");
        headers = curl_slist_append(headers, "Expect:");
        curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(handle_, CURLOPT_POST, 1L);
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, data.data());
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(data.size()));
        // Failure guarded against: libcurl sends a request once more by itself when a kept
        // connection turns out to be dead. Should the second connection be refused, the error
        // would say that nothing was sent though the first one may have been written. On a fresh
        // connection there is no such second try, so the error tells the truth.
        curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT, 1L);
        Answer answer = perform();
        curl_slist_free_all(headers);
        return answer;
    }

    Answer fetch(const std::string &path, milliseconds timeout)
    {
        prepare(path, timeout);
        return perform();
    }

    const std::string &url() const { return url_; }
    std::uint64_t transferred() const { return transferred_; }

private:
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
        curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, takeBody);
    }

    Answer perform()
    {
        Answer answer;
        curl_easy_setopt(handle_, CURLOPT_WRITEDATA, &answer.body);
        answer.code = curl_easy_perform(handle_);
        curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &answer.status);
        curl_easy_getinfo(handle_, CURLINFO_REQUEST_SIZE, &answer.requestBytes);
        long headerBytes = 0;
        curl_easy_getinfo(handle_, CURLINFO_HEADER_SIZE, &headerBytes);
        curl_off_t sentBytes = 0;
        curl_easy_getinfo(handle_, CURLINFO_SIZE_UPLOAD_T, &sentBytes);
        transferred_ += static_cast<std::uint64_t>(answer.requestBytes + headerBytes + sentBytes)
            + answer.body.size();
        return answer;
    }

    std::string url_;
    CURL *handle_ = nullptr;
    std::uint64_t transferred_ = 0;
};

HttpLogClient::HttpLogClient(std::string url) : d_(std::make_unique<Private>(std::move(url))) { }

HttpLogClient::~HttpLogClient() = default;

Result<Offset> HttpLogClient::append(const std::string &stream, const std::string &data,
                                     milliseconds timeout)
{
    const Answer answer = d_->post("/streams/" + stream + "/records", data, timeout);
    if (answer.code != CURLE_OK || answer.status != httpOk)
        return appendFailure(answer, d_->url());
    const Json document = Json::parse(answer.body, nullptr, false);
    if (!document.is_object() || !document.contains("offset")
        || !document["offset"].is_number_unsigned()) {
        return failure(ErrorKind::OutcomeUnknown,
                       "the log's answer to an append names no offset; read back before "
                       "appending again");
    }
    return document["offset"].get<Offset>();
}

Result<LogBatch> HttpLogClient::read(const std::string &stream, Offset from, milliseconds wait)
{
    const std::string path = "/streams/" + stream + "/records?from=" + std::to_string(from)
        + "&max=" + std::to_string(recordsPerRead) + "&wait_ms=" + std::to_string(wait.count());
    const Answer answer = d_->fetch(path, wait + readGrace);
    const std::string what =
        "the log at " + d_->url() + " can't be read (" + describe(answer) + ")";
    if (answer.code == CURLE_OPERATION_TIMEDOUT)
        return failure(ErrorKind::Timeout, what + "; the last known state stays in force");
    if (answer.code != CURLE_OK || answer.status != httpOk)
        return failure(ErrorKind::Unavailable, what + "; the last known state stays in force");
    return parseBatch(answer.body);
}

std::uint64_t HttpLogClient::transferredBytes() const
{
    return d_->transferred();
}

} // namespace wisteria
