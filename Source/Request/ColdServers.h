#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Process/Time.h"
#include "Request/RetryTokenBucket.h"
#include "Request/ServerLimit.h"
#include "Version/BackendEntry.h"
#include "Version/ServiceConfiguration.h"

namespace wisteria {

/// A service whose backend servers may be cold.
struct ColdService
{
    /// Requests per second that a cold server can handle.
    double perSecond = 0;
    /// How long a server is cold after a start.
    milliseconds duration{0};
};

/// A cold server gets at most its rate, multiplied by `overshoot`, plus `slack` requests in any
/// second from all gateways together.
struct ColdBounds
{
    double overshoot = 1;
    double slack = 0;
};

/// A cold phase that this gateway knows of.
struct ColdPhase
{
    std::string service;
    TimePoint until;
};

/// What this gateway has last read of a backend server, to detect a restart and a record that is
/// read again.
struct ColdRecord
{
    std::uint64_t startedAt = 0;
    std::optional<std::uint64_t> offset{};
    TimePoint readAt;
};

/// Cold backend servers, and what this gateway has sent to servers that may be cold. A value type
/// without I/O.
///
/// It is kept by the servers' ids and separate from their entries, so that nothing is lost when an
/// entry expires temporarily.
struct ColdServers
{
    /// Services with a cold rate above 0, by name; empty before the first configuration.
    std::map<std::string, ColdService> services;
    /// Whether a configuration is known.
    bool configured = false;
    ColdBounds bounds;
    /// Number of gateways that the bound is divided by; see assumedGateways().
    double gateways = defaultGateways;
    std::map<std::string, ColdPhase> phases;
    std::map<std::string, ColdRecord> records;
    /// Times of this gateway's last requests to each server, in ascending order, as far as they
    /// count in its share.
    std::map<std::string, std::deque<TimePoint>> sends;
    /// Servers whose answers state a wrong cold time, and when that was logged.
    std::map<std::string, TimePoint> loggedProblems;
    /// When removeStaleState() last did its work.
    TimePoint cleanedAt;
};

/// Takes over the cold rates of a configuration, also for phases that have begun: entries may be
/// read before the configuration.
void setColdServices(ColdServers &cold, ServerLimits &limits,
                     const std::map<std::string, ServiceRule> &services, TimePoint now);

/// Returns the cold rate of a service in requests per second; 0 for none.
double coldRateOf(const ColdServers &cold, const std::string &service);

/// Most requests that this gateway sends to one server within any such time.
struct SendShare
{
    std::size_t requests = 1;
    milliseconds within{1000};
};

/// Returns this gateway's share of the bound for one server of a service; nothing for a service
/// without cold servers.
///
/// The share applies whether the server is known to be cold or not, because it may be cold before
/// any gateway knows. It needs no message, so it also holds while gateways can't reach each other.
std::optional<SendShare> sendShareOf(const ColdServers &cold, const std::string &service);

/// Returns when the share allows the next request to a server; a time in the past if it does now.
TimePoint nextSendAt(const ColdServers &cold, const SendShare &share, const std::string &id);

/// Records a request that is sent; does nothing for a service without cold servers.
void noteSend(ColdServers &cold, const std::string &service, const std::string &id, TimePoint now);

/// Removes the sends and records of servers that were not used or read for minutes; once a minute.
void removeStaleState(ColdServers &cold, TimePoint now);

/// Begins a cold phase, or changes the end of a phase, and limits the server's rate in it and in
/// the slow start after it.
void beginColdPhase(ColdServers &cold, ServerLimits &limits, const std::string &id,
                    const ColdPhase &phase);

/// Begins the cold phase that a server's entry states. The remaining time counts from now, which is
/// never too early. A record that is read again changes nothing, and neither does an entry without
/// a remaining time, except for a server that has restarted: it is cold for the time after a start.
/// A remaining time of 0 in a new record ends the phase, and the slow start follows. Call it after
/// the limits of a restarted server were removed.
void noteColdEntry(ColdServers &cold, ServerLimits &limits, const BackendEntry &entry,
                   TimePoint now);

/// Notes the problem with the cold time in a server's answer, if any.
/// @return Whether to log it: once in ten minutes for each server, as each answer repeats it.
bool noteColdProblem(ColdServers &cold, const std::string &id, const std::string &problem,
                     TimePoint now);

/// Returns whether a server is known to be cold. In the slow start it no longer is.
bool isCold(const ColdServers &cold, const std::string &id, TimePoint now);

std::size_t coldServerCount(const ColdServers &cold, TimePoint now);

/// Removes cold phases that are over.
/// @return Ids of the servers whose phase has ended.
std::vector<std::string> endColdPhases(ColdServers &cold, TimePoint now);

} // namespace wisteria
