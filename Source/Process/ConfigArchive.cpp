#include "Process/ConfigArchive.h"

#include "Process/ConfigFollower.h"

namespace wisteria {

namespace {

/// Maximum number of reads per call, which bounds a call on a log that grows as fast as it is read.
constexpr int maxReads = 100000;

auto unknownVersion(Offset version)
{
    return failure(ErrorKind::NotFound,
                   "version " + std::to_string(version)
                       + " is not among the changes that the log still holds; "
                         "'wisteriactl history' lists them");
}

/// Replays a batch record by record until the version is passed, and stores the last state of that
/// version in `found`.
Result<void> findVersion(ReplayCursor &cursor, const LogBatch &batch, Offset version,
                         std::optional<ConfigState> &found)
{
    LogBatch single{{}, batch.first, batch.end};
    for (const LogRecord &record : batch.records) {
        single.records = {record};
        const bool wasSearching = cursor.searchFrom.has_value();
        BOOST_OUTCOME_TRYV(replayBatch(cursor, single));
        if (cursor.state.version == version)
            found = cursor.state;
        // Once a snapshot was found, the next record to read is the one after its as_of.
        if (cursor.state.version > version || wasSearching != cursor.searchFrom.has_value())
            break;
    }
    return boost::outcome_v2::success();
}

} // namespace

Result<Offset> readHistory(LogClient &log, const std::function<void(HistoryItem)> &onChange)
{
    ReplayCursor cursor;
    Offset oldest = 0;
    for (int i = 0; i < maxReads; ++i) {
        BOOST_OUTCOME_TRY(batch, log.read(configStream, nextOffset(cursor), milliseconds(0)));
        oldest = batch.first;
        BOOST_OUTCOME_TRYV(replayWithHistory(cursor, batch, onChange));
        if (nextOffset(cursor) >= batch.end || !cursor.blocked.empty())
            break;
    }
    return oldest;
}

Result<ConfigState> readStateAt(LogClient &log, Offset version)
{
    ReplayCursor cursor;
    std::optional<ConfigState> found;
    for (int i = 0; i < maxReads && cursor.state.version <= version; ++i) {
        BOOST_OUTCOME_TRY(batch, log.read(configStream, nextOffset(cursor), milliseconds(0)));
        BOOST_OUTCOME_TRYV(findVersion(cursor, batch, version, found));
        if (nextOffset(cursor) >= batch.end || !cursor.blocked.empty())
            break;
    }
    if (version == 0 || !found)
        return unknownVersion(version);
    return *std::move(found);
}

} // namespace wisteria
