#pragma once

#include <cstdint>
#include <string>

#include "Request/BackendRegistry.h"

namespace wisteria::gateway_tests {

/// An entry of the service "s"; servers of other ids have other addresses.
/// @param startedAt 0 leaves the start unknown.
inline BackendEntry entryOf(const std::string &id, std::uint64_t startedAt = 0)
{
    return {.id = id,
            .service = "s",
            .address = {1, static_cast<std::uint16_t>(1000 + id.back())},
            .failureDomain = "a",
            .slots = 10,
            .startedAt = startedAt};
}

/// What a request of that service needs.
inline BackendCriteria criteriaOf()
{
    return {.service = "s", .tried = {}, .failureDomain = "a"};
}

} // namespace wisteria::gateway_tests
