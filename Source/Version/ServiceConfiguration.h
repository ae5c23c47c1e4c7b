#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Process/Time.h"

namespace wisteria {

/// How often a request of a route may run.
enum class RequestKind {
    Idempotent, ///< Any number of times.
    NonIdempotent, ///< At most once for each caller's attempt.
    Streaming, ///< At most once, or again from a later event where the route is resumable.
};

/// A service that a route sends to, and its share of the route's requests.
struct ServiceShare
{
    std::string service;
    std::uint32_t weight = 1;
};

/// One route as the operator configured it.
struct RouteRule
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// Longest time that the operator wants a request kept waiting; of a route that does not say
    /// so, as long as common proxies wait.
    milliseconds timeout{30'000};
    /// Time within which an answer has its full value; for streams, up to the first event.
    milliseconds targetLatency{0};
    /// Longest pause between two events of a stream that is still in time.
    std::optional<milliseconds> targetGap;
    /// Backend servers that one attempt of a caller may be sent to.
    std::uint32_t maxAttempts = 1;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// No API key is needed.
    bool isPublic = false;
    /// A stream may go on at another backend server after the last event received.
    bool resumable = false;
    std::vector<ServiceShare> shares;

    /// Whether a request that may have run may be sent once more.
    bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }
};

/// The model engine behind a service's backend servers, as far as decisions use it.
struct EngineProfile
{
    /// Requests that one backend server processes at once.
    std::uint32_t slots = 0;
    /// Token steps of one pass while answers are written.
    std::uint32_t stepsPerPass = 1;
    /// Duration of one step, and what each writing request adds to it.
    std::chrono::duration<double, std::milli> step{0};
    std::chrono::duration<double, std::milli> stepPerRequest{0};
    /// Prompt tokens read a second.
    double promptTokensPerSecond = 0;
    std::uint64_t memoryTokens = 0;
    /// Experts: sets of layers with a map each, experts a set, and how many a rank holds.
    std::uint32_t expertSets = 0;
    std::uint32_t expertsPerSet = 0;
    std::uint32_t expertsPerRank = 0;
    /// Experts of a set that one rank may load for one new map.
    std::uint32_t copiesPerMap = 0;
    double expertMegabytes = 0;
    double linkMegabitsPerSecond = 0;
    /// Share of the work for tokens that the experts do, 0 to 1.
    double expertShare = 0;
};

struct ServiceRule
{
    std::string name;
    std::string healthPath;
    /// Connections that one backend server takes from all callers together; 0 when not told.
    std::uint32_t maxConnections = 0;
    std::optional<EngineProfile> engine;
};

/// Whether the service's backend servers are ranks of groups.
inline bool isGroup(const ServiceRule &service)
{
    return service.engine && service.engine->expertSets > 0;
}

struct Organisation
{
    std::string name;
    /// Goes before the route's priority.
    std::optional<std::uint32_t> priority;
};

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/// One version of the operator's configuration.
struct ServiceConfiguration
{
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::map<std::string, ServiceRule> services;
    CallerLimits limits;
    /// Organisation of each API key.
    std::unordered_map<std::string, Organisation> organisationOfKey;
    /// Whether requests on routes that are not public need a key.
    bool needsKeys = false;
};

inline bool isGroup(const ServiceConfiguration &configuration, const std::string &service)
{
    const auto found = configuration.services.find(service);
    return found != configuration.services.end() && isGroup(found->second);
}

} // namespace wisteria
