#include "Version/ConfigReplay.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "Version/ConfigHistory.h"
#include "Version/ConfigRecords.h"
#include "Version/Snapshot.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

/// The log as a reader sees it: records from `first` on.
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
    LogBatch read(Offset from, std::size_t most) const
    {
        LogBatch batch{{}, first, end()};
        for (Offset at = std::max(from, first); at < end() && batch.records.size() < most; ++at)
            batch.records.push_back(records[at - 1]);
        return batch;
    }
};

std::string bytesOf(const ConfigState &state)
{
    return snapshotOf(state).SerializeAsString();
}

/// Reads until nothing more comes; checks that the version never goes down.
void follow(ReplayCursor &cursor, const MemoryLog &log, std::size_t most)
{
    while (true) {
        const Offset versionBefore = cursor.state.version;
        const LogBatch batch = log.read(nextOffset(cursor), most);
        REQUIRE(replayBatch(cursor, batch).has_value());
        REQUIRE(cursor.state.version >= versionBefore);
        if (nextOffset(cursor) >= log.end() || !cursor.blocked.empty())
            return;
    }
}

/// Appends one of an operator's changes, right or wrong, or something else that a log may hold.
void appendSomething(MemoryLog &log, const ConfigState &state, const ConfigState &slow,
                     std::vector<LogRecord> &late)
{
    const int choice = *rc::gen::inRange(0, 14);
    const std::string name = "s" + std::to_string(*rc::gen::inRange(0, 4));
    const ObjectKey key{v1::OBJECT_KIND_SERVICE, name};
    const auto held = state.objects.find(key);
    const Offset current = held == state.objects.end() ? 0 : held->second.version();
    const Offset base = *rc::gen::element(current, current, current, Offset(0), Offset(1));
    const Offset position = *rc::gen::element(state.position, state.position, Offset(0));
    const std::string id = "change-" + std::to_string(*rc::gen::inRange(0, 400));
    v1::ChangeRecord change = emptyChange(id, position);
    if (choice == 0 && !late.empty()) {
        log.append(late[*rc::gen::inRange<std::size_t>(0, late.size())]); // a duplicate, or late
        return;
    }
    if (choice == 1) {
        log.append(recordOf(0, snapshotOf(slow))); // behind the log's end
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
    late.push_back(record);
    if (*rc::gen::inRange(0, 4) != 0) // else the append was lost, and may come later
        log.append(record);
}

/// Replays everything by the simplest means, as the judge of all other readers.
ConfigState plainReplay(const MemoryLog &log)
{
    ConfigState state;
    for (const LogRecord &record : log.records)
        replayRecord(state, record);
    return state;
}

} // namespace

// Two operators race, answers of appends are lost and the appends repeated, some arrive late, the
// log drops old records. Every process must still hold the same configuration, and none may go
// back.
TEST_CASE("Any log gives every reader the same state, and versions never go down")
{
    std::size_t fromSnapshot = 0;
    std::size_t refusing = 0;
    const bool holds = rc::check([&] {
        MemoryLog log;
        std::vector<LogRecord> late;
        ReplayCursor writer;
        ReplayCursor early;
        const int appends = *rc::gen::inRange(1, 60);
        for (int i = 0; i < appends; ++i) {
            if (*rc::gen::inRange(0, 6) != 0)
                follow(writer, log, 64); // else it judges and writes by a state that is behind
            appendSomething(log, writer.state, early.state, late);
            if (*rc::gen::inRange(0, 5) == 0)
                follow(early, log, *rc::gen::inRange<std::size_t>(1, 9));
        }
        follow(early, log, 3);
        const ConfigState expected = plainReplay(log);
        RC_ASSERT(bytesOf(early.state) == bytesOf(expected));
        RC_ASSERT(!early.diverged);
        // A process that starts now, after the log dropped its oldest records.
        log.first = *rc::gen::inRange<Offset>(1, log.end() + 1);
        ReplayCursor starting;
        follow(starting, log, *rc::gen::inRange<std::size_t>(1, 9));
        if (hasCaughtUp(starting)) {
            RC_ASSERT(bytesOf(starting.state) == bytesOf(expected));
            fromSnapshot += log.first > 1 ? 1 : 0;
        } else {
            RC_ASSERT(!starting.blocked.empty());
            ++refusing;
        }
    });
    CHECK(holds);
    // Both ways must really have been taken, or the property says little.
    CHECK(fromSnapshot > 5);
    CHECK(refusing > 5);
}

