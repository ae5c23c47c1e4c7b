#include "Version/GroupQueries.h"

#include <algorithm>

namespace wisteria {

bool isArmed(const RankReport &report, std::uint64_t version, std::uint64_t pass)
{
    return report.armed == version && report.armedPass == pass;
}

bool hasVersion(const RankReport &report, std::uint64_t version)
{
    return report.prepared == version || report.armed == version || report.map == version;
}

bool hasSuperseded(const RankReport &report, std::uint64_t version)
{
    const std::uint64_t highest = std::max({report.map, report.prepared, report.armed});
    return highest > version && !hasVersion(report, version);
}

bool anyHasSuperseded(const GroupSwitch &group, std::uint64_t version)
{
    return std::any_of(group.ranks.begin(), group.ranks.end(), [version](const auto &entry) {
        return hasSuperseded(entry.second.status.report, version);
    });
}

bool anyArmed(const GroupSwitch &group)
{
    return std::any_of(group.ranks.begin(), group.ranks.end(),
                       [](const auto &entry) { return entry.second.status.report.armed != 0; });
}

bool allRanksCurrent(const GroupSwitch &group, const SwitchTiming &timing, TimePoint now)
{
    const std::uint32_t size = groupSizeOf(group);
    return size > 0 && allRanksCurrentExcept(group, size, timing, now);
}

bool allRanksCurrentExcept(const GroupSwitch &group, std::uint32_t rank, const SwitchTiming &timing,
                           TimePoint now)
{
    const std::uint32_t size = groupSizeOf(group);
    for (std::uint32_t other = 0; other < size; ++other) {
        if (other == rank)
            continue;
        const auto known = group.ranks.find(other);
        const bool current = known != group.ranks.end() && known->second.status.report.groupOpen
            && now - known->second.receivedAt <= timing.statusLifetime;
        if (!current)
            return false;
    }
    return size > 0;
}

bool allRanksKnown(const GroupSwitch &group)
{
    return !group.ranks.empty() && group.ranks.size() >= groupSizeOf(group);
}

std::uint32_t groupSizeOf(const GroupSwitch &group)
{
    return group.ranks.empty() ? 0 : group.ranks.begin()->second.status.report.groupSize;
}

std::uint32_t holderOf(std::uint32_t leaderRank, std::uint32_t groupSize)
{
    return groupSize == 0 ? leaderRank : (leaderRank + 1) % groupSize;
}

std::uint32_t leaderOfHolder(std::uint32_t holder, std::uint32_t groupSize)
{
    return groupSize == 0 ? holder : (holder + groupSize - 1) % groupSize;
}

std::uint64_t latestPass(const GroupSwitch &group)
{
    std::uint64_t pass = 0;
    for (const auto &[rank, view] : group.ranks)
        pass = std::max(pass, view.status.report.pass);
    return pass;
}

RankMap currentMap(const GroupSwitch &group, const ExpertProfile &profile)
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

RankMap currentMapInferringOne(const GroupSwitch &group, const ExpertProfile &profile)
{
    const std::uint32_t size = groupSizeOf(group);
    if (group.ranks.size() >= size)
        return currentMap(group, profile);
    if (group.ranks.size() + 1 < size)
        return {};
    std::uint32_t unknown = 0;
    while (group.ranks.contains(unknown))
        ++unknown;
    GroupSwitch whole = group;
    RankStatus &status = whole.ranks[unknown].status;
    status.report.map = group.ranks.begin()->second.status.report.map;
    for (std::uint32_t set = 0; set < profile.sets; ++set) {
        std::vector<bool> assigned(profile.expertsPerSet, false);
        for (const auto &[rank, view] : group.ranks) {
            if (set >= view.status.experts.size())
                return {};
            for (const std::uint32_t expert : view.status.experts[set]) {
                if (expert < assigned.size())
                    assigned[expert] = true;
            }
        }
        std::vector<std::uint32_t> &unassigned = status.experts.emplace_back();
        for (std::uint32_t expert = 0; expert < profile.expertsPerSet; ++expert) {
            if (!assigned[expert])
                unassigned.push_back(expert);
        }
    }
    return currentMap(whole, profile);
}

bool hasProposal(const GroupSwitch &group)
{
    return !group.proposal.map.empty();
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
    const bool listed = !versions.empty() && versions.front() == first.map;
    if (whole && !listed)
        versions.push_back(first.map);
    return versions;
}

std::size_t unresponsiveRanks(const GroupSwitch &group, milliseconds timeout, TimePoint now)
{
    return static_cast<std::size_t>(
        std::count_if(group.ranks.begin(), group.ranks.end(),
                      [&](const auto &entry) { return now - entry.second.receivedAt > timeout; }));
}

std::vector<double> slowdownsOf(const GroupSwitch &group)
{
    std::vector<double> slowdowns;
    for (const auto &[rank, view] : group.ranks)
        slowdowns.push_back(view.status.report.slowdown);
    return slowdowns;
}

std::vector<GroupHold> holdsOf(const GroupSwitch &group)
{
    std::vector<GroupHold> holds;
    for (const auto &[rank, view] : group.ranks) {
        if (view.status.report.heldPass)
            holds.push_back({rank, *view.status.report.heldPass});
    }
    return holds;
}

std::optional<ArmedSwitch> commonArmedSwitch(const GroupSwitch &group)
{
    std::optional<ArmedSwitch> common;
    for (const auto &[rank, view] : group.ranks) {
        const RankReport &report = view.status.report;
        if (report.armed != 0 && !common)
            common = ArmedSwitch{report.armed, report.armedPass};
    }
    if (!common || group.ranks.size() < groupSizeOf(group))
        return std::nullopt;
    const bool all = std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto &entry) {
        const RankReport &report = entry.second.status.report;
        return isArmed(report, common->version, common->pass) || report.map == common->version;
    });
    return all ? common : std::nullopt;
}

} // namespace wisteria
