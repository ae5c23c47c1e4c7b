#include "Version/GroupViews.h"

#include <algorithm>

namespace wisteria {

bool isArmed(const RankReport &report, std::uint64_t version, std::uint64_t step)
{
    return report.armed == version && report.armedStep == step;
}

bool hasVersion(const RankReport &report, std::uint64_t version)
{
    return report.prepared == version || report.armed == version || report.map == version;
}

bool lacksForGood(const RankReport &report, std::uint64_t version)
{
    const std::uint64_t highest = std::max({report.map, report.prepared, report.armed});
    return highest > version && !hasVersion(report, version);
}

bool anyLacksForGood(const GroupSwitch &group, std::uint64_t version)
{
    return std::any_of(group.ranks.begin(), group.ranks.end(), [version](const auto &entry) {
        return lacksForGood(entry.second.status.report, version);
    });
}

bool allKnown(const GroupSwitch &group, const SwitchTiming &timing, TimePoint now)
{
    if (group.ranks.empty())
        return false;
    const std::uint32_t size = group.ranks.begin()->second.status.report.groupSize;
    if (size == 0 || group.ranks.size() != size)
        return false;
    return std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
        return entry.second.status.report.groupOpen
            && now - entry.second.at <= timing.statusLifetime;
    });
}

std::uint64_t furthestStep(const GroupSwitch &group)
{
    std::uint64_t step = 0;
    for (const auto &[rank, view] : group.ranks)
        step = std::max(step, view.status.report.step);
    return step;
}

RankMap presentMap(const GroupSwitch &group, const ExpertProfile &profile)
{
    if (group.ranks.empty())
        return {};
    const std::uint64_t version = group.ranks.begin()->second.status.report.map;
    RankMap map(profile.sets, std::vector<std::vector<std::uint32_t>>(group.ranks.size()));
    for (const auto &[rank, view] : group.ranks) {
        const RankStatus &status = view.status;
        if (status.report.map != version || status.experts.size() != profile.sets
            || rank >= group.ranks.size())
            return {};
        for (std::size_t set = 0; set < profile.sets; ++set)
            map[set][rank] = status.experts[set];
    }
    return map;
}

std::vector<std::uint64_t> knownMaps(const GroupSwitch &group)
{
    std::vector<std::uint64_t> versions;
    if (group.version != 0 && !group.map.empty())
        versions.push_back(group.version);
    if (group.ranks.empty())
        return versions;
    const RankReport &first = group.ranks.begin()->second.status.report;
    const bool whole = group.ranks.size() == first.groupSize
        && std::all_of(group.ranks.begin(), group.ranks.end(), [&first](const auto &entry) {
                           const RankStatus &status = entry.second.status;
                           return status.report.map == first.map && !status.experts.empty();
                       });
    if (whole && first.map != group.version)
        versions.push_back(first.map);
    return versions;
}

std::size_t silentRanks(const GroupSwitch &group, milliseconds silentAfter, TimePoint now)
{
    return static_cast<std::size_t>(
        std::count_if(group.ranks.begin(), group.ranks.end(),
                      [&](const auto &entry) { return now - entry.second.at > silentAfter; }));
}

std::vector<double> pacesOf(const GroupSwitch &group)
{
    std::vector<double> paces;
    for (const auto &[rank, view] : group.ranks)
        paces.push_back(view.status.report.pace);
    return paces;
}

std::optional<Held> heldBy(const GroupSwitch &group)
{
    for (const auto &[rank, view] : group.ranks) {
        if (view.status.report.heldStep)
            return Held{rank, *view.status.report.heldStep};
    }
    return std::nullopt;
}

std::optional<std::uint64_t> earliestHold(const GroupSwitch &group)
{
    std::optional<std::uint64_t> earliest;
    for (const auto &[rank, view] : group.ranks) {
        const auto &held = view.status.report.heldStep;
        if (held && (!earliest || *held < *earliest))
            earliest = held;
    }
    return earliest;
}

std::optional<ArmedSwitch> armedAlike(const GroupSwitch &group)
{
    std::optional<ArmedSwitch> alike;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        if (report.armed != 0 && !alike)
            alike = ArmedSwitch{report.armed, report.armedStep};
    }
    if (!alike)
        return std::nullopt;
    const bool all = std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
        const RankReport &report = entry.second.status.report;
        return isArmed(report, alike->version, alike->step) || report.map == alike->version;
    });
    return all ? alike : std::nullopt;
}

} // namespace wisteria
