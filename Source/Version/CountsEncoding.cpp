#include "Version/CountsEncoding.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "Version/RankReport.h"

namespace wisteria {

namespace {

using Json = nlohmann::json;

/// Bits per count. Levels of the square root give the counts of common experts, which make up most
/// ranks' load, a smaller relative error than linear levels would. Integers would keep the links of
/// a large group's relays busy for longer than a pass takes.
constexpr unsigned bitsPerCount = 5;
constexpr std::uint64_t countLevels = (1U << bitsPerCount) - 1;

/// Packs numbers of `bitsPerCount` bits, low bits first.
class CountPacker
{
public:
    void add(std::uint64_t level)
    {
        pending_ |= level << filled_;
        for (filled_ += bitsPerCount; filled_ >= 8; filled_ -= 8) {
            bytes_.push_back(static_cast<std::uint8_t>(pending_ & 0xFF));
            pending_ >>= 8;
        }
    }

    std::vector<std::uint8_t> finish()
    {
        if (filled_ > 0)
            bytes_.push_back(static_cast<std::uint8_t>(pending_ & 0xFF));
        return std::move(bytes_);
    }

private:
    std::vector<std::uint8_t> bytes_;
    std::uint64_t pending_ = 0;
    unsigned filled_ = 0;
};

} // namespace

std::size_t encodedCountsBytes(std::size_t counts)
{
    constexpr std::size_t bitsPerByte = 8;
    return (counts * bitsPerCount + bitsPerByte - 1) / bitsPerByte;
}

Json encodeCounts(const std::vector<std::uint64_t> &counts)
{
    const auto maxCount = std::max_element(counts.begin(), counts.end());
    const std::uint64_t largest =
        maxCount == counts.end() ? 0 : std::max<std::uint64_t>(*maxCount, 1);
    CountPacker packer;
    for (const std::uint64_t count : counts) {
        const double ratio = static_cast<double>(count) / static_cast<double>(largest);
        packer.add(static_cast<std::uint64_t>(std::lround(std::sqrt(ratio) * countLevels)));
    }
    return Json::array({largest, counts.size(), Json::binary(packer.finish())});
}

std::vector<std::uint64_t> decodeCounts(const Json &json)
{
    const auto largestCount = json.at(0).get<std::uint64_t>();
    if (largestCount > maxExpertCount)
        throw std::out_of_range("a count is too large");
    const double largest = static_cast<double>(largestCount);
    const auto size = json.at(1).get<std::size_t>();
    const Json::binary_t &bytes = json.at(2).get_binary();
    if (bytes.size() != encodedCountsBytes(size))
        throw std::out_of_range("the counts are truncated");
    std::vector<std::uint64_t> counts;
    counts.reserve(size);
    std::uint64_t pending = 0;
    unsigned filled = 0;
    for (auto byte = bytes.begin(); counts.size() < size; filled -= bitsPerCount) {
        for (; filled < bitsPerCount; filled += 8)
            pending |= static_cast<std::uint64_t>(*byte++) << filled;
        const double root = static_cast<double>(pending & countLevels) / countLevels;
        counts.push_back(static_cast<std::uint64_t>(std::llround(root * root * largest)));
        pending >>= bitsPerCount;
    }
    return counts;
}

} // namespace wisteria
