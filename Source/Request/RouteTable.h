#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Version/ServiceConfiguration.h"

namespace wisteria {

/// The routes of one configuration, by host, the longest prefix first.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const ServiceConfiguration> configuration);

    /// The route with the longest prefix of that host that begins the path, or null.
    const RouteRule *find(std::string_view host, std::string_view path) const;

    const ServiceConfiguration &configuration() const { return *configuration_; }

private:
    std::shared_ptr<const ServiceConfiguration> configuration_;
    std::unordered_map<std::string, std::vector<const RouteRule *>> byHost_;
};

/// Why a request can't be let in.
enum class AccessFault { None, NoRoute, UnknownKey };

/// What a request may use.
struct Access
{
    AccessFault fault = AccessFault::None;
    const RouteRule *route = nullptr;
    /// Organisation of the key; null on public routes and where no keys are configured.
    const Organisation *organisation = nullptr;

    /// Priority of the request; 0 is the most urgent.
    std::uint32_t priority() const
    {
        if (organisation != nullptr && organisation->priority)
            return *organisation->priority;
        return route->priority;
    }
};

/// Finds the route, and checks the key where the route needs one.
Access accessOf(const RouteTable &table, std::string_view host, std::string_view path,
                const std::string *apiKey);

/// The service that a request of the route goes to.
/// @param randomUnit A number from 0 to below 1.
const std::string *serviceOf(const RouteRule &route, double randomUnit);

} // namespace wisteria
