#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>

#include "Soak/SoakFleet.h"

namespace wisteria::soak {

/// Another writer of the list of backend servers, whose entries can't be used: values that nest
/// deeply, are long or have another type, and bytes that are no JSON.
class SoakForeignEntries
{
public:
    SoakForeignEntries(Fleet &fleet, std::uint64_t seed);
    ~SoakForeignEntries();
    SoakForeignEntries(const SoakForeignEntries &) = delete;
    SoakForeignEntries &operator=(const SoakForeignEntries &) = delete;

    std::size_t written() const { return written_; }

private:
    void writeRepeatedly();
    std::string drawEntry();

    Fleet &fleet_;
    std::mt19937_64 random_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> written_ = 0;
    std::thread thread_;
};

} // namespace wisteria::soak
