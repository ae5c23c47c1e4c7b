#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Process/Endpoint.h"
#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// What a leader knows of one engine of its service.
struct EngineMembership
{
    /// Group that the engine's last status names; empty while unknown or if it is in no group.
    std::string group{};
    /// When the last status from the engine's sidecar was received, and its read time.
    TimePoint receivedAt{};
    std::uint64_t readAtMilliseconds = 0;
};

/// Which engine of a service belongs to which group, as the leader of one of the groups knows it. A
/// value type without I/O.
struct GroupMembers
{
    /// Group of the leader.
    std::string group{};
    /// Engines of the service.
    std::map<Endpoint, EngineMembership> engines{};
    /// When engines were last polled, and when those of other groups were.
    TimePoint polledAt{};
    TimePoint polledOthersAt{};
};

/// Interval between two polls of the ranks. A status stays current although one reply is lost.
constexpr milliseconds pollPeriod{200};
/// The same during a switch; sidecars also send each change on their own initiative. It is
/// multiplied by the number of the service's engines divided by the number below, up to pollPeriod,
/// because decoding the replies uses up the leader's share of a core.
constexpr milliseconds pollPeriodSwitching{60};
constexpr std::size_t enginesPerPollPeriod = 16;
/// Interval between two polls of the engines of other groups, which may come back in this group,
/// for each other group: the leaders of all groups poll an engine, and together they must not add
/// more polls when there are more groups.
constexpr milliseconds otherGroupsPollPeriod{2000};
/// After this time without a message from a sidecar the leader reads the rank's state directly from
/// the engine: the rank beside a dead sidecar may hold the group.
constexpr milliseconds silenceTimeout{500};

/// Returns the usual interval between two polls of a leader.
/// @param engines Number of engines of the service, in all groups.
milliseconds rankPollPeriod(std::size_t engines, bool switching);

/// Sets the engines of the service. What is known of engines that stay listed is kept.
void setEngines(GroupMembers &members, const std::vector<Endpoint> &engines);

/// Drops what is known of the engines and sets the leader's group, at the start of leading.
void resetMembers(GroupMembers &members, const std::string &group);

/// Records a status from an engine's sidecar, unless it is a delayed one. Ignores engines that are
/// not listed.
void recordStatus(GroupMembers &members, const RankStatus &status, TimePoint now);

/// Records the group in a report that was read directly from the engine; its sidecar stays silent.
void recordReport(GroupMembers &members, const Endpoint &engine, const RankReport &report);

/// Returns the engines that are in the leader's group.
std::vector<Endpoint> membersOf(const GroupMembers &members);

/// Returns the number of engines that are in the leader's group or whose group is not known.
std::size_t possibleMembers(const GroupMembers &members);

/// Returns the engines to poll now, and records that they are polled. Engines of other groups are
/// polled less often if all ranks of the leader's group are known.
std::vector<Endpoint> takeEnginesToPoll(GroupMembers &members, milliseconds period,
                                        bool allRanksAreKnown, TimePoint now);

/// Returns the engines from whose sidecars no status has arrived within silenceTimeout, without
/// those of other groups.
std::vector<Endpoint> silentEngines(const GroupMembers &members, TimePoint now);

/// Sorts the engines by the time of the last status, newest first: the first ones are chosen as
/// relays, so they should be alive.
std::vector<Endpoint> mostRecentFirst(const GroupMembers &members, std::vector<Endpoint> engines);

} // namespace wisteria
