#include "Request/HeldMemory.h"

#include <algorithm>
#include <numeric>

namespace wisteria {

namespace {

/// Sessions that hold less than this part of the largest one's bytes do not count for the average.
constexpr std::size_t smallPart = 16;

/// Part of the average, in hundredths, that a session has to hold to be cut. Requests that arrive
/// at once hold nearly the same, and one that was there first may be the only one above the
/// average.
constexpr std::size_t nearAverage = 70;

/// Returns the newest of those that hold about the average of the large ones, or more.
std::vector<HeldBytes>::iterator nextToCut(std::vector<HeldBytes> &held)
{
    const auto largest =
        std::max_element(held.begin(), held.end(),
                         [](const HeldBytes &a, const HeldBytes &b) { return a.bytes < b.bytes; });
    std::size_t sum = 0;
    std::size_t count = 0;
    for (const HeldBytes &session : held) {
        const bool large = session.bytes >= largest->bytes / smallPart;
        sum += large ? session.bytes : 0;
        count += large ? 1 : 0;
    }
    auto next = largest;
    for (auto session = held.begin(); session != held.end(); ++session) {
        if (session->bytes * 100 >= sum / count * nearAverage && session->since > next->since)
            next = session;
    }
    return next;
}

} // namespace

std::size_t heldBytesLimit(std::uint64_t processBytes)
{
    constexpr std::uint64_t partsOfProcess = 3;
    return static_cast<std::size_t>(processBytes / partsOfProcess);
}

std::vector<std::uint64_t> sessionsToCut(std::vector<HeldBytes> held, std::size_t limit)
{
    std::size_t total = std::accumulate(
        held.begin(), held.end(), std::size_t{0},
        [](std::size_t sum, const HeldBytes &session) { return sum + session.bytes; });
    if (total <= limit)
        return {};
    std::vector<std::uint64_t> cut;
    while (total > limit) {
        const auto next = nextToCut(held);
        cut.push_back(next->session);
        total -= next->bytes;
        held.erase(next);
    }
    return cut;
}

} // namespace wisteria
