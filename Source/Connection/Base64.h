#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wisteria {

/// Decodes base64 with padding (RFC 4648, section 4).
/// @return Nothing when the text contains a character outside the alphabet or its length is not a
/// multiple of four.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace wisteria
