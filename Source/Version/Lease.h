#pragma once

#include <cstdint>
#include <optional>

#include "Version/MapSwitchLog.h"
#include "Version/MapSwitchTypes.h"

namespace wisteria {

/// A lease record that was sent and not yet read back.
struct PendingLeaseRecord
{
    std::uint64_t nonce = 0;
    TimePoint sentAt;
};

/// What one rank knows about the group's lease beyond the stream itself.
struct LeaseState
{
    Member self;
    std::uint64_t lastNonce = 0;
    std::optional<PendingLeaseRecord> pending;
    /// While held: until when, by this process's clock.
    TimePoint heldUntil;
    /// Newest lease record that was read, and when, so that another's lapse can be told.
    Offset observed = 0;
    TimePoint observedAt;
};

/// Whether this rank holds the lease at `now`: the stream names it as holder, and its own clock has
/// not passed the end.
bool holdsLease(const LeaseState &lease, const GroupState &group, TimePoint now);

/// Takes note of what was read from the stream. Call it after each replay.
void observeLease(LeaseState &lease, const GroupState &group, TimePoint now,
                  const MapSwitchTiming &timing);

/// The claim or renewal that is due at `now`, if any. The caller appends it and needs no answer:
/// the lease counts once the record is read back.
/// @param eligible Whether this rank may coordinate: it has joined and is not leaving.
std::optional<v1::GroupRecord> dueLeaseRecord(LeaseState &lease, const GroupState &group,
                                              TimePoint now, const MapSwitchTiming &timing,
                                              bool eligible);

} // namespace wisteria
