#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "Version/ServiceConfiguration.h"

namespace wisteria {

/// Tells organisations apart in what lasts longer than one version of the configuration.
///
/// An operator may give an organisation another name. What is known of its requests holds on, so
/// its id is the name that it had first. Only gateways that have seen both names know that; they
/// tell the others.
struct OrganisationIds
{
    /// Ids of the organisations that have another one than their name.
    std::map<std::string, std::string> byName;
};

/// Bound on the memory and on what is told to other gateways.
constexpr std::size_t maxOrganisationIds = 256;

/// Returns the id of the organisation with this name.
const std::string &organisationId(const OrganisationIds &ids, const std::string &name);

/// Records that a version of the configuration follows another one. An organisation with a name
/// that the earlier one lacks, and with an API key that is in both, keeps the id of the one that
/// had the key; the least id if there are several.
/// @return Whether an organisation has got an id other than its name.
bool noteConfigurations(OrganisationIds &ids, const ServiceConfiguration &earlier,
                        const ServiceConfiguration &later);

/// Records what another gateway told. What is known already stays.
/// @return Whether it was unknown.
bool noteOrganisationId(OrganisationIds &ids, const std::string &name, const std::string &id);

} // namespace wisteria
