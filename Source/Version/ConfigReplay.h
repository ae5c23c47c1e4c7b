#pragma once

#include <optional>
#include <string>

#include "Version/ConfigState.h"

namespace wisteria {

/// Where a reader of the configuration stream stands: what it replayed, and what it looks for.
struct ReplayCursor
{
    ConfigState state;
    /// Set while records that the state needs have expired and a usable snapshot is searched: the
    /// offset that the search goes on from.
    std::optional<Offset> searchFrom;
    /// End of the stream when it was first read; nothing before that.
    std::optional<Offset> endAtStart;
    /// One past the newest record as last heard.
    Offset end = 1;
    /// `as_of` of the newest snapshot that was met; 0 for none.
    Offset newestSnapshot = 0;
    /// Why the reader can't go on, and the remedy; empty while it can.
    std::string blocked;
    /// Whether a snapshot in the log differed from the state that replay gave.
    bool diverged = false;
};

/// Offset to read from next.
Offset nextOffset(const ReplayCursor &cursor);

/// Whether everything that stood in the log at the first read has been replayed.
bool hasCaughtUp(const ReplayCursor &cursor);

/// Takes what a read from nextOffset() gave.
/// @return Whether the version moved. Conflict when the log's end went backwards.
Result<bool> replayBatch(ReplayCursor &cursor, const LogBatch &batch);

} // namespace wisteria
