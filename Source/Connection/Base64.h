#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wisteria {

/// Decodes base64 with padding (RFC 4648, section 4).
/// @return Nothing when the text holds a character outside the alphabet or is cut short.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace wisteria
