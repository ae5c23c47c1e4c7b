#pragma once

#include <cstddef>
#include <optional>

#include "Request/ServerLimit.h"

namespace wisteria::gateway_tests {

/// A message about permits between two gateways of a test, by their indices.
struct PermitDatagram
{
    std::size_t from = 0;
    std::size_t to = 0;
    /// Empty for a reply.
    std::optional<PermitRequest> request{};
    PermitReply reply{};
};

} // namespace wisteria::gateway_tests
