#pragma once

#include "Connection/LogClient.h"
#include "Version/ConfigHistory.h"

namespace wisteria {

/// Replays the whole configuration stream as far as the log still holds it and tells each change.
/// @return Oldest offset that the log holds; otherwise as LogClient::read().
Result<Offset> readHistory(LogClient &log, const std::function<void(HistoryItem)> &tell);

/// The configuration as it was at a version.
/// @return NotFound when the version is not among the changes that the log still holds.
Result<ConfigState> readStateAt(LogClient &log, Offset version);

} // namespace wisteria
