#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Process/Time.h"
#include "Request/Fingerprint.h"

namespace wisteria {

/// Identifies one send of a request, over all gateways; chosen at random.
using SendId = std::uint32_t;

/// A request that was in flight at a crash.
struct InFlightRequest
{
    RequestIdentity identity;
    /// When its earliest copy there was sent; nothing in reports of earlier versions.
    std::optional<TimePoint> sentAt{};
    /// Sends of its copies there; empty in reports of earlier versions.
    std::vector<SendId> sends{};
};

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
    std::vector<InFlightRequest> running{};
    /// Requests of the service that this gateway had seen completed when the crash became known.
    std::uint64_t completedBefore = 0;
    /// Whether this gateway detected it, perhaps beside others.
    bool seenHere = false;
};

/// What of a request may be the reason for a crash: its parts and itself.
std::vector<Fingerprint> suspectsOf(const RequestIdentity &request);
bool contains(const RequestIdentity &request, const Fingerprint &suspect);
bool containsAll(const RequestIdentity &request, const std::vector<Fingerprint> &suspects);

/// Whether a suspect was in flight at a crash.
bool wasRunning(const ServerCrash &crash, const Fingerprint &suspect);
/// When the earliest copy of a suspect that was in flight at a crash was sent.
/// @return Nothing if none was, or if that is unknown of one.
std::optional<TimePoint> earliestSend(const ServerCrash &crash, const Fingerprint &suspect);
/// Returns the earlier of two times; nothing if one is unknown.
std::optional<TimePoint> earliest(const std::optional<TimePoint> &a,
                                  const std::optional<TimePoint> &b);
/// Whether one request that was in flight at a crash had both suspects.
bool ranTogether(const ServerCrash &crash, const Fingerprint &suspect, const Fingerprint &other);

/// Number of copies of a request that ended with a crash; at least one if any was in flight there.
std::uint32_t copiesAt(const ServerCrash &crash, const Fingerprint &request);

/// Copies of one request at one crash that are told apart.
constexpr std::size_t maxCopiesPerCrash = 16;
/// Requests of one crash that are recorded; a bound on the memory that callers can make a gateway
/// use.
constexpr std::size_t maxRunningPerCrash = 128;

} // namespace wisteria
