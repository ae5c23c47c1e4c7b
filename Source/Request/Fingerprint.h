#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Request/GatewayRequest.h"

namespace wisteria {

/// Identifies, the same at all gateways, what may crash backend servers: a request across repeats
/// of its caller, which have different attempt ids, or a part of prompts across requests.
struct Fingerprint
{
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(const Fingerprint &) const = default;
};

/// Returns the fingerprint of a request: of its method, host, path with query, organisation and
/// body. Header fields differ between repeats and are left out.
///
/// The hash is a cryptographic one. With another one, a caller could construct a request that has
/// the fingerprint of somebody else's.
/// @param organisation Id of the caller's organisation; empty if the route needs no API key.
Fingerprint fingerprintOf(const GatewayRequest &request, std::string_view organisation);

/// Returns the fingerprint of a prompt part: of its id and of the service, since another service
/// may run the same part without harm.
Fingerprint fingerprintOfPart(std::string_view service, std::string_view partId);

/// Returns the fingerprint by which gateways claim the only run of a suspect request of a service.
Fingerprint fingerprintOfService(std::string_view service);

/// All that may be a request's reason to crash backend servers.
struct RequestIdentity
{
    Fingerprint request;
    /// Parts of its prompt that other requests may share.
    std::vector<Fingerprint> parts{};

    bool operator==(const RequestIdentity &) const = default;
};

/// Returns the fingerprints of a request and of the shared parts of its prompt.
RequestIdentity identityOf(const GatewayRequest &request, std::string_view organisation,
                           std::string_view service);

/// Returns a hash of the fingerprint, the same in all gateways.
std::uint64_t hashOf(const Fingerprint &fingerprint);

/// Hash function for containers.
struct FingerprintHash
{
    std::size_t operator()(const Fingerprint &fingerprint) const { return hashOf(fingerprint); }
};

/// Formats the fingerprint as 32 hexadecimal digits.
std::string toText(const Fingerprint &fingerprint);

/// Parses the result of toText().
/// @return Nothing if the text is not a fingerprint.
std::optional<Fingerprint> fingerprintFromText(std::string_view text);

} // namespace wisteria
