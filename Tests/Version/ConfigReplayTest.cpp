#include "Version/ConfigReplay.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "Version/ConfigHistory.h"
#include "Version/ConfigRecords.h"
#include "Version/Snapshot.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

/// Log in memory; records before `first` have expired.
struct MemoryLog
{
    std::vector<LogRecord> records;
    Offset first = 1;

    Offset end() const { return records.size() + 1; }
    Offset append(LogRecord record)
    {
        record.offset = end();
        records.push_back(std::move(record));
        return records.back().offset;
    }
    LogBatch read(Offset from, std::size_t maxRecords) const
    {
        LogBatch batch{{}, first, end()};
        for (Offset at = std::max(from, first); at < end() && batch.records.size() < maxRecords;
             ++at)
            batch.records.push_back(records[at - 1]);
        return batch;
    }
};

std::string bytesOf(const ConfigState &state)
{
    return snapshotOf(state).SerializeAsString();
}

/// Reads up to the log's end or until the reader is blocked; checks that the version never
/// decreases.
void follow(ReplayCursor &cursor, const MemoryLog &log, std::size_t maxRecords)
{
    while (true) {
        const Offset versionBefore = cursor.state.version;
        const LogBatch batch = log.read(nextOffset(cursor), maxRecords);
        REQUIRE(replayBatch(cursor, batch).has_value());
        REQUIRE(cursor.state.version >= versionBefore);
        if (nextOffset(cursor) >= log.end() || !cursor.blocked.empty())
            return;
    }
}

/// Appends a random record: a valid or invalid change, a duplicate, a cancellation, an outdated
/// snapshot or unreadable data.
void appendRandomRecord(MemoryLog &log, const ConfigState &state, const ConfigState &outdatedState,
                        std::vector<LogRecord> &sentRecords)
{
    const int choice = *rc::gen::inRange(0, 14);
    const std::string name = "s" + std::to_string(*rc::gen::inRange(0, 4));
    const ObjectKey key{v1::OBJECT_KIND_SERVICE, name};
    const auto existing = state.objects.find(key);
    const Offset current = existing == state.objects.end() ? 0 : existing->second.version();
    const Offset base = *rc::gen::element(current, current, current, Offset(0), Offset(1));
    const Offset position = *rc::gen::element(state.position, state.position, Offset(0));
    const std::string id = "change-" + std::to_string(*rc::gen::inRange(0, 400));
    v1::ChangeRecord change = emptyChange(id, position);
    if (choice == 0 && !sentRecords.empty()) {
        // a duplicate, or delayed
        log.append(sentRecords[*rc::gen::inRange<std::size_t>(0, sentRecords.size())]);
        return;
    }
    if (choice == 1) {
        log.append(recordOf(0, snapshotOf(outdatedState))); // behind the log's end
        return;
    }
    if (choice == 2) {
        log.append({0, "no record"});
        return;
    }
    if (choice == 3)
        change.set_cancel(true);
    else if (choice <= 5)
        addRemoval(change, key.kind, name, base);
    else
        addSet(change, serviceObject(name, *rc::gen::inRange(1, 100)), base);
    if (*rc::gen::inRange(0, 2) == 0)
        change.set_confirm_digest(effectsOf(state, change).digest);
    const LogRecord record = recordOf(0, change);
    sentRecords.push_back(record);
    if (*rc::gen::inRange(0, 4) != 0) // else the append is lost, or arrives later
        log.append(record);
}

/// Replays every record in order; reference for all other readers.
ConfigState referenceReplay(const MemoryLog &log)
{
    ConfigState state;
    for (const LogRecord &record : log.records)
        replayRecord(state, record);
    return state;
}

} // namespace

// Operators make concurrent changes, answers to appends are lost and the appends are repeated, some
// arrive late, and the log drops old records. Every process must still have the same configuration,
// and its version must never decrease.
TEST_CASE("Every reader that catches up has the same state, and versions never decrease")
{
    std::size_t snapshotReaders = 0;
    std::size_t blockedReaders = 0;
    const bool holds = rc::check([&] {
        MemoryLog log;
        std::vector<LogRecord> sentRecords;
        ReplayCursor writer;
        ReplayCursor early;
        const int appends = *rc::gen::inRange(1, 60);
        for (int i = 0; i < appends; ++i) {
            if (*rc::gen::inRange(0, 6) != 0)
                follow(writer, log, 64); // else it writes from an outdated state
            appendRandomRecord(log, writer.state, early.state, sentRecords);
            if (*rc::gen::inRange(0, 5) == 0)
                follow(early, log, *rc::gen::inRange<std::size_t>(1, 9));
        }
        follow(early, log, 3);
        const ConfigState expected = referenceReplay(log);
        RC_ASSERT(bytesOf(early.state) == bytesOf(expected));
        RC_ASSERT(!early.diverged);
        // A process that starts after the log dropped its oldest records.
        log.first = *rc::gen::inRange<Offset>(1, log.end() + 1);
        ReplayCursor starting;
        follow(starting, log, *rc::gen::inRange<std::size_t>(1, 9));
        if (hasCaughtUp(starting)) {
            RC_ASSERT(bytesOf(starting.state) == bytesOf(expected));
            snapshotReaders += log.first > 1 ? 1 : 0;
        } else {
            RC_ASSERT(!starting.blocked.empty());
            ++blockedReaders;
        }
    });
    CHECK(holds);
    // Both outcomes must have occurred, otherwise the property is hardly tested.
    CHECK(snapshotReaders > 5);
    CHECK(blockedReaders > 5);
}

