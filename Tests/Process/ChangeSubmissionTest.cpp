#include "Process/ChangeSubmission.h"

#include <catch2/catch.hpp>

#include "Version/ConfigRecords.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

enum class AppendFault { None, Down, LostBefore, LostAfter, Late };
enum class ReadFault { None, Always, AtFirst, AfterAppend };
enum class Rival { None, Before, Between };

constexpr milliseconds tick(100);
constexpr int ticks = 60;
constexpr int ticksUntilLate = 25;
constexpr int ticksOfOutage = 20;
constexpr milliseconds timeout(4000);

/// One cell of the matrix: which fault meets which step.
struct Cell
{
    std::array<AppendFault, 3> appends;
    ReadFault reads;
    Rival rival;
    /// Tick at which the admin dies and another one is asked with the same change id; 0 for never.
    int killedAt;
};

/// The log and one admin's replay of it, in virtual time.
struct World
{
    std::vector<LogRecord> records;
    std::vector<std::pair<int, LogRecord>> underWay;
    ConfigState state;

    Offset write(const v1::ChangeRecord &change)
    {
        records.push_back(recordOf(records.size() + 1, change));
        return records.back().offset;
    }
    void deliver(int now)
    {
        for (auto &[due, record] : underWay) {
            if (due == now) {
                record.offset = records.size() + 1;
                records.push_back(record);
            }
        }
    }
    void read()
    {
        for (const LogRecord &record : records)
            replayRecord(state, record);
    }
};

bool readFails(ReadFault fault, int now, const Submission &submission)
{
    switch (fault) {
    case ReadFault::None:
        return false;
    case ReadFault::Always:
        return true;
    case ReadFault::AtFirst:
        return now < ticksOfOutage;
    case ReadFault::AfterAppend:
        return submission.mayStand && now < 2 * ticksOfOutage;
    }
    return false;
}

void append(World &world, Submission &submission, AppendFault fault, int now, TimePoint time)
{
    switch (fault) {
    case AppendFault::None:
        noteAppend(submission, AppendOutcome::Written, world.write(submission.change), time);
        return;
    case AppendFault::Down:
        noteAppend(submission, AppendOutcome::NotWritten, 0, time);
        return;
    case AppendFault::LostBefore:
        break;
    case AppendFault::LostAfter:
        world.write(submission.change);
        break;
    case AppendFault::Late:
        world.underWay.push_back({now + ticksUntilLate, recordOf(0, submission.change)});
        break;
    }
    noteAppend(submission, AppendOutcome::Unknown, 0, time);
}

v1::ChangeRecord changeOf(const char *id, std::uint32_t queueBound)
{
    v1::ChangeRecord change = emptyChange(id, 1);
    addSet(change, serviceObject("lookup", queueBound), 1);
    return change;
}

struct Ending
{
    SubmissionDecision answer;
    int appends = 0;
    World world;
};

Ending play(const Cell &cell)
{
    Ending ending;
    World &world = ending.world;
    world.records.push_back(serviceRecord(1, "lookup"));
    world.read();
    const TimePoint start;
    if (cell.rival == Rival::Before)
        world.write(changeOf("change-rival", 50));
    const Submission fresh{changeOf("change-ours", 99), start + timeout, std::nullopt, false,
                           start};
    Submission submission = fresh;
    for (int now = 0; now < ticks; ++now) {
        const TimePoint time = start + now * tick;
        world.deliver(now);
        if (cell.rival == Rival::Between && now == 3)
            world.write(changeOf("change-rival", 50));
        if (!readFails(cell.reads, now, submission))
            world.read();
        if (cell.killedAt != 0 && now == cell.killedAt) {
            submission = fresh;
            submission.deadline = time + timeout;
            submission.mayStand = true;
        }
        ending.answer = decideSubmission(submission, world.state, time);
        if (ending.answer.step == SubmissionStep::Append) {
            const auto nth = std::min<std::size_t>(ending.appends, cell.appends.size() - 1);
            append(world, submission, cell.appends.at(nth), now, time);
            ++ending.appends;
        } else if (ending.answer.step != SubmissionStep::Wait && now >= cell.killedAt) {
            break;
        }
    }
    return ending;
}

