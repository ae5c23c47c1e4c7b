#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// Settings of an agent whose backend server is a rank of a group.
struct AgentGroupSettings
{
    /// Name of the group; the same in all its agents.
    std::string name;
    std::uint32_t rank = 0;
    /// Peer addresses of the group's agents, by rank.
    std::vector<std::string> agents;
    /// Where the engine takes orders on its expert map.
    std::string engineUrl;
    /// Whether the engine refuses orders with an old fencing number.
    bool checksFencing = false;
};

/// Settings of wisteria-agent; docs/operators/settings.md describes each.
struct AgentSettings
{
    /// Name of its backend server in the configuration.
    std::string name;
    std::string failureDomain;
    std::string peerListen;
    std::string metricsListen;
    std::string backendUrl;
    std::string logUrl;
    /// Platform's list of VMs; empty when there is none.
    std::string vmsUrl;
    /// Absent for a backend server that is no rank of a group.
    std::optional<AgentGroupSettings> group;
    std::string logLevel = "info";
    bool logJson = false;
};

/// Reads the settings file.
/// @return As loadSettings().
Result<AgentSettings> loadAgentSettings(const std::string &path);

} // namespace wisteria
