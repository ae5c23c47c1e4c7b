#include "Programs/Gateway/PriorityLimitGauges.h"

#include <algorithm>

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

namespace {

bool hasRoutes(const ServiceConfiguration &configuration, const std::string &service)
{
    return std::any_of(configuration.routes.begin(), configuration.routes.end(),
                       [&service](const RouteRule &route) {
                           return std::any_of(route.shares.begin(), route.shares.end(),
                                              [&service](const ServiceShare &share) {
                                                  return share.service == service;
                                              });
                       });
}

/// Returns the largest number of slots of a service's backend servers; 0 without the service.
std::uint32_t slotsOf(const ServiceConfiguration &configuration, const BackendRegistry &registry,
                      const std::string &service)
{
    if (!hasRoutes(configuration, service))
        return 0;
    const auto found = configuration.services.find(service);
    if (found != configuration.services.end() && found->second.engine)
        return found->second.engine->slots;
    std::uint32_t slots = 0;
    for (const auto &[id, state] : registry.backends) {
        if (state.entry.service == service)
            slots = std::max(slots, static_cast<std::uint32_t>(state.entry.slots));
    }
    return slots;
}

} // namespace

void PriorityLimitGauges::update(Metrics &metrics, const RouteTable &routes,
                                 const BackendRegistry &registry)
{
    for (auto &[service, values] : values_) {
        const std::uint32_t slots = slotsOf(routes.configuration(), registry, service);
        for (auto &[priority, value] : values)
            value = slots;
    }
    for (const auto &[service, limits] : routes.priorityLimits()) {
        for (std::size_t step = 0; step < limits.maxRequests.size(); ++step)
            values_[service][limits.priorities[step]] = limits.maxRequests[step];
    }
    for (const auto &[service, values] : values_) {
        for (const auto &[priority, value] : values)
            setPriorityLimit(metrics, service, priority, value);
    }
}

} // namespace wisteria
