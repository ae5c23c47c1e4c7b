#pragma once

#include <map>
#include <string>

#include "Connection/CallerServer.h"
#include "Process/Error.h"
// Only for the value types CallerRequest and Refusal.
#include "Request/EntryRequest.h"

namespace wisteria {

/// Reads a caller's HTTP request.
/// @param id Request id that the entry assigns, 16 bytes.
/// @return NotFound for a path that names no service; BadInput for a wrong method or a missing or
/// malformed header. The message says how to correct the request.
Result<CallerRequest> readCallerRequest(const CallerHttpRequest &http, std::string id);

/// A complete HTTP answer that the entry generates itself.
struct CallerAnswer
{
    std::uint32_t status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Answer to a request that got none from a backend server. States whether the request was run.
CallerAnswer renderRefusal(const Refusal &refusal);

/// Answer to a request that is malformed or names no service. It was not run.
CallerAnswer renderBadRequest(const Error &error);

/// Name of a reason in answers and metrics, such as "queue_full".
std::string reasonName(v1::Reason reason);

} // namespace wisteria
