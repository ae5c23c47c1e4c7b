#include "Request/EvacuatedDomains.h"

#include <utility>

namespace wisteria {

bool evacuateDomain(EvacuatedDomains &domains, const std::string &domain, TimePoint now)
{
    return domains.try_emplace(domain, Evacuation{.knownSince = now}).second;
}

std::optional<RestoredDomain> restoreDomain(EvacuatedDomains &domains, const std::string &domain,
                                            TimePoint now)
{
    const auto found = domains.find(domain);
    if (found == domains.end())
        return std::nullopt;
    const milliseconds evacuatedFor = remaining(found->second.knownSince, now);
    domains.erase(found);
    return RestoredDomain{.domain = domain, .evacuatedFor = evacuatedFor};
}

std::vector<RestoredDomain> restoreOtherDomains(EvacuatedDomains &domains,
                                                const std::set<std::string> &evacuated,
                                                TimePoint now)
{
    std::vector<RestoredDomain> restored;
    std::erase_if(domains, [&](const auto &item) {
        if (evacuated.contains(item.first))
            return false;
        restored.push_back({item.first, remaining(item.second.knownSince, now)});
        return true;
    });
    return restored;
}

std::vector<std::string> takeUnknownDomains(
    EvacuatedDomains &domains, const std::function<bool(const std::string &)> &hasServer)
{
    std::vector<std::string> unknown;
    for (auto &[domain, evacuation] : domains) {
        if (!std::exchange(evacuation.checked, true) && !hasServer(domain))
            unknown.push_back(domain);
    }
    return unknown;
}

} // namespace wisteria
