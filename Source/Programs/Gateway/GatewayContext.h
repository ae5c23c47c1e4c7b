#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "Connection/HttpClientPool.h"
#include "Process/EventLog.h"
#include "Process/EventLoop.h"
#include "Process/Metrics.h"
#include "Programs/Gateway/CrashDetector.h"
#include "Programs/Gateway/PoisonGuard.h"
#include "Request/AdmissionQueue.h"
#include "Request/AdmissionTimeouts.h"
#include "Request/BackendRegistry.h"
#include "Request/OrganisationShares.h"
#include "Request/PlannedStop.h"
#include "Request/PriorityLimits.h"
#include "Request/RecentRuns.h"
#include "Request/RetryAfterPolicy.h"
#include "Request/RetryTokenBucket.h"
#include "Request/RouteTable.h"

namespace wisteria {

/// State that all requests of one gateway share.
struct GatewayContext
{
    EventLoop &loop;
    EventLog &log;
    Metrics &metrics;
    HttpClientPool &pool;
    BackendRegistry &registry;
    CrashDetector &crashes;
    PoisonGuard &poison;
    RetryQuota retryQuota;
    std::map<std::string, RetryTokenBucket> retryBuckets;
    std::string failureDomain;
    RetryAfterPolicy retryAfterPolicy{};
    AdmissionTimeouts admissionTimeouts{};
    /// Requests that wait for a slot, by service.
    std::map<std::string, AdmissionQueue> admissionQueues{};
    /// Requests of services whose routes have more than one priority, by service.
    std::map<std::string, PriorityCounts> priorityCounts{};
    /// Whether waiting requests of one priority are served in the order of `organisationShares`.
    bool fairQueueing = false;
    OrganisationShares organisationShares{};
    /// When each service last sent an answer or an event of a stream.
    std::map<std::string, TimePoint> lastProgressAt{};
    /// How long the last runs of each service took.
    std::map<std::string, RecentRuns> recentRuns{};
    /// Set from SIGTERM on.
    std::optional<PlannedStop> plannedStop{};
    /// Null until the first configuration is known.
    std::shared_ptr<const RouteTable> routes;
    /// When the store last answered a read of the configuration; empty before its first answer.
    std::optional<TimePoint> configurationReadAt{};
    /// Whether the list of backend servers has been read.
    bool backendsKnown = false;
    /// Reads the list of backend servers again, after an answer showed that it has changed.
    std::function<void()> rereadBackends;
    /// Tries to dispatch the waiting requests at the end of the event loop's round.
    std::function<void()> dispatchSoon{};
    /// Tries to dispatch the queued requests before it returns.
    std::function<void()> dispatchNow{};
    /// Checks whether a backend server still works; see LivenessChecks.
    std::function<void(const std::string &backend, bool isEngine)> checkLiveness{};
    std::mt19937_64 random{std::random_device{}()};

    /// Whether routes and backend servers are known, so that requests can be routed.
    bool canAdmit() const { return routes && backendsKnown; }

    /// A uniform random number in [0, 1).
    double randomUnit() { return std::uniform_real_distribution<double>(0, 1)(random); }
};

} // namespace wisteria
