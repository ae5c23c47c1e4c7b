#include "Request/KeyHashing.h"

#include <xxhash.h>

namespace wisteria {

namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;

bool isHyphenPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

bool hasUuidShape(std::string_view key)
{
    if (key.size() != uuidLength)
        return false;
    for (std::size_t i = 0; i < uuidLength; ++i) {
        const bool fits = isHyphenPosition(i) ? key[i] == '-' : hexValue(key[i]) >= 0;
        if (!fits)
            return false;
    }
    return true;
}

} // namespace

std::uint64_t pairHash(std::string_view first, std::string_view second)
{
    const std::uint64_t seed = XXH64(first.data(), first.size(), 0);
    return XXH64(second.data(), second.size(), seed);
}

std::optional<WallTime> keyTime(std::string_view key)
{
    if (!hasUuidShape(key) || key[versionPosition] != '7'
        || (hexValue(key[variantPosition]) >> 2) != 2)
        return std::nullopt;
    // The first 48 bits: eight digits, a hyphen, four digits.
    std::int64_t value = 0;
    for (std::size_t i = 0; i < 13; ++i) {
        if (!isHyphenPosition(i))
            value = value * 16 + hexValue(key[i]);
    }
    return WallTime(milliseconds(value));
}

std::string canonicalKey(std::string_view key)
{
    std::string lower(key);
    for (char &digit : lower) {
        if (digit >= 'A' && digit <= 'F')
            digit = static_cast<char>(digit - 'A' + 'a');
    }
    return lower;
}

std::optional<std::string> rendezvousChoice(std::string_view key,
                                            const std::vector<std::string> &members)
{
    const std::string *best = nullptr;
    std::uint64_t bestHash = 0;
    for (const std::string &member : members) {
        const std::uint64_t hash = pairHash(member, key);
        // Ties are broken by name, so that the order of members does not matter.
        if (!best || hash > bestHash || (hash == bestHash && member < *best)) {
            best = &member;
            bestHash = hash;
        }
    }
    if (!best)
        return std::nullopt;
    return *best;
}

} // namespace wisteria
