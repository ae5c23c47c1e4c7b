#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "Process/Error.h"

namespace wisteria {

/// An IPv4 address and a port, both in host byte order.
struct Endpoint
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Parses an address such as "10.1.0.40:8227".
/// @return BadInput that quotes the text if it is not an IPv4 address with a port from 1 to 65535.
Result<Endpoint> endpointFromText(std::string_view text);

/// Parses an address to listen on, where port 0 lets the kernel choose one. Errors as above.
Result<Endpoint> listenAddressFromText(std::string_view text);

/// Formats the endpoint as "10.1.0.40:8227".
std::string toText(const Endpoint &endpoint);

} // namespace wisteria
