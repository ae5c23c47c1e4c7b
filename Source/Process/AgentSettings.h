#pragma once

#include <string>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

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
    /// URL of the platform's list of VMs; empty if there is none.
    std::string vmsUrl;
    std::string logLevel = "info";
    bool logJson = false;
};

/// Reads the settings file.
/// @return As loadSettings().
Result<AgentSettings> loadAgentSettings(const std::string &path);

} // namespace wisteria
