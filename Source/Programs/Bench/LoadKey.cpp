#include "Programs/Bench/LoadKey.h"

#include <spdlog/fmt/fmt.h>

namespace wisteria {

namespace {

constexpr std::uint64_t randomAMask = 0xfff;
constexpr std::uint64_t version = 0x7000;
constexpr std::uint64_t randomBMask = 0x3fff;
constexpr std::uint64_t variant = 0x8000;
constexpr std::uint64_t nodeMask = 0xffffffffffff;
constexpr unsigned lowTimeBits = 16;

} // namespace

std::string makeIdempotencyKey(WallTime now, std::uint64_t random1, std::uint64_t random2)
{
    const auto time = static_cast<std::uint64_t>(now.time_since_epoch().count());
    return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", time >> lowTimeBits & 0xffffffff,
                       time & 0xffff, version | (random1 & randomAMask),
                       variant | (random1 >> lowTimeBits & randomBMask), random2 & nodeMask);
}

} // namespace wisteria
