#pragma once

#include "Connection/LogClient.h"
#include "Version/ConfigHistory.h"

namespace wisteria {

/// Calls `onChange` with each change that can be replayed from the log: all that it holds, or, if
/// its oldest records have expired, those after the `as_of` of the first usable snapshot.
/// @return Oldest offset that the log holds; errors as LogClient::read() and replayBatch().
Result<Offset> readHistory(LogClient &log, const std::function<void(HistoryItem)> &onChange);

/// Returns the configuration as it was at a version.
/// @return NotFound if the version can't be replayed from the records and snapshots that the log
/// still holds.
Result<ConfigState> readStateAt(LogClient &log, Offset version);

} // namespace wisteria
