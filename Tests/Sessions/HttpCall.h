#pragma once

#include <future>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Process/Time.h"

namespace wisteria::sessions {

/// One HTTP call of a test.
struct HttpCallRequest
{
    std::string url;
    std::string method = "POST";
    std::string body = {};
    std::vector<std::string> headers = {};
    milliseconds timeout = milliseconds(30000);
};

/// The answer to one HTTP call.
struct HttpAnswer
{
    /// HTTP status; 0 when no answer arrived.
    long status = 0;
    /// False when the answer was cut off or the call timed out.
    bool complete = false;
    std::string body;
    /// Header values by header name in lower case.
    std::map<std::string, std::string> headers;
    milliseconds duration = milliseconds(0);

    /// The body as JSON; an empty object when it is not a JSON object.
    nlohmann::json json() const;
};

/// Sends a request and waits for the answer.
HttpAnswer call(const HttpCallRequest &request);

/// Sends a request from another thread, so that the test can act while the answer is pending.
std::future<HttpAnswer> callAsync(const HttpCallRequest &request);

} // namespace wisteria::sessions
