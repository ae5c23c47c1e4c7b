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

/// Stops the library's decoder, which calls itself for each level, when values nest too deeply.
class DepthCheck : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::json::exception &) override
    {
        return false;
    }

private:
    bool enter() { return ++depth_ <= maxJsonDepth; }

    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
};

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

Result<nlohmann::json> decodeMessagePack(std::string_view bytes)
{
    DepthCheck check;
    if (!nlohmann::json::sax_parse(bytes, &check, nlohmann::json::input_format_t::msgpack)) {
        return failure(ErrorKind::BadInput,
                       "is not MessagePack, or nests values more than "
                           + std::to_string(maxJsonDepth) + " levels deep");
    }
    return nlohmann::json::from_msgpack(bytes, true, false);
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
