#pragma once

#include <optional>
#include <string>

#include "Version/ConfigState.h"

namespace wisteria {

/// Progress of one reader of the configuration stream.
struct ReplayCursor
{
    ConfigState state;
    /// Next offset to search for a usable snapshot; set while records that the state needs have
    /// expired.
    std::optional<Offset> searchFrom;
    /// End of the stream at the first read; nothing before the first read.
    std::optional<Offset> endAtStart;
    /// One past the newest record, as of the last read.
    Offset end = 1;
    /// `as_of` of the newest snapshot that was read; 0 for none.
    Offset newestSnapshot = 0;
    /// Why the reader can't replay further records, and the remedy; empty while it can.
    std::string blocked;
    /// Whether a snapshot in the log differed from the replayed state.
    bool diverged = false;
};

/// Offset of the next record to read.
Offset nextOffset(const ReplayCursor &cursor);

/// Whether all records that the log held at the first read have been replayed. False again while
/// records that the state needs have expired and no usable snapshot was found.
bool hasCaughtUp(const ReplayCursor &cursor);

/// Replays the result of a read from nextOffset(), or searches it for a usable snapshot.
/// @return Whether the version changed. Conflict if the log no longer reaches the newest replayed
/// record.
Result<bool> replayBatch(ReplayCursor &cursor, const LogBatch &batch);

} // namespace wisteria
