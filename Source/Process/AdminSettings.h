#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Process/AdminOperators.h"
#include "Process/Time.h"

namespace wisteria {

/// What wisteria-admin reads from its settings file; docs/operators/configuration.md lists it.
struct AdminSettings
{
    std::string name;
    std::string listen;
    std::string metricsListen;
    std::string logUrl;
    /// Entries and other processes that serve their configuration and state to peers.
    std::vector<std::string> peers;
    std::string logLevel = "info";
    bool jsonLogs = false;
    /// A quarter of the log's retention or less.
    milliseconds snapshotPeriod{3600 * 1000};
    /// Rules that changes are written under; kept old until every process has been upgraded.
    std::uint32_t rulesVersion = 0;
    std::vector<OperatorAccount> operators;
    /// Certificate and key files in PEM; empty for cleartext.
    std::string certificateFile;
    std::string keyFile;
};

/// Reads and checks a settings file.
/// @return BadSettings or NotFound with the place and the remedy.
Result<AdminSettings> loadAdminSettings(const std::string &path);

} // namespace wisteria
