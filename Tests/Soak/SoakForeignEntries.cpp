#include "Soak/SoakForeignEntries.h"

#include <array>
#include <utility>

#include <poll.h>

namespace wisteria::soak {

namespace {

/// Entries under this many ids at a time; an older one is removed.
constexpr std::size_t entryCount = 12;
/// Makes the draws independent of those of SoakFaults for the same seed.
constexpr std::uint64_t entrySeedOffset = 0xE27;

} // namespace

SoakForeignEntries::SoakForeignEntries(Fleet &fleet, std::uint64_t seed)
    : fleet_(fleet), random_(seed ^ entrySeedOffset), thread_([this] { writeRepeatedly(); })
{ }

SoakForeignEntries::~SoakForeignEntries()
{
    stopping_ = true;
    thread_.join();
}

std::string SoakForeignEntries::drawEntry()
{
    const auto draw = [this](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    };
    const std::size_t size = std::size_t{1} << (1 + draw(16));
    const std::array<std::string, 5> values = {
        std::string(size, '[') + std::string(size, ']'), "\"" + std::string(size, 'x') + "\"",
        "[" + std::string(size, '1') + "]", "-1", "{\"a\":{\"b\":null}}"};
    const std::array<std::string, 8> fields = {"service", "address",  "zone", "slot_count",
                                               "state",   "sequence", "born", "cold_remaining_ms"};
    // Nothing listens at the address.
    const std::array<std::string, 8> usual = {
        "\"all\"", "\"127.0.0.1:1\"", "\"a\"", "16", "\"draining\"", "1", "1", "0"};
    if (draw(8) == 0)
        return std::string(size, static_cast<char>(draw(256)));
    const std::size_t wrong = draw(fields.size());
    std::string entry = "{";
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const std::string &value = i == wrong ? values.at(draw(values.size())) : usual.at(i);
        entry += (i == 0 ? "\"" : ",\"") + fields.at(i) + "\":" + value;
    }
    return entry + "}";
}

void SoakForeignEntries::writeRepeatedly()
{
    constexpr int minPause = 20;
    constexpr int maxPause = 300;
    for (std::size_t i = 0; !stopping_; ++i) {
        const std::string key = "foreign-" + std::to_string(i % entryCount);
        fleet_.store().append("keyed.servers", key, i % 2 == 0 ? drawEntry() : "");
        ++written_;
        ::poll(nullptr, 0, std::uniform_int_distribution<int>(minPause, maxPause)(random_));
    }
    for (std::size_t i = 0; i < entryCount; ++i)
        fleet_.store().append("keyed.servers", "foreign-" + std::to_string(i), "");
}

} // namespace wisteria::soak
