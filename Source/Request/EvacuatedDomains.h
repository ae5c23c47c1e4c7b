#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Process/Time.h"

namespace wisteria {

/// One failure domain that the operator has evacuated.
struct Evacuation
{
    /// When this gateway learned of it.
    TimePoint knownSince;
    /// Whether it was checked that the list names a backend server in the domain.
    bool checked = false;
};

/// Failure domains to which no request may be sent, by name. A value type without I/O.
using EvacuatedDomains = std::map<std::string, Evacuation>;

/// A domain that is no longer evacuated.
struct RestoredDomain
{
    std::string domain;
    /// How long the evacuation was known to this gateway.
    milliseconds evacuatedFor{0};
};

/// Records that a domain is evacuated.
/// @return False when this was known already.
bool evacuateDomain(EvacuatedDomains &domains, const std::string &domain, TimePoint now);

/// Ends the evacuation of a domain.
/// @return Nothing when it was not evacuated.
std::optional<RestoredDomain> restoreDomain(EvacuatedDomains &domains, const std::string &domain,
                                            TimePoint now);

/// Ends all evacuations except those of `evacuated`.
std::vector<RestoredDomain> restoreOtherDomains(EvacuatedDomains &domains,
                                                const std::set<std::string> &evacuated,
                                                TimePoint now);

/// Marks all evacuations as checked.
/// @param hasServer Whether a backend server is known in a domain.
/// @return The domains not checked before in which no backend server is known.
std::vector<std::string> takeUnknownDomains(
    EvacuatedDomains &domains, const std::function<bool(const std::string &)> &hasServer);

} // namespace wisteria
