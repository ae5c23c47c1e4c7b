#pragma once

#include <nlohmann/json.hpp>

namespace wisteria {

/// Schema of an IPv4 address with a port, such as "10.1.0.40:8227".
inline nlohmann::json addressSchema()
{
    return {{"type", "string"}, {"pattern", "^[0-9.]+:[0-9]+$"}};
}

/// Schema of a platform service: an object whose "url" is an HTTP base URL without a path.
inline nlohmann::json urlSchema()
{
    return {{"type", "object"},
            {"required", {"url"}},
            {"properties", {{"url", {{"type", "string"}, {"pattern", "^http://[^/]+$"}}}}},
            {"additionalProperties", false}};
}

/// Schema of a name: a string that is not empty.
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