// A change is accepted while an admin writes a snapshot that does not contain it yet. Later the
// log drops the change's record. A new process that used the snapshot would serve the superseded
// configuration.
TEST_CASE("A snapshot is not used once a record after its as_of has expired")
{
    MemoryLog log;
    ConfigState state;
    log.append(serviceRecord(1, "lookup"));
    replayRecord(state, log.records[0]);
    const LogRecord snapshot = recordOf(0, snapshotOf(state));
    v1::ChangeRecord change = emptyChange("change-between", 1);
    addSet(change, serviceObject("lookup", 99), 1);
    log.append(recordOf(2, change));
    log.append(snapshot); // as of 1, at offset 3

    log.first = 2; // the change at 2 is still held: the snapshot and the change give version 2
    ReplayCursor inTime;
    follow(inTime, log, 10);
    CHECK(hasCaughtUp(inTime));
    CHECK(inTime.state.version == 2);
    CHECK(inTime.state.objects.begin()->second.object().service().queue_bound() == 99);

    log.first = 3; // the change has expired
    ReplayCursor tooLate;
    follow(tooLate, log, 10);
    CHECK_FALSE(hasCaughtUp(tooLate));
    CHECK(tooLate.state.version == 0);
    CHECK(tooLate.blocked.find("no usable snapshot") != std::string::npos);

    replayRecord(state, log.records[1]); // a process that has the change writes the next snapshot
    replayRecord(state, log.records[2]);
    log.append(recordOf(0, snapshotOf(state)));
    follow(tooLate, log, 10);
    CHECK(hasCaughtUp(tooLate));
    CHECK(tooLate.state.version == 2);
}

// A running process can't reach the log for longer than the log keeps records. It must not skip the
// missing records, and must not revert to a snapshot that is older than its state.
TEST_CASE("A reader that misses expired records continues only from a newer snapshot")
{
    MemoryLog log;
    ReplayCursor reader;
    ReplayCursor writer;
    for (Offset at = 1; at <= 4; ++at)
        log.append(serviceRecord(at, "s" + std::to_string(at)));
    follow(reader, log, 10);
    for (Offset at = 5; at <= 8; ++at)
        log.append(serviceRecord(at, "s" + std::to_string(at)));
    log.first = 7;
    follow(reader, log, 10);
    CHECK(reader.state.version == 4);
    CHECK_FALSE(reader.blocked.empty());
    log.first = 1;
    follow(writer, log, 10);
    log.append(recordOf(0, snapshotOf(writer.state)));
    log.first = 9;
    follow(reader, log, 10);
    CHECK(hasCaughtUp(reader));
    CHECK(bytesOf(reader.state) == bytesOf(referenceReplay(log)));
}

// A peer or the log offers a snapshot that is older, or has a later position but a lower version,
// or is of rules that this program does not know. None of them replaces the state.
TEST_CASE("A snapshot of a peer or the log never reverts a state to an older version")
{
    MemoryLog log;
    log.append(serviceRecord(1, "lookup"));
    ReplayCursor reader;
    follow(reader, log, 10);
    const v1::SnapshotRecord old = snapshotOf(reader.state);
    log.append(serviceRecord(2, "chat"));
    follow(reader, log, 10);
    CHECK_FALSE(adoptSnapshot(reader.state, old));
    v1::SnapshotRecord lower = old; // later in the log, but of a lower version
    lower.set_as_of(9);
    CHECK_FALSE(adoptSnapshot(reader.state, lower));
    v1::SnapshotRecord unknown = snapshotOf(reader.state);
    unknown.set_as_of(9);
    unknown.set_rules_version(newestRules + 1);
    CHECK_FALSE(adoptSnapshot(reader.state, unknown));
    CHECK(reader.state.version == 2);
}

TEST_CASE("A log whose end moves backwards is an error and the state stays")
{
    MemoryLog log;
    log.append(serviceRecord(1, "lookup"));
    ReplayCursor reader;
    follow(reader, log, 10);
    const auto result = replayBatch(reader, LogBatch{{}, 1, 1});
    REQUIRE(result.has_error());
    CHECK(result.error().kind == ErrorKind::Conflict);
    CHECK(reader.state.version == 1);
}

