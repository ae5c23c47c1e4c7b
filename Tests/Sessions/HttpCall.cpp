#include "Sessions/HttpCall.h"

#include <algorithm>
#include <memory>

#include <curl/curl.h>

namespace wisteria::sessions {

namespace {

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *answer)
{
    static_cast<HttpAnswer *>(answer)->body.append(data, size * count);
    return size * count;
}

std::size_t storeHeader(char *data, std::size_t size, std::size_t count, void *answer)
{
    std::string line(data, size * count);
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t end = line.find_last_not_of("\r\n");
        static_cast<HttpAnswer *>(answer)->headers[name] = line.substr(colon + 2, end - colon - 1);
    }
    return size * count;
}

} // namespace

nlohmann::json HttpAnswer::json() const
{
    auto parsed = nlohmann::json::parse(body, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

HttpAnswer call(const HttpCallRequest &request)
{
    HttpAnswer answer;
    const std::unique_ptr<CURL, void (*)(CURL *)> handle(curl_easy_init(), curl_easy_cleanup);
    curl_slist *headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string &header : request.headers)
        headers = curl_slist_append(headers, header.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers);
    if (request.method != "GET") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(request.body.size()));
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, storeHeader);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &answer);
    const TimePoint begin = monotonicNow();
    answer.complete = curl_easy_perform(handle.get()) == CURLE_OK;
    answer.duration = std::chrono::duration_cast<milliseconds>(monotonicNow() - begin);
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &answer.status);
    curl_slist_free_all(headers);
    return answer;
}

std::future<HttpAnswer> callAsync(const HttpCallRequest &request)
{
    return std::async(std::launch::async, [request] { return call(request); });
}

} // namespace wisteria::sessions
