#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Programs/Gateway/GatewayContext.h"
#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

/// A request that ended, as its log line describes it.
struct EndedRequest
{
    RequestEnd end;
    std::string id;
    std::string route;
    std::uint64_t configurationVersion = 0;
    std::uint32_t priority = 0;
    /// Ids of the backend servers that it was sent to.
    std::vector<std::string> tried{};
};

/// Writes the log line `request.end` and counts the request.
void logRequestEnd(GatewayContext &context, const EndedRequest &request);

} // namespace wisteria
