#include "Connection/HttpLogClient.h"

#include <nlohmann/json.hpp>

#include "Connection/Base64.h"
#include "Connection/PlatformHttp.h"
#include "Process/BoundedJson.h"

namespace wisteria {

namespace {

using Json = nlohmann::json;

/// Maximum number of records in one read. Records have a few hundred bytes, so answers stay small.
constexpr int recordsPerRead = 512;
/// The timeout of a read is the wait that it asks of the service plus this time.
constexpr milliseconds readGrace(3000);
constexpr long httpOk = 200;
constexpr long httpClientError = 400;
constexpr long httpServerError = 500;
constexpr long httpUnavailable = 503;

/// Classifies a failed append by whether it is certain that nothing was written.
Result<Offset> appendFailure(const PlatformAnswer &answer, const std::string &url)
{
    const std::string what = "the log at " + url + " did not append (" + describe(answer) + ")";
    if (answer.neverSent || answer.status == httpUnavailable) {
        return failure(ErrorKind::Unavailable,
                       what + "; nothing was written, try again once the log answers");
    }
    const bool rejected = answer.status >= httpClientError && answer.status < httpServerError;
    if (rejected)
        return failure(ErrorKind::BadInput, what + "; check the log's URL and the record's size");
    return failure(ErrorKind::OutcomeUnknown,
                   what + "; the record may stand in the log, read back before appending again");
}

Result<LogBatch> parseBatch(const std::string &body)
{
    const auto parsed = parseJsonObject(body);
    if (parsed.has_error()) {
        return failure(ErrorKind::Unavailable,
                       "the log's answer " + parsed.error().message
                           + "; check that its URL names the log service");
    }
    const Json &document = parsed.value();
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

HttpLogClient::HttpLogClient(std::string url)
    : http_(std::make_unique<PlatformHttp>(std::move(url)))
{ }

HttpLogClient::~HttpLogClient() = default;

void HttpLogClient::interrupt()
{
    http_->interrupt();
}

Result<Offset> HttpLogClient::append(const std::string &stream, const std::string &data,
                                     milliseconds timeout)
{
    const PlatformAnswer answer = http_->post("/streams/" + stream + "/records", data, timeout);
    if (answer.status != httpOk)
        return appendFailure(answer, http_->url());
    const auto document = parseJsonObject(answer.body);
    if (document.has_error() || !document.value().contains("offset")
        || !document.value()["offset"].is_number_unsigned()) {
        return failure(ErrorKind::OutcomeUnknown,
                       "the log's answer to an append names no offset; read back before "
                       "appending again");
    }
    return document.value()["offset"].get<Offset>();
}

Result<LogBatch> HttpLogClient::read(const std::string &stream, Offset from, milliseconds wait)
{
    const std::string path = "/streams/" + stream + "/records?from=" + std::to_string(from)
        + "&max=" + std::to_string(recordsPerRead) + "&wait_ms=" + std::to_string(wait.count());
    const PlatformAnswer answer = http_->get(path, wait + readGrace);
    const std::string what =
        "the log at " + http_->url() + " can't be read (" + describe(answer) + ")";
    if (answer.timedOut)
        return failure(ErrorKind::Timeout, what + "; the last known state stays in force");
    if (answer.status != httpOk)
        return failure(ErrorKind::Unavailable, what + "; the last known state stays in force");
    return parseBatch(answer.body);
}

std::uint64_t HttpLogClient::transferredBytes() const
{
    return http_->transferredBytes();
}

} // namespace wisteria
