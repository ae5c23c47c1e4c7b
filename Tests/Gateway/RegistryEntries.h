#pragma once

#include <cstdint>
#include <string>

#include "Request/BackendRegistry.h"

namespace wisteria::gateway_tests {

/// Returns an entry of the service "s"; servers with different ids have different addresses.
/// @param startedAt 0 means an unknown start time.
inline BackendEntry entryOf(const std::string &id, std::uint64_t startedAt = 0)
{
    return {.id = id,
            .service = "s",
            .address = {1, static_cast<std::uint16_t>(1000 + id.back())},
            .failureDomain = "a",
            .slots = 10,
            .startedAt = startedAt};
}

/// Returns the criteria of a request for the service "s".
inline BackendCriteria criteriaOf()
{
    return {.service = "s", .tried = {}, .failureDomain = "a"};
}

} // namespace wisteria::gateway_tests
