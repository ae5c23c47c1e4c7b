#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Programs/Gateway/GatewayContext.h"
#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

/// Fields of the log line `request.end`.
struct RequestEndLine
{
    RequestEnd end;
    std::string id;
    std::string route;
    std::uint64_t configurationVersion = 0;
    std::uint32_t priority = 0;
    /// Ids of the backend servers that it was sent to.
    std::vector<std::string> tried{};
    /// Fingerprint of the request; empty if it does not matter for its end.
    std::string fingerprint{};
};

/// Returns why a request without a backend server is refused, for its log line and metrics.
/// @param mayWait Whether the request could have waited, so that only its time limit ended the
/// wait.
const char *refusalReason(NoBackendReason reason, bool mayWait);

/// Writes the log line `request.end` and counts the request.
void recordRequestEnd(GatewayContext &context, const RequestEndLine &line);

} // namespace wisteria
