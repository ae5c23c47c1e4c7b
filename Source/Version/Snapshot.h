#pragma once

#include <optional>

#include "Process/Time.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// The whole state as a record. Equal states give equal bytes.
v1::SnapshotRecord snapshotOf(const ConfigState &state);

/// Replaces the state by a snapshot's if that moves it forward.
/// @return Whether it did. A snapshot that is not newer, or that was made by rules which this
/// program does not know, changes nothing.
bool adoptSnapshot(ConfigState &state, const v1::SnapshotRecord &snapshot);

/// What a process that writes snapshots knows of the last one, whoever wrote it.
struct SnapshotSchedule
{
    /// `as_of` of the newest snapshot; 0 for none.
    Offset newest = 0;
    /// When this process first saw it; nothing right after its start, when its age is unknown.
    std::optional<TimePoint> seenAt;
};

/// Records after which a snapshot is due whatever its age, which bounds the time of a start.
inline constexpr Offset recordsPerSnapshot = 512;

/// Notes the newest snapshot of the log.
/// @param fresh Whether it came after this process had caught up; one that was found while the log
/// was read from its beginning may be of any age.
void noteNewestSnapshot(SnapshotSchedule &schedule, Offset newest, bool fresh, TimePoint now);

/// Whether a snapshot should be appended now. Failure guarded against: the records of a quiet
/// configuration expire all the same, and a process that starts later finds nothing. A snapshot is
/// therefore due each `period` (a quarter of the log's retention) though nothing changed.
bool snapshotDue(const SnapshotSchedule &schedule, Offset position, milliseconds period,
                 TimePoint now);

} // namespace wisteria
