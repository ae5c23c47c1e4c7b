#include "Process/AgentSettings.h"

#include <utility>

#include "Process/Settings.h"
#include "Process/SettingsSchema.h"

namespace wisteria {

namespace {

nlohmann::json groupSchema()
{
    return {
        {"type", "object"},
        {"required", {"name", "rank", "agents", "engine"}},
        {"properties",
         {{"name", nameSchema()},
          {"rank", {{"type", "integer"}, {"minimum", 0}}},
          {"agents", {{"type", "array"}, {"minItems", 1}, {"items", addressSchema()}}},
          {"engine", urlSchema()},
          {"checks_fencing", {{"type", "boolean"}}}}},
        {"additionalProperties", false},
    };
}

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
          {"group", groupSchema()},
          {"log_level", logLevelSchema()},
          {"log_format", {{"enum", {"text", "json"}}}}}},
        {"additionalProperties", false},
    };
}

Result<AgentGroupSettings> readGroup(const nlohmann::json &json, const std::string &path)
{
    AgentGroupSettings group;
    group.name = json["name"];
    group.rank = json["rank"];
    group.agents = json["agents"].get<std::vector<std::string>>();
    group.engineUrl = json["engine"]["url"];
    group.checksFencing = json.value("checks_fencing", false);
    if (group.rank >= group.agents.size()) {
        return failure(ErrorKind::BadSettings,
                       path + ": at /group/rank: rank " + std::to_string(group.rank) + " has no "
                           + "address among the " + std::to_string(group.agents.size())
                           + " of /group/agents; list one for each rank, from rank 0 on");
    }
    return group;
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
    if (json.contains("group")) {
        BOOST_OUTCOME_TRY(group, readGroup(json["group"], path));
        settings.group = std::move(group);
    }
    settings.logLevel = json.value("log_level", settings.logLevel);
    settings.logJson = json.value("log_format", "text") == "json";
    return settings;
}

} // namespace wisteria
