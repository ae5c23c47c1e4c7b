#include "Version/RankReport.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

/// Largest integer up to which JSON numbers represent all integers exactly.
constexpr std::uint64_t maxExactInteger = (std::uint64_t{1} << 53) - 1;
/// An engine slower than this is taken for one that reports nonsense.
constexpr double maxSlowdown = 1000;
/// Longest name of a group in bytes. Names are kept, and are part of most messages.
constexpr std::size_t maxGroupNameBytes = 255;

auto badReport(const std::string &what)
{
    return failure(ErrorKind::BadInput,
                   "the report of an engine " + what
                       + "; it is not used, check the engine's health and version");
}

} // namespace

Result<void> checkReport(const RankReport &report)
{
    if (report.group.size() > maxGroupNameBytes)
        return badReport("names a group with more than " + std::to_string(maxGroupNameBytes)
                         + " bytes");
    if (report.groupSize > maxGroupRanks
        || (report.groupSize > 0 && report.rank >= report.groupSize)
        || report.rank >= maxGroupRanks) {
        return badReport("is of rank " + std::to_string(report.rank) + " of "
                         + std::to_string(report.groupSize));
    }
    if (report.running > maxRequests || report.waiting > maxRequests)
        return badReport("counts more than " + std::to_string(maxRequests) + " requests");
    if (!(report.slowdown >= 0 && report.slowdown <= maxSlowdown))
        return badReport("has the slowdown " + std::to_string(report.slowdown));
    const std::uint64_t largest =
        std::max({report.epoch, report.pass, report.map, report.prepared, report.armed,
                  report.armedPass, report.heldPass.value_or(0)});
    if (largest > maxExactInteger) {
        return badReport("has an epoch, version or pass of " + std::to_string(largest));
    }
    return boost::outcome_v2::success();
}

} // namespace wisteria
