#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisteria {

/// Bytes of a request's fingerprint.
using FingerprintBytes = std::array<std::uint8_t, 16>;

/// A request that was in flight at a crash.
struct RunningRequest
{
    FingerprintBytes request{};
    /// Parts of its prompt that other requests may share.
    std::vector<FingerprintBytes> parts{};
    /// Time from when it was sent there to the crash. Earlier versions send and read none.
    std::optional<std::uint32_t> ranMilliseconds{};
    /// Sends of its copies there. Earlier versions send and read none.
    std::vector<std::uint32_t> sends{};

    bool operator==(const RunningRequest &) const = default;
};

/// Report of a gateway to another one about the crash of a backend server.
struct CrashReport
{
    std::string server;
    /// Start time of the crashed process; 0 when unknown.
    std::uint64_t startedAt = 0;
    std::string service;
    /// Backend servers of the service, the crashed one included.
    std::uint32_t servers = 1;
    /// Time since the crash.
    std::uint32_t ageMilliseconds = 0;
    /// Requests that were in flight there. Earlier versions send and read no parts.
    std::vector<RunningRequest> running;
};

/// Report of a gateway to another one that backend servers completed requests and prompt parts, so
/// that earlier crashes do not count against them.
struct CompletionReport
{
    /// Time since the completions.
    std::uint32_t ageMilliseconds = 0;
    std::vector<FingerprintBytes> requests;
};

/// Report of a gateway to another one about the copies of a request that ended in crashes, and what
/// was sent of it since. See CopyAccount.
struct CopyReport
{
    struct Send
    {
        std::uint32_t id = 0;
        /// Time from the send to when the report was made.
        std::uint32_t agoMilliseconds = 0;
        bool delivered = true;

        bool operator==(const Send &) const = default;
    };

    /// Time since the report was made.
    std::uint32_t ageMilliseconds = 0;
    FingerprintBytes request{};
    std::uint32_t endedCopies = 0;
    /// Time from when the last of them ended to when the report was made.
    std::uint32_t countedAgoMilliseconds = 0;
    std::vector<Send> lastSends{};

    bool operator==(const CopyReport &) const = default;
};

/// Claim of a gateway to send the only request with a suspect, or its end. See RunClaims.
struct ClaimMessage
{
    std::uint64_t ticket = 0;
    /// How much longer the claim holds.
    std::uint32_t holdsMilliseconds = 0;
    FingerprintBytes suspect{};
};

/// Report of a gateway to another one that the requests of an organisation have fingerprints with
/// another id than its name. See OrganisationIds.
struct OrganisationIdReport
{
    std::string name;
    std::string id;

    bool operator==(const OrganisationIdReport &) const = default;
};

/// Encode a message's fields after its kind, and decode them. Decoding throws an exception derived
/// from std::exception for fields that are missing or have another type.
void appendFields(nlohmann::json &message, const CrashReport &report);
void appendFields(nlohmann::json &message, const CompletionReport &report);
void appendFields(nlohmann::json &message, const CopyReport &report);
void appendFields(nlohmann::json &message, const ClaimMessage &claim);
void appendFields(nlohmann::json &message, const OrganisationIdReport &report);
CrashReport decodeCrashReport(const nlohmann::json &message);
CompletionReport decodeCompletionReport(const nlohmann::json &message);
CopyReport decodeCopyReport(const nlohmann::json &message);
ClaimMessage decodeClaim(const nlohmann::json &message);
OrganisationIdReport decodeOrganisationId(const nlohmann::json &message);

} // namespace wisteria
