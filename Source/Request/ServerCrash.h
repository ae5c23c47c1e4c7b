#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Process/Time.h"
#include "Request/Fingerprint.h"

namespace wisteria {

/// Crash of one backend server.
struct ServerCrash
{
    std::string server;
    /// Start time of the crashed process; 0 when unknown.
    std::uint64_t startedAt = 0;
    std::string service;
    TimePoint at{};
    /// Backend servers of the service at that time, this one included.
    std::uint32_t servers = 1;
    /// Requests that were in flight there. Empty if nothing was: then the server was found down,
    /// and may have crashed earlier.
    std::vector<RequestIdentity> running{};
};

/// Requests of one crash that are recorded; a bound on the memory that callers can make a gateway
/// use.
constexpr std::size_t maxRunningPerCrash = 128;

} // namespace wisteria
