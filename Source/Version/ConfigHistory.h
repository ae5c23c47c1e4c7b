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
    /// Fields that the change set, from what to what; for a refused one, would have set.
    std::vector<std::string> differences;
};

/// Replays a batch as replayBatch() does and tells each change that was judged.
Result<bool> replayWithHistory(ReplayCursor &cursor, const LogBatch &batch,
                               const std::function<void(HistoryItem)> &tell);

/// What a change would set on a state, one line a field.
std::vector<std::string> differencesOf(const ConfigState &state, const v1::ChangeRecord &change);

} // namespace wisteria
