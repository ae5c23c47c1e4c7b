#include "Version/GroupMembers.h"

#include <algorithm>
#include <set>
#include <string>

namespace wisteria {

namespace {

bool inOtherGroup(const GroupMembers &members, const EngineMembership &engine)
{
    return !engine.group.empty() && engine.group != members.group;
}

/// Returns the engines for which the condition holds, in the order of their addresses.
template <typename Condition>
std::vector<Endpoint> enginesWhere(const GroupMembers &members, Condition condition)
{
    std::vector<Endpoint> engines;
    for (const auto &[engine, membership] : members.engines) {
        if (condition(membership))
            engines.push_back(engine);
    }
    return engines;
}

/// Returns the number of groups other than the leader's.
std::size_t otherGroups(const GroupMembers &members)
{
    std::set<std::string> groups;
    for (const auto &[engine, membership] : members.engines) {
        if (inOtherGroup(members, membership))
            groups.insert(membership.group);
    }
    return groups.size();
}

} // namespace

milliseconds rankPollPeriod(std::size_t engines, bool switching)
{
    if (!switching)
        return pollPeriod;
    const auto periodFactor = static_cast<int>(engines / enginesPerPollPeriod);
    return std::min(pollPeriodSwitching * std::max(1, periodFactor), pollPeriod);
}

void setEngines(GroupMembers &members, const std::vector<Endpoint> &engines)
{
    std::map<Endpoint, EngineMembership> listed;
    for (const Endpoint &engine : engines) {
        const auto known = members.engines.find(engine);
        listed[engine] = known == members.engines.end() ? EngineMembership{} : known->second;
    }
    members.engines = std::move(listed);
}

void resetMembers(GroupMembers &members, const std::string &group)
{
    members.group = group;
    for (auto &[engine, membership] : members.engines)
        membership = {};
    members.polledAt = {};
    members.polledOthersAt = {};
}

void recordStatus(GroupMembers &members, const RankStatus &status, TimePoint now)
{
    const auto found = members.engines.find(status.engine);
    if (found == members.engines.end())
        return;
    EngineMembership &known = found->second;
    if (!isDelayed(status, known.readAtMilliseconds, known.receivedAt, now))
        known = {status.report.group, now, status.readAtMilliseconds};
}

void recordReport(GroupMembers &members, const Endpoint &engine, const RankReport &report)
{
    const auto found = members.engines.find(engine);
    if (found != members.engines.end())
        found->second.group = report.group;
}

std::vector<Endpoint> membersOf(const GroupMembers &members)
{
    return enginesWhere(members, [&members](const EngineMembership &engine) {
        return engine.group == members.group;
    });
}

std::size_t possibleMembers(const GroupMembers &members)
{
    return static_cast<std::size_t>(std::count_if(
        members.engines.begin(), members.engines.end(),
        [&members](const auto &entry) { return !inOtherGroup(members, entry.second); }));
}

std::vector<Endpoint> takeEnginesToPoll(GroupMembers &members, milliseconds period,
                                        bool allRanksAreKnown, TimePoint now)
{
    if (now - members.polledAt < period)
        return {};
    members.polledAt = now;
    const milliseconds othersPeriod =
        otherGroupsPollPeriod * static_cast<int>(std::max<std::size_t>(otherGroups(members), 1));
    const bool all = !allRanksAreKnown || now - members.polledOthersAt >= othersPeriod;
    if (all)
        members.polledOthersAt = now;
    return enginesWhere(members, [&members, all](const EngineMembership &engine) {
        return all || !inOtherGroup(members, engine);
    });
}

std::vector<Endpoint> silentEngines(const GroupMembers &members, TimePoint now)
{
    return enginesWhere(members, [&members, now](const EngineMembership &engine) {
        return !inOtherGroup(members, engine) && now - engine.receivedAt > silenceTimeout;
    });
}

std::vector<Endpoint> mostRecentFirst(const GroupMembers &members, std::vector<Endpoint> engines)
{
    const auto receivedAt = [&members](const Endpoint &engine) {
        const auto found = members.engines.find(engine);
        return found == members.engines.end() ? TimePoint() : found->second.receivedAt;
    };
    std::stable_sort(engines.begin(), engines.end(),
                     [&receivedAt](const Endpoint &a, const Endpoint &b) {
                         return receivedAt(a) > receivedAt(b);
                     });
    return engines;
}

} // namespace wisteria
