#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "Process/Error.h"

namespace wisteria {

/// An IPv4 address and a port, both in the host's byte order.
struct Endpoint
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Reads "10.1.0.40:8227".
/// @return BadInput that quotes the text when it is no such address.
Result<Endpoint> endpointFromText(std::string_view text);

/// Reads an address to listen on, where port 0 takes a free one.
Result<Endpoint> listenAddressFromText(std::string_view text);

/// The endpoint as "10.1.0.40:8227".
std::string toText(const Endpoint &endpoint);

} // namespace wisteria
