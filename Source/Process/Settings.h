#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "Process/Error.h"

namespace wisteria {

/// Parses JSON with comments and checks it against a JSON schema (draft 7).
/// @param name Name of the text in error messages, usually its file name.
/// @return The document, or BadSettings with the name, the position, what was expected and how to
/// correct it.
Result<nlohmann::json> parseSettings(const std::string &text, const std::string &name,
                                     const nlohmann::json &schema);

/// Reads a settings file and parses it with parseSettings().
/// @return NotFound if the file can't be read, otherwise the result of parseSettings().
Result<nlohmann::json> loadSettings(const std::string &path, const nlohmann::json &schema);

} // namespace wisteria
