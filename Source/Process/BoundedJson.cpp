#include "Process/BoundedJson.h"

namespace wisteria {

namespace {

/// Whether arrays and objects nest deeper than `maxJsonDepth`. Counts brackets outside strings, so
/// that a deep document is refused before any value is built.
bool isTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
            continue;
        }
        if (c == '"')
            inString = true;
        else if (c == '[' || c == '{')
            ++depth;
        else if ((c == ']' || c == '}') && depth > 0)
            --depth;
        if (depth > maxJsonDepth)
            return true;
    }
    return false;
}

} // namespace

Result<nlohmann::json> parseJsonObject(std::string_view text)
{
    if (isTooDeep(text)) {
        return failure(ErrorKind::BadInput,
                       "nests values more than " + std::to_string(maxJsonDepth) + " levels deep");
    }
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return failure(ErrorKind::BadInput, "is not a JSON object");
    return document;
}

std::string shortText(const nlohmann::json &value)
{
    constexpr std::size_t maxCharacters = 80;
    std::string text = value.dump(-1, ' ', true);
    if (text.size() > maxCharacters)
        text = text.substr(0, maxCharacters) + "...";
    return text;
}

} // namespace wisteria
