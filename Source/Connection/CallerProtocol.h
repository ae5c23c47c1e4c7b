#pragma once

#include <map>
#include <string>

#include "Connection/CallerServer.h"
#include "Process/Error.h"
// The words of a request are plain data that the HTTP side only fills in.
#include "Request/EntryRequest.h"

namespace wisteria {

/// Reads a caller's HTTP request.
/// @param id Identity that the entry gives the request, 16 bytes.
/// @return NotFound for a path that is no service's; BadInput, with the remedy, for a header that
/// is missing or malformed.
Result<CallerRequest> readCallerRequest(const CallerHttpRequest &http, std::string id);

/// A whole HTTP answer that is not the backend server's own.
struct CallerAnswer
{
    std::uint32_t status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Tells the caller truthfully what became of a request without an answer.
CallerAnswer renderRefusal(const Refusal &refusal);

/// Tells the caller what is wrong with its request; nothing was run.
CallerAnswer renderBadRequest(const Error &error);

/// Name of a reason as callers and metrics see it, "queue_full".
std::string reasonName(v1::Reason reason);

} // namespace wisteria