// Releases are rolled out over days. A process of the older release reads a record of newer rules.
// It would reach another verdict and from then on have another configuration than its peers.
TEST_CASE("A reader stops before a record of an unknown rules version")
{
    MemoryLog log;
    log.append(serviceRecord(1, "lookup"));
    v1::ChangeRecord change = emptyChange("change-future", 1);
    change.set_rules_version(newestRules + 1);
    addSet(change, serviceObject("chat"));
    log.append(recordOf(0, change));
    log.append(serviceRecord(3, "later"));
    ReplayCursor reader;
    follow(reader, log, 10);
    CHECK(reader.state.version == 1);
    CHECK(reader.state.position == 1);
    CHECK(reader.blocked.find("upgrade this process") != std::string::npos);
    CHECK_FALSE(hasCaughtUp(reader));
}

TEST_CASE("Policy WP0001: rules 1 accept a far-reaching change unconfirmed, rules 2 hold it back")
{
    for (const std::uint32_t rules : {1U, 2U}) {
        ConfigState state;
        v1::ChangeRecord create = emptyChange("change-create");
        create.set_rules_version(1);
        addSet(create, organisationObject("andf"));
        replayRecord(state, recordOf(1, create));
        v1::ChangeRecord remove = emptyChange("change-remove", 1);
        remove.set_rules_version(rules);
        addRemoval(remove, v1::OBJECT_KIND_ORGANISATION, "andf", 1);
        CHECK(replayRecord(state, recordOf(2, remove)).accepted == (rules == 1));
    }
}

// An append is delayed in the network, up to days, and written after its object was removed, or
// even after its change id was dropped from the state. The object would be created again.
TEST_CASE("A delayed change does not recreate a removed object, inside or beyond the window")
{
    ConfigState state;
    v1::ChangeRecord create = emptyChange("change-create");
    addSet(create, serviceObject("lookup"));
    replayRecord(state, recordOf(1, create));
    v1::ChangeRecord remove = emptyChange("change-remove", 1);
    addRemoval(remove, v1::OBJECT_KIND_SERVICE, "lookup", 1);
    remove.set_confirm_digest(effectsOf(state, remove).digest);
    REQUIRE(replayRecord(state, recordOf(2, remove)).accepted);
    for (const Offset at : {Offset(3), changeWindow, changeWindow + 1, changeWindow + 10}) {
        ConfigState copy = state;
        copy.position = at - 1;
        CHECK_FALSE(replayRecord(copy, recordOf(at, create)).accepted);
        create.set_change_id("change-other"); // also refused under another id
        CHECK_FALSE(replayRecord(copy, recordOf(at + 1, create)).accepted);
        CHECK(copy.objects.empty());
    }
    state.position = 3 * changeWindow;
    replayRecord(state, {3 * changeWindow + 1, "no record"});
    CHECK(state.seen.empty());
    CHECK(state.removed.empty());
}

TEST_CASE("A change that arrives after its cancellation is refused")
{
    ConfigState state;
    v1::ChangeRecord cancel = emptyChange("change-lost");
    cancel.set_cancel(true);
    CHECK_FALSE(replayRecord(state, recordOf(1, cancel)).accepted);
    v1::ChangeRecord change = emptyChange("change-lost");
    addSet(change, serviceObject("lookup"));
    CHECK_FALSE(replayRecord(state, recordOf(2, change)).accepted);
    CHECK(state.objects.empty());
}

TEST_CASE("History lists accepted, repeated and refused changes with their differences")
{
    MemoryLog log;
    log.append(serviceRecord(1, "lookup"));
    log.append(serviceRecord(1, "lookup"));
    v1::ChangeRecord change = emptyChange("change-stale", 1);
    addSet(change, serviceObject("lookup", 9), 7);
    log.append(recordOf(3, change));
    ReplayCursor cursor;
    std::vector<HistoryItem> items;
    const auto keep = [&](HistoryItem item) { items.push_back(std::move(item)); };
    REQUIRE(replayWithHistory(cursor, log.read(1, 10), keep).has_value());
    REQUIRE(items.size() == 3);
    CHECK(items[0].verdict.accepted);
    CHECK(items[1].verdict.reason == "a repeat of the change at offset 1");
    CHECK(items[2].verdict.reason.find("but is in version 1") != std::string::npos);
    CHECK(items[2].differences == std::vector<std::string>{"service 'lookup': queue_bound 8 -> 9"});
}

TEST_CASE("A snapshot is due by count, by time, and at once when the age of the last is unknown")
{
    const TimePoint start;
    NewestSnapshot newestSnapshot;
    CHECK_FALSE(snapshotDue(newestSnapshot, 0, seconds(60), start));
    CHECK(snapshotDue(newestSnapshot, 1, seconds(60), start));
    noteNewestSnapshot(newestSnapshot, 1, false, start);
    CHECK(snapshotDue(newestSnapshot, 2, seconds(60), start));
    noteNewestSnapshot(newestSnapshot, 2, true, start);
    CHECK_FALSE(snapshotDue(newestSnapshot, 3, seconds(60), start + seconds(59)));
    CHECK(snapshotDue(newestSnapshot, 3, seconds(60), start + seconds(60)));
    CHECK(snapshotDue(newestSnapshot, 2 + recordsPerSnapshot, seconds(60), start));
}
