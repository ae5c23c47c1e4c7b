#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Process/AdminOperators.h"
#include "Process/Time.h"

namespace wisteria {

/// Settings file of wisteria-admin; docs/operators/configuration.md describes it.
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
    /// Interval between snapshots; must be at most a quarter of the log's retention.
    milliseconds snapshotPeriod{3600 * 1000};
    /// Minimum rules version of submitted changes. The operator must keep the old one until every
    /// process has been upgraded.
    std::uint32_t rulesVersion = 0;
    std::vector<OperatorAccount> operators;
    /// Certificate and key files in PEM; empty for cleartext.
    std::string certificateFile;
    std::string keyFile;
};

/// Reads and checks a settings file.
/// @return BadSettings or NotFound with the location in the file and the remedy.
Result<AdminSettings> loadAdminSettings(const std::string &path);

} // namespace wisteria
