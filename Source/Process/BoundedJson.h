#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Process/Error.h"

namespace wisteria {

/// Maximum nesting depth of a JSON document from another party. The JSON library copies, compares,
/// validates and writes a value with one recursive call for each level, so without a bound the
/// author of a document decides how much stack a thread of this process needs.
constexpr std::size_t maxJsonDepth = 64;

/// Parses a JSON object that another party wrote.
/// @return BadInput when the text is not a JSON object or nests deeper than `maxJsonDepth`. The
/// message is a predicate, such as "is not a JSON object", to follow the document's name.
Result<nlohmann::json> parseJsonObject(std::string_view text);

/// Decodes a MessagePack value that another party wrote.
/// @return BadInput when the bytes are no such value or nest deeper than `maxJsonDepth`. The
/// message is a predicate, as for parseJsonObject().
Result<nlohmann::json> decodeMessagePack(std::string_view bytes);

/// Returns a value of another party as ASCII text for a message, cut off after some 80 characters.
std::string shortText(const nlohmann::json &value);

} // namespace wisteria
