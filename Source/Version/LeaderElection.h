#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "Process/Time.h"

namespace wisteria {

/// Election of the sidecar that leads the groups of a service: the first live one of the service's
/// engine list. A value type without I/O.
///
/// Two sidecars may lead for a moment, for instance when a paused one resumes. The switch of expert
/// maps tolerates that, so the election needs no lease and works through outages of the store.
struct LeaderElection
{
    /// When the last poll of a leader earlier in the list was received.
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
/// Each further position in the list waits this much longer, so that the sidecars become leader one
/// at a time.
constexpr milliseconds leaderStagger{150};
/// From this position on each further one adds only leaderStaggerBeyond, or the last sidecar of a
/// large service would wait for half a minute. A step of leaderStaggerBeyond is close to the time
/// that a poll takes to arrive, so few sidecars lead at once.
constexpr std::size_t staggeredPositions = 20;
constexpr milliseconds leaderStaggerBeyond{25};

/// The sidecar whose rank holds the group leads after no leader has polled for this long, whatever
/// its position, because every stream stalls until the hold is released. It is more than two polls
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

/// Records a poll from a sidecar earlier in the list.
inline void noteHigherPriorityLeader(LeaderElection &election, TimePoint now)
{
    election.higherPriorityHeardAt = now;
}

/// Whether this sidecar leads now.
/// @param position Its position in the list of the service's sidecars, from 0.
inline bool isLeader(const LeaderElection &election, std::size_t position, TimePoint now)
{
    const bool heldWithoutLeader = election.heldSince
        && now - std::max({*election.heldSince, election.leaderHeardAt, election.listeningSince})
            >= leaderTimeoutWhileHeld;
    if (heldWithoutLeader)
        return true;
    const std::size_t beyond = position - std::min(position, staggeredPositions);
    const milliseconds wait = leaderTimeout
        + leaderStagger * static_cast<int>(std::min(position, staggeredPositions))
        + leaderStaggerBeyond * static_cast<int>(beyond);
    const TimePoint from = std::max(election.higherPriorityHeardAt, election.listeningSince);
    return now - from >= wait;
}

} // namespace wisteria
