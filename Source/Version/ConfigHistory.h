#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Version/ConfigReplay.h"

namespace wisteria {

/// One change of the audit trail, accepted or refused.
struct HistoryItem
{
    Offset offset = 0;
    v1::ChangeRecord change;
    ReplayVerdict verdict;
    /// Fields that the change set, with old and new value; for a refused change, those that it
    /// would have set.
    std::vector<std::string> differences;
};

/// Replays a batch as replayBatch() does and calls `onChange` with each replayed change, also with
/// malformed and repeated ones. Changes that are read while a snapshot is searched are left out.
/// @return As replayBatch().
Result<bool> replayWithHistory(ReplayCursor &cursor, const LogBatch &batch,
                               const std::function<void(HistoryItem)> &onChange);

/// Differences that a change would make to a state: one line per field, or one line for an object
/// that is created or removed.
std::vector<std::string> differencesOf(const ConfigState &state, const v1::ChangeRecord &change);

} // namespace wisteria
