#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "Process/Error.h"

namespace wisteria {

/// Parses JSON with comments and checks it against a JSON schema (draft 7).
/// @param name What messages call the text, usually its file name.
/// @return BadSettings whose message gives the name, the place, what was expected and the remedy.
Result<nlohmann::json> parseSettings(const std::string &text, const std::string &name,
                                     const nlohmann::json &schema);

/// Reads a settings file and parses it as parseSettings() does.
/// @return NotFound if the file can't be read; otherwise as parseSettings().
Result<nlohmann::json> loadSettings(const std::string &path, const nlohmann::json &schema);

} // namespace wisteria
