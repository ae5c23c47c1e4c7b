#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Request/GatewayRequest.h"

namespace wisteria {

/// Identifies a request across repeats of its caller, which have different attempt ids, and across
/// gateways.
struct RequestFingerprint
{
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(const RequestFingerprint &) const = default;
};

/// Returns the fingerprint of a request: of its method, host, path with query, organisation and
/// body. Header fields differ between repeats and are left out.
///
/// The hash is a cryptographic one. With another one, a caller could construct a request that has
/// the fingerprint of somebody else's.
/// @param organisation Name of the caller's organisation; empty if the route needs no API key.
RequestFingerprint fingerprintOf(const GatewayRequest &request, std::string_view organisation);

/// Returns a hash of the fingerprint, the same in all gateways.
std::uint64_t hashOf(const RequestFingerprint &fingerprint);

/// Formats the fingerprint as 32 hexadecimal digits.
std::string toText(const RequestFingerprint &fingerprint);

/// Parses the result of toText().
/// @return Nothing if the text is not a fingerprint.
std::optional<RequestFingerprint> fingerprintFromText(std::string_view text);

} // namespace wisteria
