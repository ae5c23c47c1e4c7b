#pragma once

#include <future>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Process/Time.h"

namespace wisteria::sessions {

/// One HTTP call of a test.
struct HttpAsk
{
    std::string url;
    std::string method = "POST";
    std::string body = {};
    std::vector<std::string> headers = {};
    milliseconds timeout = milliseconds(30000);
};

/// What came back.
struct HttpAnswer
{
    /// 0 when no answer came at all.
    long status = 0;
    /// False when the answer was cut or the call timed out.
    bool whole = false;
    std::string body;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    milliseconds took = milliseconds(0);

    /// The body as JSON; an empty object when it isn't.
    nlohmann::json json() const;
};

HttpAnswer call(const HttpAsk &ask);

/// Calls from another thread, so that the test can act while the answer is awaited.
std::future<HttpAnswer> callLater(const HttpAsk &ask);

} // namespace wisteria::sessions