/// Lets everything that is under way arrive and reads the whole log.
ConfigState settled(World world)
{
    for (int now = 0; now <= ticks + ticksUntilLate; ++now)
        world.deliver(now);
    world.read();
    return world.state;
}

/// What must hold of the answer, whatever comes later.
void checkTruth(const Cell &cell, const Ending &ending)
{
    const ConfigState later = settled(ending.world);
    const auto seen = later.seen.find("change-ours");
    const bool stands = seen != later.seen.end();
    const bool inForce = stands && seen->second.accepted();
    const SubmissionStep answer = ending.answer.step;
    const bool answered = answer == SubmissionStep::Accepted || answer == SubmissionStep::Refused
        || answer == SubmissionStep::NotYetKnown;
    REQUIRE(answered);
    REQUIRE(ending.appends <= 2 * timeout / milliseconds(200) + 4);
    if (answer == SubmissionStep::Accepted) {
        REQUIRE(inForce);
        REQUIRE(ending.answer.version == seen->second.offset());
    }
    if (answer == SubmissionStep::Refused) {
        REQUIRE_FALSE(inForce);
        REQUIRE(ending.answer.reason.find("; ") != std::string::npos);
    }
    const bool allDown = std::all_of(cell.appends.begin(), cell.appends.end(),
                                     [](AppendFault fault) { return fault == AppendFault::Down; });
    if (allDown && cell.killedAt == 0)
        REQUIRE(answer == SubmissionStep::Refused);
    const bool calm = cell.appends[0] == AppendFault::None && cell.reads == ReadFault::None;
    if (calm && cell.rival == Rival::None)
        REQUIRE(answer == SubmissionStep::Accepted);
    // Whoever asks later, once everything has arrived, hears what is in force.
    const SubmissionStep asked = outcomeOf("change-ours", later).step;
    REQUIRE(asked
            == (inForce      ? SubmissionStep::Accepted
                    : stands ? SubmissionStep::Refused
                             : SubmissionStep::NotYetKnown));
}

} // namespace

// The log is down, slow, or loses an answer after the write took effect; a rival changes the same
// object; the admin dies and the operator repeats the change elsewhere. Whatever the operator was
// told must still be true when everything has arrived.
TEST_CASE("An operator's answer stays true under every fault at every step")
{
    const std::array appendFaults = {AppendFault::None, AppendFault::Down, AppendFault::LostBefore,
                                     AppendFault::LostAfter, AppendFault::Late};
    const std::array readFaults = {ReadFault::None, ReadFault::Always, ReadFault::AtFirst,
                                   ReadFault::AfterAppend};
    int cells = 0;
    std::map<SubmissionStep, int> answers;
    for (const AppendFault first : appendFaults)
        for (const AppendFault second : appendFaults)
            for (const AppendFault third : appendFaults)
                for (const ReadFault reads : readFaults)
                    for (const Rival rival : {Rival::None, Rival::Before, Rival::Between})
                        for (const int killedAt : {0, 1, 2, 7}) {
                            const Cell cell{{first, second, third}, reads, rival, killedAt};
                            const Ending ending = play(cell);
                            checkTruth(cell, ending);
                            ++answers[ending.answer.step];
                            ++cells;
                        }
    CHECK(cells == 6000);
    CHECK(answers[SubmissionStep::Accepted] > 500);
    CHECK(answers[SubmissionStep::Refused] > 500);
    CHECK(answers[SubmissionStep::NotYetKnown] > 500);
}

TEST_CASE("A change id that was used for something else is not answered as accepted")
{
    ConfigState state;
    replayRecord(state, serviceRecord(1, "lookup"));
    v1::ChangeRecord other = emptyChange("change-lookup", 1);
    addSet(other, serviceObject("chat"));
    const Submission submission{other, TimePoint(seconds(1)), std::nullopt, false, TimePoint()};
    const SubmissionDecision decision = decideSubmission(submission, state, TimePoint());
    CHECK(decision.step == SubmissionStep::Refused);
    CHECK(decision.reason.find("give a new change id") != std::string::npos);
}
