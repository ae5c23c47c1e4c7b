#include "Process/AgentSettings.h"

#include <utility>

#include "Process/Settings.h"
#include "Process/SettingsSchema.h"

namespace wisteria {

namespace {

nlohmann::json agentSchema()
{
    return {
        {"type", "object"},
        {"required", {"name", "failure_domain", "peer_listen", "backend", "log"}},
        {"properties",
         {{"name", nameSchema()},
          {"failure_domain", nameSchema()},
          {"peer_listen", addressSchema()},
          {"metrics_listen", addressSchema()},
          {"backend", urlSchema()},
          {"log", urlSchema()},
          {"vms", urlSchema()},
          {"log_level", logLevelSchema()},
          {"log_format", {{"enum", {"text", "json"}}}}}},
        {"additionalProperties", false},
    };
}

} // namespace

Result<AgentSettings> loadAgentSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(json, loadSettings(path, agentSchema()));
    AgentSettings settings;
    settings.name = json["name"];
    settings.failureDomain = json["failure_domain"];
    settings.peerListen = json["peer_listen"];
    settings.metricsListen = json.value("metrics_listen", "127.0.0.1:0");
    settings.backendUrl = json["backend"]["url"];
    settings.logUrl = json["log"]["url"];
    if (json.contains("vms"))
        settings.vmsUrl = json["vms"]["url"];
    settings.logLevel = json.value("log_level", settings.logLevel);
    settings.logJson = json.value("log_format", "text") == "json";
    return settings;
}

} // namespace wisteria
