#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Request/PriorityLimits.h"
#include "Version/ServiceConfiguration.h"

namespace wisteria {

/// Routes of one configuration, by host and sorted by descending prefix length.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const ServiceConfiguration> configuration);

    /// Returns the host's route with the longest prefix of the path, or null.
    const RouteRule *find(std::string_view host, std::string_view path) const;

    const ServiceConfiguration &configuration() const { return *configuration_; }

    /// Limits of the services whose routes have more than one priority, by service.
    const std::map<std::string, PriorityLimits> &priorityLimits() const { return priorityLimits_; }
    /// Returns the limits of a service; null if its routes have one priority.
    const PriorityLimits *priorityLimitsOf(const std::string &service) const;

private:
    std::shared_ptr<const ServiceConfiguration> configuration_;
    std::unordered_map<std::string, std::vector<const RouteRule *>> byHost_;
    std::map<std::string, PriorityLimits> priorityLimits_;
};

/// Why a request is denied.
enum class AccessFault { None, NoRoute, NoValidKey };

/// Route and organisation of a request, or why it is denied.
struct Access
{
    AccessFault fault = AccessFault::None;
    const RouteRule *route = nullptr;
    /// Organisation of the API key; null when the request has no known key.
    const Organisation *organisation = nullptr;

    /// Returns the priority of the request; 0 is the most urgent. Requires a route.
    std::uint32_t priority() const
    {
        if (organisation != nullptr && organisation->priority)
            return *organisation->priority;
        return route->priority;
    }
};

/// Finds the route and checks the API key if the route requires one.
Access accessOf(const RouteTable &table, std::string_view host, std::string_view path,
                const std::string *apiKey);

/// Picks the service of a request by the route's weights; null when the route has no service.
/// @param randomUnit Uniform random number in [0, 1).
const std::string *serviceOf(const RouteRule &route, double randomUnit);

} // namespace wisteria
