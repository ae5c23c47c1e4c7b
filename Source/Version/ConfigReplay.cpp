#include "Version/ConfigReplay.h"

#include "Version/Snapshot.h"

namespace wisteria {

namespace {

/// Whether the log still holds each record after the snapshot's as_of.
///
/// Guards against a change that was accepted between a snapshot's as_of and the snapshot's own
/// offset and whose record has expired. A reader that adopted the snapshot would miss the change
/// and silently restore what it superseded. Such a change has offset as_of + 1 or higher, so the
/// log either still holds its record or the snapshot is unusable.
bool isUsable(const v1::SnapshotRecord &snapshot, Offset firstRetained)
{
    return snapshot.as_of() + 1 >= firstRetained;
}

void searchBatch(ReplayCursor &cursor, const LogBatch &batch)
{
    for (const LogRecord &record : batch.records) {
        cursor.searchFrom = record.offset + 1;
        v1::ConfigRecord parsed;
        if (!parsed.ParseFromString(record.data) || !parsed.has_snapshot())
            continue;
        if (!isUsable(parsed.snapshot(), batch.first))
            continue;
        if (!adoptSnapshot(cursor.state, parsed.snapshot()))
            continue;
        cursor.newestSnapshot = parsed.snapshot().as_of();
        cursor.searchFrom.reset();
        cursor.blocked.clear();
        return;
    }
    if (*cursor.searchFrom >= batch.end) {
        cursor.blocked = "records from offset " + std::to_string(cursor.state.position + 1)
            + " have expired and the log holds no usable snapshot; take the state from a peer, or "
              "start wisteria-admin on a VM that still has it";
    }
}

void noteSnapshot(ReplayCursor &cursor, const LogRecord &record)
{
    v1::ConfigRecord parsed;
    if (!parsed.ParseFromString(record.data) || !parsed.has_snapshot())
        return;
    cursor.newestSnapshot = std::max<Offset>(cursor.newestSnapshot, parsed.snapshot().as_of());
    // Detects another reader whose state differs; the replayed state stays. Only a snapshot
    // directly after its as_of can be compared.
    if (parsed.snapshot().as_of() + 1 == record.offset
        && parsed.snapshot().SerializeAsString() != snapshotOf(cursor.state).SerializeAsString())
        cursor.diverged = true;
}

} // namespace

Offset nextOffset(const ReplayCursor &cursor)
{
    return cursor.searchFrom.value_or(cursor.state.position + 1);
}

bool hasCaughtUp(const ReplayCursor &cursor)
{
    return cursor.endAtStart && !cursor.searchFrom
        && cursor.state.position + 1 >= *cursor.endAtStart;
}

Result<bool> replayBatch(ReplayCursor &cursor, const LogBatch &batch)
{
    if (batch.end <= cursor.state.position) {
        return failure(ErrorKind::Conflict,
                       "the log ends at offset " + std::to_string(batch.end) + " though offset "
                           + std::to_string(cursor.state.position)
                           + " was read before; the state is kept, restore the log's records");
    }
    cursor.end = batch.end;
    if (!cursor.endAtStart)
        cursor.endAtStart = batch.end;
    const Offset versionBefore = cursor.state.version;
    if (!cursor.searchFrom && batch.first > cursor.state.position + 1)
        cursor.searchFrom = batch.first;
    if (cursor.searchFrom) {
        searchBatch(cursor, batch);
        return cursor.state.version != versionBefore;
    }
    for (const LogRecord &record : batch.records) {
        noteSnapshot(cursor, record);
        const ReplayVerdict verdict = replayRecord(cursor.state, record);
        cursor.blocked = verdict.undecided ? verdict.reason : "";
        if (verdict.undecided)
            break;
    }
    return cursor.state.version != versionBefore;
}

} // namespace wisteria
