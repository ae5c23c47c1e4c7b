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

TEST_CASE("An entry is added by its first record and removed by its leaving record")
{
    EntryMembers members;
    CHECK(
        updateMembers(members, batchOf({memberRecord(1, "a", 1), memberRecord(2, "b", 1)}), start));
    CHECK(memberNames(members) == std::vector<std::string>{"a", "b"});
    CHECK(updateMembers(members, batchOf({memberRecord(3, "a", 1, true)}), start));
    CHECK(memberNames(members) == std::vector<std::string>{"b"});
}

// An entry's VM fails without a leaving record. If the other entries kept counting it, each would
// get a smaller share of an organisation's budget, and the organisation would be refused at half
// its limit for minutes.
TEST_CASE("An entry without a further record times out while the log answers")
{
    EntryMembers members;
    updateMembers(members, batchOf({memberRecord(1, "a", 1)}), start);
    TimePoint now = start;
    while (now < start + memberTimeout) {
        now += milliseconds(2000);
        updateMembers(members, batchOf({}), now);
    }
    CHECK(memberNames(members).empty());
}

// An outage of the log lasts longer than the timeout of an entry. If entries timed out in it, each
// entry would see only itself and grant an organisation's whole limit.
TEST_CASE("An entry is kept at the first read after an outage of the log")
{
    EntryMembers members;
    updateMembers(members, batchOf({memberRecord(1, "a", 1)}), start);
    const TimePoint after = start + std::chrono::minutes(30);
    CHECK_FALSE(updateMembers(members, batchOf({}), after));
    CHECK(memberNames(members) == std::vector<std::string>{"a"});
}

// A record of a replaced process is appended late, after the first record of its successor of the
// same name. Peers would otherwise call an address where no process listens, or drop the successor.
TEST_CASE("A late record of an older incarnation is ignored")
{
    EntryMembers members;
    updateMembers(members, batchOf({memberRecord(1, "a", 2)}), start);
    CHECK_FALSE(updateMembers(members, batchOf({memberRecord(2, "a", 1, true)}), start));
    CHECK(memberAddress(members, "a") == "a-2");
}
