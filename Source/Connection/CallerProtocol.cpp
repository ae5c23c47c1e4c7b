#include "Connection/CallerProtocol.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "Request/KeyHashing.h"

namespace wisteria {

namespace {

constexpr std::string_view pathPrefix = "/v1/services/";
constexpr std::string_view pathSuffix = "/requests";
constexpr std::uint32_t maxPriority = 9;
constexpr std::uint32_t maxDeadlineMs = 3'600'000;
/// Number of body bytes that are hashed as the prompt's prefix when the caller names none.
constexpr std::size_t prefixBytes = 256;

constexpr std::uint32_t statusBadRequest = 400;
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusConflict = 409;
constexpr std::uint32_t statusTooManyRequests = 429;
constexpr std::uint32_t statusBadGateway = 502;
constexpr std::uint32_t statusUnavailable = 503;

std::string headerOr(const CallerHttpRequest &http, const std::string &name,
                     const std::string &fallback)
{
    const auto found = http.headers.find(name);
    return found == http.headers.end() ? fallback : found->second;
}

Result<std::uint32_t> numberHeader(const CallerHttpRequest &http, const std::string &name,
                                   std::uint32_t maximum)
{
    const std::string text = headerOr(http, name, "0");
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number > maximum) {
        return failure(ErrorKind::BadInput,
                       "header " + name + " is '" + text + "'; give a whole number from 0 to "
                           + std::to_string(maximum));
    }
    return number;
}

Result<bool> readIdempotent(const CallerHttpRequest &http)
{
    const std::string text = headerOr(http, "wisteria-idempotent", "true");
    if (text != "true" && text != "false") {
        return failure(ErrorKind::BadInput,
                       "header wisteria-idempotent is '" + text + "'; give true or false");
    }
    return text == "true";
}

Result<std::string> serviceOf(const CallerHttpRequest &http)
{
    const std::string_view path = http.path;
    const bool matches = path.size() > pathPrefix.size() + pathSuffix.size()
        && path.starts_with(pathPrefix) && path.ends_with(pathSuffix);
    if (!matches) {
        return failure(ErrorKind::NotFound,
                       "no such path '" + http.path + "'; use POST /v1/services/NAME/requests");
    }
    if (http.method != "POST") {
        return failure(ErrorKind::BadInput,
                       "method " + http.method + " is not served here; use POST");
    }
    const std::size_t length = path.size() - pathPrefix.size() - pathSuffix.size();
    return std::string(path.substr(pathPrefix.size(), length));
}

Result<void> readKey(const CallerHttpRequest &http, CallerRequest &request)
{
    request.key = headerOr(http, "wisteria-key", "");
    if (request.idempotent)
        return boost::outcome_v2::success();
    if (!keyTime(request.key)) {
        return failure(ErrorKind::BadInput,
                       "header wisteria-key is '" + request.key
                           + "'; a request that is not idempotent needs a new UUID version 7 "
                             "(RFC 9562), and its repeats the same one");
    }
    return boost::outcome_v2::success();
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Returns the hash of the prompt's prefix, or 0, which means "no prefix" on the wire.
std::uint64_t prefixOf(const CallerHttpRequest &http)
{
    const std::string prefixHeader = headerOr(http, "wisteria-prefix", "");
    if (!prefixHeader.empty())
        return std::max<std::uint64_t>(hashOf(prefixHeader, 0), 1);
    if (http.body.size() < prefixBytes)
        return 0;
    return std::max<std::uint64_t>(hashOf(std::string_view(http.body).substr(0, prefixBytes), 0),
                                   1);
}

const char *outcomeName(EndKind end)
{
    switch (end) {
    case EndKind::NotRun:
        return "not_run";
    case EndKind::OutcomeUnknown:
        return "unknown";
    case EndKind::AlreadyRun:
        return "already_run";
    }
    return "unknown";
}

std::uint32_t statusOf(const Refusal &refusal)
{
    if (refusal.end == EndKind::OutcomeUnknown)
        return statusBadGateway;
    if (refusal.end == EndKind::AlreadyRun)
        return statusConflict;
    switch (refusal.reason) {
    case v1::REASON_BAD_REQUEST:
    case v1::REASON_CONVICTED:
        return statusBadRequest;
    case v1::REASON_WRONG_SERVICE:
        return statusNotFound;
    case v1::REASON_ORGANISATION_RATE:
    case v1::REASON_ORGANISATION_CONCURRENCY:
        return statusTooManyRequests;
    default:
        return statusUnavailable;
    }
}

/// Whether the request was refused because of its key, so that a retry needs a new key.
bool needsNewKey(v1::Reason reason)
{
    return reason == v1::REASON_KEY_TOO_OLD || reason == v1::REASON_KEY_UNPROVEN;
}

std::string messageOf(const Refusal &refusal)
{
    if (refusal.end == EndKind::NotRun && needsNewKey(refusal.reason))
        return "The request was not run; send it again with a new key after retry_after_ms.";
    if (refusal.end == EndKind::OutcomeUnknown && refusal.reason == v1::REASON_BAD_REQUEST)
        return "Another request came under this key before, and it may have run; send this one "
               "with a key of its own.";
    switch (refusal.end) {
    case EndKind::NotRun:
        return refusal.retryAfter.count() > 0
            ? "The request was not run; send it again after retry_after_ms."
            : "The request was not run; correct it before you send it again.";
    case EndKind::OutcomeUnknown:
        return "The request may have run; check its effect, or repeat it with the same key after "
               "retry_after_ms.";
    case EndKind::AlreadyRun:
        return "The request ran before and its answer is no longer held; do not repeat it.";
    }
    return "";
}

CallerAnswer jsonAnswer(std::uint32_t status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
}

} // namespace

std::string reasonName(v1::Reason reason)
{
    constexpr std::size_t prefixLength = std::string_view("REASON_").size();
    std::string name = v1::Reason_Name(reason);
    name = name.size() > prefixLength ? name.substr(prefixLength) : "unspecified";
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return name;
}

Result<CallerRequest> readCallerRequest(const CallerHttpRequest &http, std::string id)
{
    BOOST_OUTCOME_TRY(service, serviceOf(http));
    BOOST_OUTCOME_TRY(priority, numberHeader(http, "wisteria-priority", maxPriority));
    BOOST_OUTCOME_TRY(deadlineMs, numberHeader(http, "wisteria-deadline-ms", maxDeadlineMs));
    BOOST_OUTCOME_TRY(idempotent, readIdempotent(http));
    BOOST_OUTCOME_TRY(
        callerTry,
        numberHeader(http, "wisteria-attempt", std::numeric_limits<std::uint32_t>::max()));
    CallerRequest request;
    request.id = std::move(id);
    request.service = service;
    request.organisation = headerOr(http, "wisteria-organisation", "");
    if (request.organisation.empty()) {
        return failure(ErrorKind::BadInput,
                       "header wisteria-organisation is missing; give the "
                       "name of the organisation that asks");
    }
    request.priority = priority;
    request.deadline = milliseconds(deadlineMs);
    request.idempotent = idempotent;
    request.callerTry = callerTry;
    BOOST_OUTCOME_TRYV(readKey(http, request));
    request.fingerprint = hashOf(http.body, hashOf(request.service, 0));
    request.prefix = prefixOf(http);
    request.bodyBytes = http.body.size();
    return request;
}

CallerAnswer renderRefusal(const Refusal &refusal)
{
    const nlohmann::json body = {
        {"outcome", outcomeName(refusal.end)},
        {"reason", reasonName(refusal.reason)},
        {"message", messageOf(refusal)},
        {"retry_after_ms", refusal.retryAfter.count()},
    };
    CallerAnswer answer = jsonAnswer(statusOf(refusal), body);
    if (refusal.retryAfter.count() > 0) {
        const auto retryAfterSeconds = std::chrono::ceil<seconds>(refusal.retryAfter);
        answer.headers["Retry-After"] = std::to_string(retryAfterSeconds.count());
    }
    return answer;
}

CallerAnswer renderBadRequest(const Error &error)
{
    const bool missing = error.kind == ErrorKind::NotFound;
    const nlohmann::json body = {
        {"outcome", "not_run"},
        {"reason", missing ? "not_found" : "bad_request"},
        {"message", error.message},
        {"retry_after_ms", 0},
    };
    return jsonAnswer(missing ? statusNotFound : statusBadRequest, body);
}

} // namespace wisteria
