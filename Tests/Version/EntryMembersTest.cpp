#include "Version/EntryMembers.h"

#include <catch2/catch.hpp>

using namespace wisteria;

namespace {

const TimePoint start{std::chrono::hours(1)};

LogRecord memberRecord(Offset offset, const std::string &name, std::uint64_t incarnation,
                       bool leaving = false)
{
    v1::EntryMemberRecord record;
    record.set_name(name);
    record.set_address(name + "-" + std::to_string(incarnation));
    record.set_incarnation(incarnation);
    record.set_leaving(leaving);
    return {offset, record.SerializeAsString()};
}

LogBatch batchOf(std::vector<LogRecord> records)
{
    LogBatch batch;
    batch.records = std::move(records);
    return batch;
}

} // namespace

TEST_CASE("Entries come with their records and go when they say goodbye")
{
    EntryMembers members;
    CHECK(
        updateMembers(members, batchOf({memberRecord(1, "a", 1), memberRecord(2, "b", 1)}), start));
    CHECK(memberNames(members) == std::vector<std::string>{"a", "b"});
    CHECK(updateMembers(members, batchOf({memberRecord(3, "a", 1, true)}), start));
    CHECK(memberNames(members) == std::vector<std::string>{"b"});
}

// An organisation would be refused at half its limit for minutes: an entry's VM vanished without
// a word, and the others went on to count it as a sharer of the organisation's budget.
TEST_CASE("An entry without a record for long counts as gone while the log answers")
{
    EntryMembers members;
    updateMembers(members, batchOf({memberRecord(1, "a", 1)}), start);
    TimePoint now = start;
    while (now < start + memberSilence) {
        now += milliseconds(2000);
        updateMembers(members, batchOf({}), now);
    }
    CHECK(memberNames(members).empty());
}

// All entries would forget each other in an outage of the log and each hand out the whole limit:
// the outage lasts longer than the silence after which an entry counts as gone.
TEST_CASE("An outage of the log ages no entry")
{
    EntryMembers members;
    updateMembers(members, batchOf({memberRecord(1, "a", 1)}), start);
    const TimePoint after = start + std::chrono::minutes(30);
    CHECK_FALSE(updateMembers(members, batchOf({}), after));
    CHECK(memberNames(members) == std::vector<std::string>{"a"});
}

// Peers would call an address where nobody listens: the goodbye or heartbeat of a replaced process
// is appended late, after the first record of its successor under the same name.
TEST_CASE("A late record of an older life changes nothing")
{
    EntryMembers members;
    updateMembers(members, batchOf({memberRecord(1, "a", 2)}), start);
    CHECK_FALSE(updateMembers(members, batchOf({memberRecord(2, "a", 1, true)}), start));
    CHECK(memberAddress(members, "a") == "a-2");
}
