#pragma once

#include <optional>

#include "Process/Time.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// Returns the whole state as a record. Equal states give equal bytes.
v1::SnapshotRecord snapshotOf(const ConfigState &state);

/// Replaces the state by a snapshot's if the snapshot is newer and of rules that this program
/// knows.
/// @return Whether the state was replaced.
bool adoptSnapshot(ConfigState &state, const v1::SnapshotRecord &snapshot);

/// The newest snapshot in the log, by any writer, as seen by a process that writes snapshots.
struct NewestSnapshot
{
    /// `as_of` of the newest snapshot; 0 for none.
    Offset asOf = 0;
    /// When this process first saw it; nothing if it was already there at the start of the process,
    /// so that its age is unknown.
    std::optional<TimePoint> seenAt;
};

/// Number of records after which a snapshot is due whatever the age of the last one. It bounds the
/// replay time at the start of a process.
inline constexpr Offset recordsPerSnapshot = 512;

/// Records the newest snapshot of the log.
/// @param fresh Whether it was appended after this process had caught up. A snapshot that is found
/// while the log is first read may be of any age.
void noteNewestSnapshot(NewestSnapshot &newestSnapshot, Offset asOf, bool fresh, TimePoint now);

/// Whether a snapshot should be appended now. Records expire even if the configuration does not
/// change, and a process that starts after that would find no state. A snapshot is therefore due
/// every `period` (at most a quarter of the log's retention) even without changes, and immediately
/// if the age of the newest one is unknown.
bool snapshotDue(const NewestSnapshot &newestSnapshot, Offset position, milliseconds period,
                 TimePoint now);

} // namespace wisteria
