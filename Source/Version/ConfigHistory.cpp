#include "Version/ConfigHistory.h"

#include "Version/ConfigObject.h"

namespace wisteria {

namespace {

/// Returns a record's history item without its verdict, which is known only after replay; nothing
/// for a record that is not a change.
std::optional<HistoryItem> historyItemOf(const ConfigState &state, const LogRecord &record)
{
    v1::ConfigRecord parsed;
    if (!parsed.ParseFromString(record.data) || !parsed.has_change())
        return std::nullopt;
    HistoryItem item;
    item.offset = record.offset;
    item.change = parsed.change();
    item.differences = differencesOf(state, item.change);
    return item;
}

/// Returns the verdict on an item's record, which has just been replayed.
ReplayVerdict verdictAt(const ConfigState &state, const HistoryItem &item)
{
    const auto seen = state.seen.find(item.change.change_id());
    if (seen == state.seen.end())
        return {false, "malformed; append changes through wisteria-admin"};
    if (seen->second.offset() == item.offset)
        return {seen->second.accepted(), seen->second.reason()};
    return {false, "a repeat of the change at offset " + std::to_string(seen->second.offset())};
}

} // namespace

std::vector<std::string> differencesOf(const ConfigState &state, const v1::ChangeRecord &change)
{
    std::vector<std::string> lines;
    for (const v1::ObjectChange &entry : change.changes()) {
        const ObjectKey key{entry.kind(), entry.name()};
        const auto existing = state.objects.find(key);
        const v1::Object *before =
            existing == state.objects.end() ? nullptr : &existing->second.object();
        const v1::Object *after = entry.remove() ? nullptr : &entry.content();
        for (std::string &line : differencesOf(key, before, after))
            lines.push_back(std::move(line));
    }
    return lines;
}

Result<bool> replayWithHistory(ReplayCursor &cursor, const LogBatch &batch,
                               const std::function<void(HistoryItem)> &onChange)
{
    const Offset versionBefore = cursor.state.version;
    LogBatch single{{}, batch.first, batch.end};
    if (batch.records.empty())
        return replayBatch(cursor, single);
    for (const LogRecord &record : batch.records) {
        const bool searching = cursor.searchFrom || batch.first > cursor.state.position + 1;
        const Offset before = cursor.state.position;
        std::optional<HistoryItem> item =
            searching ? std::nullopt : historyItemOf(cursor.state, record);
        single.records = {record};
        BOOST_OUTCOME_TRY(replayBatch(cursor, single));
        const bool foundSnapshot = searching && !cursor.searchFrom;
        if (foundSnapshot || !cursor.blocked.empty())
            break;
        if (item && cursor.state.position > before) {
            item->verdict = verdictAt(cursor.state, *item);
            onChange(std::move(*item));
        }
    }
    return cursor.state.version != versionBefore;
}

} // namespace wisteria
