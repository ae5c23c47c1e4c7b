#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "Process/Time.h"

namespace wisteria {

/// Which sidecar of a service leads: the first of the list that is alive. A plain value.
///
/// Two may lead for a moment, as when a paused one wakes up; the agreement on maps bears that, so
/// the choice needs no lease and holds through outages of the store.
struct LeaderElection
{
    /// When a sidecar further up the list was last heard to lead.
    TimePoint higherPriorityHeardAt;
    /// When this process began to listen.
    TimePoint since;
    /// When any sidecar was last heard to lead.
    TimePoint leaderHeardAt{};
    /// Since when the rank beside this process holds its group; nothing when it does not.
    std::optional<TimePoint> heldSince{};
};

/// A silent leader is replaced after this time: five of its polls. Sooner, a leader that looks for
/// a map would be replaced meanwhile, and the two would prepare maps against each other.
constexpr milliseconds leaderTimeout{1000};
/// Each further place in the list waits this much longer, so that one at a time tries.
constexpr milliseconds leaderStagger{150};
/// Places beyond this one wait less longer each, or the last of a large service would wait for half
/// a minute; still longer than a poll takes to them.
constexpr std::size_t staggeredPositions = 20;
constexpr milliseconds leaderStaggerBeyond{25};

/// The sidecar whose rank holds the group leads after so much silence, whatever its place: no
/// stream moves until somebody lets the group go. It is more than two polls during a switch; should
/// the leader live, both leading for a moment does no harm.
constexpr milliseconds leaderTimeoutWhileHeld{400};

/// Notes a poll from any other sidecar.
inline void noteLeaderPoll(LeaderElection &election, TimePoint now)
{
    election.leaderHeardAt = now;
}

/// Notes whether the own rank holds its group.
inline void noteHold(LeaderElection &election, bool held, TimePoint now)
{
    if (!held)
        election.heldSince.reset();
    else if (!election.heldSince)
        election.heldSince = now;
}

/// Notes a poll from a sidecar further up the list.
inline void noteHigherPriorityLeader(LeaderElection &election, TimePoint now)
{
    election.higherPriorityHeardAt = now;
}

/// Whether this sidecar leads now.
/// @param position Its place in the list of the service's sidecars, from 0.
inline bool isLeader(const LeaderElection &election, std::size_t position, TimePoint now)
{
    const bool heldWithoutLeader = election.heldSince
        && now - std::max({*election.heldSince, election.leaderHeardAt, election.since})
            >= leaderTimeoutWhileHeld;
    if (heldWithoutLeader)
        return true;
    const std::size_t beyond = position - std::min(position, staggeredPositions);
    const milliseconds wait = leaderTimeout
        + leaderStagger * static_cast<int>(std::min(position, staggeredPositions))
        + leaderStaggerBeyond * static_cast<int>(beyond);
    const TimePoint from = std::max(election.higherPriorityHeardAt, election.since);
    return now - from >= wait;
}

} // namespace wisteria
