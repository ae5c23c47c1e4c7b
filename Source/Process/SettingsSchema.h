#pragma once

#include <nlohmann/json.hpp>

namespace wisteria {

/// Schema of an "IP number and port".
inline nlohmann::json addressSchema()
{
    return {{"type", "string"}, {"pattern", "^[0-9.]+:[0-9]+$"}};
}

/// Schema of a platform service: an object with its base URL.
inline nlohmann::json urlSchema()
{
    return {{"type", "object"},
            {"required", {"url"}},
            {"properties", {{"url", {{"type", "string"}, {"pattern", "^http://[^/]+$"}}}}},
            {"additionalProperties", false}};
}

/// Schema of a name.
inline nlohmann::json nameSchema()
{
    return {{"type", "string"}, {"minLength", 1}};
}

/// Schema of a log level.
inline nlohmann::json logLevelSchema()
{
    return {{"enum", {"trace", "debug", "info", "warning", "error", "off"}}};
}

} // namespace wisteria
