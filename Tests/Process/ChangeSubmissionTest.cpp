#include "Process/ChangeSubmission.h"

#include <catch2/catch.hpp>

#include "Version/ConfigRecords.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

enum class AppendFault { None, Down, RequestLost, AnswerLost, Late };
enum class ReadFault { None, Always, AtFirst, AfterAppend };
enum class ConcurrentChange { None, Before, Between };

constexpr milliseconds tick(100);
constexpr int ticks = 60;
constexpr int ticksUntilLate = 25;
constexpr int ticksOfOutage = 20;
constexpr milliseconds timeout(4000);

/// One combination of faults of the test matrix.
struct FaultCombination
{
    /// Faults of the first, the second and every later append.
    std::array<AppendFault, 3> appends;
    ReadFault reads;
    ConcurrentChange concurrentChange;
    /// Tick at which the admin crashes and the operator sends the same change id to another one; 0
    /// for never.
    int crashTick;
};

/// The log and one admin's replay of it, in simulated time.
struct Simulation
{
    std::vector<LogRecord> records;
    std::vector<std::pair<int, LogRecord>> delayed;
    ConfigState state;

    Offset write(const v1::ChangeRecord &change)
    {
        records.push_back(recordOf(records.size() + 1, change));
        return records.back().offset;
    }
    void deliver(int now)
    {
        for (auto &[due, record] : delayed) {
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
        return submission.mayBeWritten && now < 2 * ticksOfOutage;
    }
    return false;
}

void append(Simulation &simulation, Submission &submission, AppendFault fault, int now,
            TimePoint time)
{
    switch (fault) {
    case AppendFault::None:
        noteAppend(submission, AppendOutcome::Written, simulation.write(submission.change), time);
        return;
    case AppendFault::Down:
        noteAppend(submission, AppendOutcome::NotWritten, 0, time);
        return;
    case AppendFault::RequestLost:
        break;
    case AppendFault::AnswerLost:
        simulation.write(submission.change);
        break;
    case AppendFault::Late:
        simulation.delayed.push_back({now + ticksUntilLate, recordOf(0, submission.change)});
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

struct SimulationResult
{
    SubmissionDecision answer;
    int appends = 0;
    Simulation simulation;
};

SimulationResult simulate(const FaultCombination &faults)
{
    SimulationResult result;
    Simulation &simulation = result.simulation;
    simulation.records.push_back(serviceRecord(1, "lookup"));
    simulation.read();
    const TimePoint start;
    if (faults.concurrentChange == ConcurrentChange::Before)
        simulation.write(changeOf("change-rival", 50));
    const Submission fresh{changeOf("change-ours", 99), start + timeout, std::nullopt, false,
                           start};
    Submission submission = fresh;
    for (int now = 0; now < ticks; ++now) {
        const TimePoint time = start + now * tick;
        simulation.deliver(now);
        if (faults.concurrentChange == ConcurrentChange::Between && now == 3)
            simulation.write(changeOf("change-rival", 50));
        if (!readFails(faults.reads, now, submission))
            simulation.read();
        if (faults.crashTick != 0 && now == faults.crashTick) {
            submission = fresh;
            submission.deadline = time + timeout;
            submission.mayBeWritten = true;
        }
        result.answer = decideSubmission(submission, simulation.state, time);
        if (result.answer.step == SubmissionStep::Append) {
            const auto nth = std::min<std::size_t>(result.appends, faults.appends.size() - 1);
            append(simulation, submission, faults.appends.at(nth), now, time);
            ++result.appends;
        } else if (result.answer.step != SubmissionStep::Wait && now >= faults.crashTick) {
            break;
        }
    }
    return result;
}

/// Delivers all delayed appends and returns the state after the whole log.
ConfigState stateAfterDelivery(Simulation simulation)
{
    for (int now = 0; now <= ticks + ticksUntilLate; ++now)
        simulation.deliver(now);
    simulation.read();
    return simulation.state;
}

/// Checks the operator's answer against the state after all delayed appends have arrived.
void checkAnswer(const FaultCombination &faults, const SimulationResult &result)
{
    const ConfigState finalState = stateAfterDelivery(result.simulation);
    const auto seen = finalState.seen.find("change-ours");
    const bool isWritten = seen != finalState.seen.end();
    const bool inForce = isWritten && seen->second.accepted();
    const SubmissionStep answer = result.answer.step;
    const bool answered = answer == SubmissionStep::Accepted || answer == SubmissionStep::Refused
        || answer == SubmissionStep::NotYetKnown;
    REQUIRE(answered);
    REQUIRE(result.appends <= 2 * timeout / milliseconds(200) + 4);
    if (answer == SubmissionStep::Accepted) {
        REQUIRE(inForce);
        REQUIRE(result.answer.version == seen->second.offset());
    }
    if (answer == SubmissionStep::Refused) {
        REQUIRE_FALSE(inForce);
        REQUIRE(result.answer.reason.find("; ") != std::string::npos);
    }
    const bool allDown = std::all_of(faults.appends.begin(), faults.appends.end(),
                                     [](AppendFault fault) { return fault == AppendFault::Down; });
    if (allDown && faults.crashTick == 0)
        REQUIRE(answer == SubmissionStep::Refused);
    const bool firstTryWorks =
        faults.appends[0] == AppendFault::None && faults.reads == ReadFault::None;
    if (firstTryWorks && faults.concurrentChange == ConcurrentChange::None)
        REQUIRE(answer == SubmissionStep::Accepted);
    // A later outcome request, after all appends have arrived, returns the state in force.
    const SubmissionStep outcome = outcomeOf("change-ours", finalState).step;
    REQUIRE(outcome
            == (inForce         ? SubmissionStep::Accepted
                    : isWritten ? SubmissionStep::Refused
                                : SubmissionStep::NotYetKnown));
}

} // namespace

// The log is down, slow, or loses an answer after the write took effect; another operator changes
// the same object; the admin crashes and the operator repeats the change at another one. The answer
// to the operator must still be correct when all delayed appends have arrived.
TEST_CASE("An operator's answer stays correct under every combination of faults")
{
    const std::array appendFaults = {AppendFault::None, AppendFault::Down, AppendFault::RequestLost,
                                     AppendFault::AnswerLost, AppendFault::Late};
    const std::array readFaults = {ReadFault::None, ReadFault::Always, ReadFault::AtFirst,
                                   ReadFault::AfterAppend};
    int combinations = 0;
    std::map<SubmissionStep, int> answers;
    for (const AppendFault first : appendFaults)
        for (const AppendFault second : appendFaults)
            for (const AppendFault third : appendFaults)
                for (const ReadFault reads : readFaults)
                    for (const ConcurrentChange concurrentChange :
                         {ConcurrentChange::None, ConcurrentChange::Before,
                          ConcurrentChange::Between})
                        for (const int crashTick : {0, 1, 2, 7}) {
                            const FaultCombination faults{
                                {first, second, third}, reads, concurrentChange, crashTick};
                            const SimulationResult result = simulate(faults);
                            checkAnswer(faults, result);
                            ++answers[result.answer.step];
                            ++combinations;
                        }
    CHECK(combinations == 6000);
    CHECK(answers[SubmissionStep::Accepted] > 500);
    CHECK(answers[SubmissionStep::Refused] > 500);
    CHECK(answers[SubmissionStep::NotYetKnown] > 500);
}

TEST_CASE("A change with the id of an accepted, different change is refused")
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
