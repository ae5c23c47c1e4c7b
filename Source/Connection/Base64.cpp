#include "Connection/Base64.h"

#include <array>
#include <cstdint>

namespace wisteria {

namespace {

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t groupSize = 4;
constexpr int bitsPerCharacter = 6;
constexpr std::int8_t invalid = -1;

constexpr std::array<std::int8_t, 256> makeDecodeTable()
{
    std::array<std::int8_t, 256> table{};
    table.fill(invalid);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
        table[static_cast<unsigned char>(alphabet[i])] = static_cast<std::int8_t>(i);
    return table;
}

constexpr auto decodeTable = makeDecodeTable();

std::size_t paddingOf(std::string_view text)
{
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    return padding;
}

} // namespace

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % groupSize != 0)
        return std::nullopt;
    const std::string_view digits = text.substr(0, text.size() - paddingOf(text));
    std::string bytes;
    bytes.reserve(text.size() / groupSize * 3);
    std::uint32_t bits = 0;
    int heldBits = 0;
    for (const char digit : digits) {
        const std::int8_t value = decodeTable[static_cast<unsigned char>(digit)];
        if (value == invalid)
            return std::nullopt;
        bits = (bits << bitsPerCharacter) | static_cast<std::uint32_t>(value);
        heldBits += bitsPerCharacter;
        if (heldBits >= 8) {
            heldBits -= 8;
            bytes.push_back(static_cast<char>(bits >> heldBits));
        }
    }
    return bytes;
}

} // namespace wisteria
