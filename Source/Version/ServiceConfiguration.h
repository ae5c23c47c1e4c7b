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
    NonIdempotent, ///< At most once per attempt of the caller.
    Streaming, ///< At most once; on a resumable route it may resume after the last event received.
};

/// A service that a route sends to, and its weight among the route's services.
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
    /// Maximum time that the operator lets a request wait. The default is that of common proxies.
    milliseconds timeout{30'000};
    /// Target for the time to the complete answer, or to the first event of a stream. A later
    /// answer has less value.
    milliseconds targetLatency{0};
    /// Target for the maximum time between two events of a stream.
    std::optional<milliseconds> targetGap;
    /// Maximum number of backend servers that one attempt of a caller is sent to.
    std::uint32_t maxAttempts = 1;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Requests need no API key.
    bool isPublic = false;
    /// A stream may resume at another backend server after the last event received.
    bool resumable = false;
    std::vector<ServiceShare> shares;

    /// Returns whether a request that may have run may be sent again.
    bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }
};

/// Properties of the model engine of a service's backend servers that decisions use.
struct EngineProfile
{
    /// Requests that one backend server processes concurrently.
    std::uint32_t slots = 0;
    /// Token steps of one forward pass while answers are generated.
    std::uint32_t stepsPerPass = 1;
    /// Duration of one step, and the time that each generating request adds to it.
    std::chrono::duration<double, std::milli> step{0};
    std::chrono::duration<double, std::milli> stepPerRequest{0};
    /// Prompt tokens read per second.
    double promptTokensPerSecond = 0;
    std::uint64_t memoryTokens = 0;
    /// Sets of layers with one map each, experts per set, and experts of a set that a rank holds.
    std::uint32_t expertSets = 0;
    std::uint32_t expertsPerSet = 0;
    std::uint32_t expertsPerRank = 0;
    /// Experts of a set that one rank may copy for one new map.
    std::uint32_t copiesPerMap = 0;
    double expertMegabytes = 0;
    double linkMegabitsPerSecond = 0;
    /// Fraction of the work per token that the experts do, 0 to 1.
    double expertShare = 0;
};

/// A longer cold time is an error of the server or the operator, and would keep the server at its
/// cold rate indefinitely.
inline constexpr milliseconds maxColdTime = std::chrono::hours(1);
/// A higher cold rate, in requests per second, is an error of the operator and has no effect.
inline constexpr double maxColdPerSecond = 10'000;

struct ServiceRule
{
    std::string name;
    std::string healthPath;
    /// Maximum connections that one backend server accepts from all callers; 0 when not configured.
    std::uint32_t maxConnections = 0;
    /// How long a backend server is cold after a start, and how many requests per second it can
    /// handle in that time; 0 when its servers are never cold.
    milliseconds coldDuration{0};
    double coldPerSecond = 0;
    /// Why the configured cold time or rate could not be used as it is, and the remedy; empty
    /// normally.
    std::string coldProblem;
    std::optional<EngineProfile> engine;
};

/// Returns whether the service's backend servers are ranks of groups.
inline bool isGroup(const ServiceRule &service)
{
    return service.engine && service.engine->expertSets > 0;
}

struct Organisation
{
    std::string name;
    /// Overrides the route's priority.
    std::optional<std::uint32_t> priority;
};

/// Limits on the size of a caller's request and on the time that the caller may take.
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
    /// Organisation by API key.
    std::unordered_map<std::string, Organisation> organisationOfKey;
    /// Whether requests on routes that are not public need an API key.
    bool needsKeys = false;
};

/// Returns whether the service's backend servers are model engines.
inline bool isEngine(const ServiceConfiguration &configuration, const std::string &service)
{
    const auto found = configuration.services.find(service);
    return found != configuration.services.end() && found->second.engine;
}

inline bool isGroup(const ServiceConfiguration &configuration, const std::string &service)
{
    const auto found = configuration.services.find(service);
    return found != configuration.services.end() && isGroup(found->second);
}

} // namespace wisteria