// An operator's change is accepted while an admin writes a snapshot that does not hold it yet.
// Later the log drops the change's own record, and a VM is replaced. Were the snapshot used, the
// new process would serve what the change had superseded.
TEST_CASE("A snapshot is not used once a record behind its as_of has expired")
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

    replayRecord(state, log.records[1]); // a process that has it writes the next snapshot
    replayRecord(state, log.records[2]);
    log.append(recordOf(0, snapshotOf(state)));
    follow(tooLate, log, 10);
    CHECK(hasCaughtUp(tooLate));
    CHECK(tooLate.state.version == 2);
}

// A running process was cut off from the log for longer than the log keeps records. It must not go
// on from the gap, and a snapshot older than what it has must not take it back.
TEST_CASE("A reader that fell behind retention goes on only from a snapshot that is newer")
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
    CHECK(bytesOf(reader.state) == bytesOf(plainReplay(log)));
}

// During an outage a process takes the configuration from peers, and one of them is behind.
TEST_CASE("A peer's or the log's snapshot never takes a state back")
{
    MemoryLog log;
    log.append(serviceRecord(1, "lookup"));
    ReplayCursor reader;
    follow(reader, log, 10);
    const v1::SnapshotRecord old = snapshotOf(reader.state);
    log.append(serviceRecord(2, "chat"));
    follow(reader, log, 10);
    CHECK_FALSE(adoptSnapshot(reader.state, old));
    v1::SnapshotRecord lower = old; // further in the log, yet of a lower version
    lower.set_as_of(9);
    CHECK_FALSE(adoptSnapshot(reader.state, lower));
    v1::SnapshotRecord unknown = snapshotOf(reader.state);
    unknown.set_as_of(9);
    unknown.set_rules_version(newestRules + 1);
    CHECK_FALSE(adoptSnapshot(reader.state, unknown));
    CHECK(reader.state.version == 2);
}

TEST_CASE("A log whose end goes backwards is an error and the state stays")
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

// Releases are rolled out over days. A record of the newer rules reaches a process of the older
// release, which would judge it differently and from then on hold another configuration.
TEST_CASE("A reader stops before a record of rules that it does not know")
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

// An append hangs in the network for days, after its change id was forgotten, and is written after
// all. Its object has been removed meanwhile and would come back.
TEST_CASE("A change that is older than what is remembered is refused")
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
        create.set_change_id("change-other"); // under another id it is refused just the same
        CHECK_FALSE(replayRecord(copy, recordOf(at + 1, create)).accepted);
        CHECK(copy.objects.empty());
    }
    state.position = 3 * changeWindow;
    replayRecord(state, {3 * changeWindow + 1, "no record"});
    CHECK(state.seen.empty());
    CHECK(state.removed.empty());
}

TEST_CASE("A cancelled change is refused whenever it arrives")
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

TEST_CASE("History tells refused changes, repeats and what differed")
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
    SnapshotSchedule schedule;
    CHECK_FALSE(snapshotDue(schedule, 0, seconds(60), start));
    CHECK(snapshotDue(schedule, 1, seconds(60), start));
    noteNewestSnapshot(schedule, 1, false, start);
    CHECK(snapshotDue(schedule, 2, seconds(60), start));
    noteNewestSnapshot(schedule, 2, true, start);
    CHECK_FALSE(snapshotDue(schedule, 3, seconds(60), start + seconds(59)));
    CHECK(snapshotDue(schedule, 3, seconds(60), start + seconds(60)));
    CHECK(snapshotDue(schedule, 2 + recordsPerSnapshot, seconds(60), start));
}
