#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Election of the sidecar that leads a group: the one beside the group's first live rank. A value
/// type without I/O.
///
/// Two sidecars may lead for a moment, for instance when a paused one resumes. The switch of expert
/// maps tolerates that, so the election needs no lease and works through outages of the store.
struct LeaderElection
{
    /// When the last poll of a leader beside a lower rank was received.
    TimePoint higherPriorityHeardAt;
    /// When this process began to receive messages.
    TimePoint listeningSince;
    /// When the last poll of any other leader was received.
    TimePoint leaderHeardAt{};
    /// Since when the rank beside this process has held its group; empty when it does not hold.
    std::optional<TimePoint> heldSince{};
};

/// A silent leader is replaced after this time, five of its polls. With a shorter timeout a leader
/// would be replaced while it searches for a map, and the two would prepare competing maps.
constexpr milliseconds leaderTimeout{1000};
/// The sidecar beside each further rank waits this much longer, so that the sidecars become leader
/// one at a time.
constexpr milliseconds leaderStagger{150};
/// From this rank on each further one adds only leaderStaggerBeyond, or the last sidecar of a large
/// group would wait for half a minute. A step of leaderStaggerBeyond is close to the time
/// that a poll takes to arrive, so few sidecars lead at once.
constexpr std::size_t staggeredRanks = 20;
constexpr milliseconds leaderStaggerBeyond{25};

/// The sidecar whose rank holds the group leads after no leader has polled for this long, whatever
/// its rank, because every stream stalls until the hold is released. It is more than two polls
/// during a switch. If the old leader is alive, two leaders for a moment do no harm.
constexpr milliseconds leaderTimeoutWhileHeld{400};

/// Records a poll from any other sidecar.
inline void noteLeaderPoll(LeaderElection &election, TimePoint now)
{
    election.leaderHeardAt = now;
}

/// Records whether the rank beside this process holds its group.
inline void noteHold(LeaderElection &election, bool held, TimePoint now)
{
    if (!held)
        election.heldSince.reset();
    else if (!election.heldSince)
        election.heldSince = now;
}

/// Records a poll from the sidecar beside a lower rank.
inline void noteHigherPriorityLeader(LeaderElection &election, TimePoint now)
{
    election.higherPriorityHeardAt = now;
}

/// Whether this sidecar leads now.
/// @param rank The rank beside it.
inline bool isLeader(const LeaderElection &election, std::size_t rank, TimePoint now)
{
    const bool heldWithoutLeader = election.heldSince
        && now - std::max({*election.heldSince, election.leaderHeardAt, election.listeningSince})
            >= leaderTimeoutWhileHeld;
    if (heldWithoutLeader)
        return true;
    const std::size_t beyond = rank - std::min(rank, staggeredRanks);
    const milliseconds wait = leaderTimeout
        + leaderStagger * static_cast<int>(std::min(rank, staggeredRanks))
        + leaderStaggerBeyond * static_cast<int>(beyond);
    const TimePoint from = std::max(election.higherPriorityHeardAt, election.listeningSince);
    return now - from >= wait;
}

/// A sidecar as a candidate for the leader of the group that its own engine is a rank of. A value
/// type without I/O.
struct GroupCandidate
{
    /// Group and rank of the own engine, by its last report; the group is empty before the first
    /// report and for an engine in no group.
    std::string group{};
    std::uint32_t rank = 0;
    /// When the read of that report began.
    TimePoint reportedAt{};
    LeaderElection election{};
};

/// A sidecar whose own report is older than this does not lead. Reports are read every 0.1 s, so
/// the engine is gone, stuck, or perhaps a rank of another group.
constexpr milliseconds maxOwnReportAge{2000};

/// Records a report of the own engine. In another group than before, the sidecar first listens for
/// that group's leader, as after a start.
/// @param readAt When the read of the report began.
inline void noteOwnReport(GroupCandidate &candidate, const RankReport &report, TimePoint readAt,
                          TimePoint now)
{
    if (report.group != candidate.group) {
        candidate.group = report.group;
        candidate.election = {.higherPriorityHeardAt = {}, .listeningSince = now};
    }
    candidate.rank = report.rank;
    candidate.reportedAt = readAt;
    noteHold(candidate.election, report.heldPass.has_value(), readAt);
}

/// Whether the poll is from a leader of the candidate's group. One without a group, from an earlier
/// version, counts as such.
inline bool isOfOwnGroup(const GroupCandidate &candidate, const RankPoll &poll)
{
    return poll.group.empty() || poll.group == candidate.group;
}

/// Records a poll from another sidecar of the candidate's group.
inline void notePoll(GroupCandidate &candidate, const RankPoll &poll, TimePoint now)
{
    if (poll.rank < candidate.rank)
        noteHigherPriorityLeader(candidate.election, now);
    noteLeaderPoll(candidate.election, now);
}

/// Whether this sidecar leads its group now.
inline bool leadsGroup(const GroupCandidate &candidate, TimePoint now)
{
    return !candidate.group.empty() && now - candidate.reportedAt <= maxOwnReportAge
        && isLeader(candidate.election, candidate.rank, now);
}

} // namespace wisteria
