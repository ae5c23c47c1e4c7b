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
#include "Request/AdmissionQueue.h"
#include "Request/AdmissionTimeouts.h"
#include "Request/BackendRegistry.h"
#include "Request/RetryAfterPolicy.h"
#include "Request/RetryTokenBucket.h"
#include "Request/RouteTable.h"

namespace wisteria {

/// What all requests of one gateway share.
struct GatewayContext
{
    EventLoop &loop;
    EventLog &log;
    Metrics &metrics;
    HttpClientPool &pool;
    BackendRegistry &registry;
    RetryQuota retryQuota;
    std::map<std::string, RetryTokenBucket> retryBuckets;
    std::string failureDomain;
    RetryAfterPolicy retryAfterPolicy{};
    AdmissionTimeouts admissionTimeouts{};
    /// By service.
    std::map<std::string, AdmissionQueue> admissionQueues{};
    /// When each service last answered anything.
    std::map<std::string, TimePoint> progressAt{};
    /// Null until the first configuration is known.
    std::shared_ptr<const RouteTable> routes;
    /// When the store last answered about the configuration; nothing before the first time.
    std::optional<TimePoint> routesConfirmedAt{};
    /// The list of backend servers has been read.
    bool listKnown = false;
    /// Asks for the list of backend servers, as an answer told that it has changed.
    std::function<void()> listChanged;
    std::mt19937_64 random{std::random_device{}()};

    /// Whether it is known what may be asked for, and who serves it.
    bool canAdmit() const { return routes && listKnown; }

    /// A number from 0 to below 1.
    double randomUnit() { return std::uniform_real_distribution<double>(0, 1)(random); }
};

} // namespace wisteria
