#pragma once

#include <string>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// Settings of wisteria-entry; docs/operators/settings.md describes each.
struct EntrySettings
{
    std::string name;
    std::string failureDomain;
    std::string listen;
    std::string peerListen;
    std::string metricsListen;
    unsigned trafficThreads = 4;
    std::string logUrl;
    /// URL of the platform's list of VMs; empty if there is none.
    std::string vmsUrl;
    std::string logLevel = "info";
    bool logJson = false;
    /// How long new callers are accepted after SIGTERM, while GET /health already answers 503.
    milliseconds drainTime{2000};
};

/// Reads the settings file.
/// @return As loadSettings().
Result<EntrySettings> loadEntrySettings(const std::string &path);

} // namespace wisteria
