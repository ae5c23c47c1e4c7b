#pragma once

#include "Connection/LogClient.h"
#include "Version/ConfigHistory.h"

namespace wisteria {

/// Replays all records of the configuration stream that the log still holds and calls `onChange`
/// with each change.
/// @return Oldest offset that the log holds; errors as LogClient::read() and replayBatch().
Result<Offset> readHistory(LogClient &log, const std::function<void(HistoryItem)> &onChange);

/// Returns the configuration as it was at a version.
/// @return NotFound if the version is not among the changes that the log still holds.
Result<ConfigState> readStateAt(LogClient &log, Offset version);

} // namespace wisteria
