#include "Request/RecentRuns.h"

#include <algorithm>

namespace wisteria {

void noteRun(RecentRuns &runs, milliseconds time)
{
    runs.times.at(runs.count % RecentRuns::kept) = time;
    ++runs.count;
}

std::optional<milliseconds> usualRun(const RecentRuns &runs)
{
    constexpr std::size_t fewRuns = 8;
    constexpr int fewRunsFactor = 2;
    constexpr std::size_t slowestDivisor = 20;
    const std::size_t known = std::min(runs.count, RecentRuns::kept);
    if (known == 0)
        return std::nullopt;
    std::array<milliseconds, RecentRuns::kept> sorted = runs.times;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(known);
    if (known < fewRuns)
        return *std::max_element(sorted.begin(), end) * fewRunsFactor;
    const auto usual = end - 1 - static_cast<std::ptrdiff_t>(known / slowestDivisor);
    std::nth_element(sorted.begin(), usual, end);
    return *usual;
}

} // namespace wisteria
