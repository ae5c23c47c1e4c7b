#include "Request/RouteTable.h"

#include <algorithm>

namespace wisteria {

RouteTable::RouteTable(std::shared_ptr<const ServiceConfiguration> configuration)
    : configuration_(std::move(configuration)),
      priorityLimits_(wisteria::priorityLimitsOf(*configuration_))
{
    for (const RouteRule &route : configuration_->routes)
        byHost_[route.host].push_back(&route);
    for (auto &[host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const RouteRule *a, const RouteRule *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
}

const RouteRule *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = byHost_.find(std::string(host));
    if (found == byHost_.end())
        return nullptr;
    for (const RouteRule *route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const PriorityLimits *RouteTable::priorityLimitsOf(const std::string &service) const
{
    const auto found = priorityLimits_.find(service);
    return found == priorityLimits_.end() ? nullptr : &found->second;
}

Access accessOf(const RouteTable &table, std::string_view host, std::string_view path,
                const std::string *apiKey)
{
    Access access;
    access.route = table.find(host, path);
    if (access.route == nullptr) {
        access.fault = AccessFault::NoRoute;
        return access;
    }
    const ServiceConfiguration &configuration = table.configuration();
    if (apiKey != nullptr) {
        const auto found = configuration.organisationOfKey.find(*apiKey);
        if (found != configuration.organisationOfKey.end())
            access.organisation = &found->second;
    }
    const bool needsKey = configuration.needsKeys && !access.route->isPublic;
    if (needsKey && access.organisation == nullptr)
        access.fault = AccessFault::NoValidKey;
    return access;
}

const std::string *serviceOf(const RouteRule &route, double randomUnit)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.shares)
        total += share.weight;
    double left = randomUnit * static_cast<double>(total);
    for (const ServiceShare &share : route.shares) {
        left -= share.weight;
        if (left < 0)
            return &share.service;
    }
    return route.shares.empty() ? nullptr : &route.shares.back().service;
}

} // namespace wisteria
