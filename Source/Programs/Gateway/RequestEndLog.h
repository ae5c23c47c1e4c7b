#pragma once

#include <cstdint>
#include <optional>
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
    TimePoint endedAt{};
};

/// Why a request ends that a stopping gateway does not send, or does not wait for any longer.
inline constexpr const char *stoppingReason = "the gateway is stopping";

/// Adds the field `grace_left_s` if the gateway is stopping: the time until the platform kills it.
void addGraceLeft(LogFields &fields, const std::optional<PlannedStop> &stop, TimePoint now);

/// Returns why a request without a backend server is refused, for its log line and metrics.
/// @param mayWait Whether the request could have waited, so that only its time limit ended the
/// wait.
const char *refusalReason(NoBackendReason reason, bool mayWait);

/// Writes the log line `request.end` and counts the request.
void recordRequestEnd(GatewayContext &context, const RequestEndLine &line);

} // namespace wisteria
