#include "Request/OrganisationIds.h"

#include <algorithm>
#include <set>

namespace wisteria {

namespace {

std::set<std::string> namesIn(const ServiceConfiguration &configuration)
{
    std::set<std::string> names;
    for (const auto &[key, organisation] : configuration.organisationOfKey)
        names.insert(organisation.name);
    return names;
}

} // namespace

const std::string &organisationId(const OrganisationIds &ids, const std::string &name)
{
    const auto found = ids.byName.find(name);
    return found == ids.byName.end() ? name : found->second;
}

bool noteConfigurations(OrganisationIds &ids, const ServiceConfiguration &earlier,
                        const ServiceConfiguration &later)
{
    const std::set<std::string> earlierNames = namesIn(earlier);
    std::map<std::string, std::string> idOfNew;
    for (const auto &[key, organisation] : later.organisationOfKey) {
        const auto holder = earlier.organisationOfKey.find(key);
        if (earlierNames.contains(organisation.name) || holder == earlier.organisationOfKey.end())
            continue;
        const std::string &id = organisationId(ids, holder->second.name);
        const auto [known, added] = idOfNew.emplace(organisation.name, id);
        if (!added)
            known->second = std::min(known->second, id);
    }
    bool anyNew = false;
    for (const auto &[name, id] : idOfNew)
        anyNew = noteOrganisationId(ids, name, id) || anyNew;
    return anyNew;
}

bool noteOrganisationId(OrganisationIds &ids, const std::string &name, const std::string &id)
{
    if (name == id || ids.byName.size() >= maxOrganisationIds)
        return false;
    return ids.byName.emplace(name, id).second;
}

} // namespace wisteria
