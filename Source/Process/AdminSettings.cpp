#include "Process/AdminSettings.h"

#include "Process/Settings.h"
#include "Version/ChangeValidation.h"

namespace wisteria {

namespace {

using Json = nlohmann::json;

Json textSchema()
{
    return {{"type", "string"}, {"minLength", 1}};
}

Json namesSchema()
{
    return {{"type", "array"}, {"items", textSchema()}};
}

Json operatorSchema()
{
    return {
        {"type", "object"},
        {"required", {"name", "token_sha256"}},
        {"properties",
         {{"name", textSchema()},
          {"token_sha256", {{"type", "string"}, {"pattern", "^[0-9a-f]{64}$"}}},
          {"read_only", {{"type", "boolean"}}},
          {"services", namesSchema()},
          {"organisations", namesSchema()}}},
        {"additionalProperties", false},
    };
}

Json settingsSchema()
{
    const Json log = {{"type", "object"},
                      {"required", {"url"}},
                      {"properties", {{"url", textSchema()}}},
                      {"additionalProperties", false}};
    const Json tls = {
        {"type", "object"},
        {"required", {"certificate_file", "key_file"}},
        {"properties", {{"certificate_file", textSchema()}, {"key_file", textSchema()}}},
        {"additionalProperties", false}};
    return {
        {"type", "object"},
        {"required", {"name", "listen", "log"}},
        {"properties",
         {{"name", textSchema()},
          {"listen", textSchema()},
          {"metrics_listen", textSchema()},
          {"log", log},
          {"peers", namesSchema()},
          {"log_level", textSchema()},
          {"log_format", {{"enum", {"text", "json"}}}},
          {"snapshot_every_s", {{"type", "integer"}, {"minimum", 1}, {"maximum", 604800}}},
          {"rules_version",
           {{"type", "integer"}, {"minimum", oldestRules}, {"maximum", newestRules}}},
          {"operators", {{"type", "array"}, {"items", operatorSchema()}}},
          {"tls", tls}}},
        {"additionalProperties", false},
    };
}

OperatorAccount accountFrom(const Json &entry)
{
    OperatorAccount account;
    account.name = entry["name"].get<std::string>();
    account.tokenSha256 = entry["token_sha256"].get<std::string>();
    account.readOnly = entry.value("read_only", false);
    account.services = entry.value("services", std::vector<std::string>());
    account.organisations = entry.value("organisations", std::vector<std::string>());
    return account;
}

} // namespace

Result<AdminSettings> loadAdminSettings(const std::string &path)
{
    BOOST_OUTCOME_TRY(document, loadSettings(path, settingsSchema()));
    AdminSettings settings;
    settings.name = document["name"].get<std::string>();
    settings.listen = document["listen"].get<std::string>();
    settings.metricsListen = document.value("metrics_listen", "");
    settings.logUrl = document["log"]["url"].get<std::string>();
    settings.peers = document.value("peers", std::vector<std::string>());
    settings.logLevel = document.value("log_level", settings.logLevel);
    settings.jsonLogs = document.value("log_format", "text") == "json";
    settings.snapshotPeriod = seconds(
        document.value("snapshot_every_s", std::uint32_t(settings.snapshotPeriod.count() / 1000)));
    settings.rulesVersion = document.value("rules_version", newestRules);
    for (const Json &entry : document.value("operators", Json::array()))
        settings.operators.push_back(accountFrom(entry));
    const Json tls = document.value("tls", Json::object());
    settings.certificateFile = tls.value("certificate_file", "");
    settings.keyFile = tls.value("key_file", "");
    return settings;
}

} // namespace wisteria
