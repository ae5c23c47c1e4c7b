#include "Process/EntrySettings.h"

#include "Process/Settings.h"
#include "Process/SettingsSchema.h"

namespace wisteria {

namespace {

nlohmann::json entrySchema()
{
    return {
        {"type", "object"},
        {"required", {"name", "failure_domain", "listen", "log"}},
        {"properties",
         {{"name", nameSchema()},
          {"failure_domain", nameSchema()},
          {"listen", addressSchema()},
          {"peer_listen", addressSchema()},
          {"metrics_listen", addressSchema()},
          {"traffic_threads", {{"type", "integer"}, {"minimum", 1}, {"maximum", 64}}},
          {"log", urlSchema()},
          {"vms", urlSchema()},
          {"log_level", logLevelSchema()},
          {"log_format", {{"enum", {"text", "json"}}}},
          {"drain_ms", {{"type", "integer"}, {"minimum", 0}, {"maximum", 600000}}}}},
        {"additionalProperties", false},
    };
}

} // namespace

Result<EntrySettings> loadEntrySettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(json, loadSettings(path, entrySchema()));
    EntrySettings settings;
    settings.name = json["name"];
    settings.failureDomain = json["failure_domain"];
    settings.listen = json["listen"];
    settings.peerListen = json.value("peer_listen", "127.0.0.1:0");
    settings.metricsListen = json.value("metrics_listen", "127.0.0.1:0");
    settings.trafficThreads = json.value("traffic_threads", settings.trafficThreads);
    settings.logUrl = json["log"]["url"];
    if (json.contains("vms"))
        settings.vmsUrl = json["vms"]["url"];
    settings.logLevel = json.value("log_level", settings.logLevel);
    settings.logJson = json.value("log_format", "text") == "json";
    settings.drainTime = milliseconds(json.value("drain_ms", settings.drainTime.count()));
    return settings;
}

} // namespace wisteria
