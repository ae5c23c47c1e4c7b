#include "Version/MapSwitchSimulation.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

using namespace wisteria;
using namespace wisteria::test;

namespace {

/// Compares with a committed file; with WISTERIA_UPDATE_GOLDEN set it writes the file instead.
void checkGolden(const std::string &name, const std::string &text)
{
    const std::string path = std::string(WISTERIA_TEST_DATA) + "/MapSwitchMatrix/" + name;
    if (std::getenv("WISTERIA_UPDATE_GOLDEN") != nullptr)
        std::ofstream(path) << text;
    std::ostringstream expected;
    expected << std::ifstream(path).rdbuf();
    CHECK(text == expected.str());
}

std::vector<Fault> allFaults()
{
    std::vector<Fault> faults;
    for (int point = 0; point < static_cast<int>(Point::Count); ++point) {
        for (int kind = 0; kind < static_cast<int>(FaultKind::Count); ++kind)
            faults.push_back({static_cast<Point>(point), static_cast<FaultKind>(kind)});
    }
    return faults;
}

/// Bound of a stall after one fault. While the log is down before ranks arm, nothing may be armed;
/// an outage between arming and the outcome lasts as long as it lasts (600 ms here).
milliseconds boundAfter(const Fault &fault)
{
    const bool beforeArming = fault.point == Point::StageOrder || fault.point == Point::StageReport
        || fault.point == Point::EngineStage;
    const bool quick = fault.kind == FaultKind::LogDown && beforeArming;
    return quick ? milliseconds(150) : milliseconds(700);
}

SimulationOptions optionsFor(bool disturbed, bool checksFencing)
{
    SimulationOptions options;
    options.disturbed = disturbed;
    options.engineChecksFencing = checksFencing;
    return options;
}

std::string describe(const std::vector<Fault> &faults)
{
    std::string text;
    for (const Fault &fault : faults)
        text +=
            std::string(text.empty() ? "" : " + ") + nameOf(fault.point) + " " + nameOf(fault.kind);
    return text;
}

void runSingles(bool disturbed, bool checksFencing, const std::string &golden)
{
    std::ostringstream text;
    std::size_t met = 0;
    SimulationOptions options = optionsFor(disturbed, checksFencing);
    const std::vector<Fault> faults = allFaults();
    text << "no fault: stall " << simulate({}, options).longestStall.count() << " ms\n";
    for (const Fault &fault : faults) {
        options.stallBound = boundAfter(fault);
        const SimulationResult result = simulate({fault}, options);
        INFO(describe({fault}) << ": " << result.violation);
        CHECK(result.violation.empty());
        met += result.fired;
        text << describe({fault}) << ": ";
        if (result.fired == 0)
            text << "not met\n";
        else
            text << "stall " << result.longestStall.count() << " ms\n";
    }
    text << "cells " << faults.size() << ", met " << met << "\n";
    checkGolden(golden, text.str());
}

/// Builds with a sanitizer are much slower; they look for memory errors, which any pair
/// may show, and run every WISTERIA_PAIR_STRIDE-th pair. All other builds run every pair.
#ifndef WISTERIA_PAIR_STRIDE
#define WISTERIA_PAIR_STRIDE 1
#endif
constexpr std::size_t pairStride = WISTERIA_PAIR_STRIDE;

/// Runs the pairs whose first fault has this parity, so that two programs share them.
void runPairs(bool disturbed, bool checksFencing, std::size_t parity, const std::string &golden)
{
    std::size_t cells = 0;
    std::size_t met = 0;
    milliseconds worst(0);
    const std::vector<Fault> faults = allFaults();
    for (std::size_t i = parity; i < faults.size(); i += 2) {
        for (std::size_t j = i; j < faults.size(); ++j) {
            if ((i * faults.size() + j) % pairStride != 0)
                continue;
            const SimulationResult result =
                simulate({faults[i], faults[j]}, optionsFor(disturbed, checksFencing));
            if (!result.violation.empty())
                FAIL_CHECK(describe({faults[i], faults[j]}) << ": " << result.violation);
            ++cells;
            met += result.fired == 2 ? 1 : 0;
            worst = std::max(worst, result.longestStall);
        }
    }
    if (pairStride != 1)
        return;
    checkGolden(golden,
                "cells " + std::to_string(cells) + ", both faults met " + std::to_string(met)
                    + ", longest stall " + std::to_string(worst.count()) + " ms\n");
}

/// A guard switched off, and a cell that shows what it guards against.
struct Mutation
{
    const char *guard;
    bool MapSwitchGuards::*flag;
    bool disturbed;
    std::vector<Fault> faults;
};

const std::vector<Mutation> mutations = {
    {"checkLease",
     &MapSwitchGuards::checkLease,
     false,
     {{Point::StageOrder, FaultKind::SenderFrozen}}},
    {"refuseOldToken",
     &MapSwitchGuards::refuseOldToken,
     false,
     {{Point::StageOrder, FaultKind::SenderFrozen}}},
    {"collectAllPromises",
     &MapSwitchGuards::collectAllPromises,
     false,
     {{Point::ArmOrder, FaultKind::Lost}}},
    {"replayChecksMembers",
     &MapSwitchGuards::replayChecksMembers,
     false,
     {{Point::ArmReport, FaultKind::RankReplaced}, {Point::AppendCommit, FaultKind::Late}}},
    {"firstDecisionWins",
     &MapSwitchGuards::firstDecisionWins,
     false,
     {{Point::EngineApply, FaultKind::Lost}, {Point::AppendCommit, FaultKind::Late}}},
    {"holdUntilOutcome",
     &MapSwitchGuards::holdUntilOutcome,
     false,
     {{Point::ReadCommit, FaultKind::Late}}},
    {"refusePassedStep",
     &MapSwitchGuards::refusePassedStep,
     false,
     {{Point::ArmOrder, FaultKind::Late}}},
    {"joinBeforeRelease",
     &MapSwitchGuards::joinBeforeRelease,
     false,
     {{Point::EngineApply, FaultKind::LogDown}, {Point::AppendCommit, FaultKind::SenderKilled}}},
    {"armOnlyWithLog",
     &MapSwitchGuards::armOnlyWithLog,
     false,
     {{Point::EngineStage, FaultKind::LogDown}}},
    {"serialOrders",
     &MapSwitchGuards::serialOrders,
     true,
     {{Point::EngineRelease, FaultKind::Duplicated}}},
};

} // namespace

// What a user would see without these: two ranks run one step on two expert maps and every answer
// of that step is wrong, or the group stands still. Each cell puts one fault at one message of two
// switches in a row and checks each step's maps, the lease and the stall.
TEST_CASE("Map switch: every fault at every message, engines that ignore fencing")
{
    runSingles(false, false, "singles-ignoring.txt");
}

TEST_CASE("Map switch: every fault at every message, engines that check fencing")
{
    runSingles(false, true, "singles-checking.txt");
}

// The base run here has a slow engine and commits that vanish, so that the faults also hit the
// messages of cancelled and aborted attempts.
TEST_CASE("Map switch: every fault during cancels and aborts")
{
    runSingles(true, false, "singles-disturbed.txt");
}

TEST_CASE("Map switch: pairs of faults, even")
{
    runPairs(false, false, 0, "pairs-even.txt");
}

TEST_CASE("Map switch: pairs of faults, odd")
{
    runPairs(false, false, 1, "pairs-odd.txt");
}

TEST_CASE("Map switch: pairs of faults during cancels and aborts, even")
{
    runPairs(true, false, 0, "pairs-disturbed-even.txt");
}

TEST_CASE("Map switch: pairs of faults during cancels and aborts, odd")
{
    runPairs(true, false, 1, "pairs-disturbed-odd.txt");
}

TEST_CASE("Map switch: pairs of faults, engines that check fencing, even")
{
    runPairs(true, true, 0, "pairs-checking-even.txt");
}

TEST_CASE("Map switch: pairs of faults, engines that check fencing, odd")
{
    runPairs(true, true, 1, "pairs-checking-odd.txt");
}

// Each guard is switched off in turn; a cell that is green with it must turn red without it, or the
// matrix would not notice the guard's loss.
TEST_CASE("Map switch: each guard switched off turns a cell red")
{
    std::ostringstream text;
    for (const Mutation &mutation : mutations) {
        SimulationOptions options = optionsFor(mutation.disturbed, false);
        options.stallBound = boundAfter(mutation.faults.front());
        INFO(mutation.guard);
        CHECK(simulate(mutation.faults, options).violation.empty());
        options.guards.*mutation.flag = false;
        const std::string seen = simulate(mutation.faults, options).violation;
        CHECK_FALSE(seen.empty());
        text << mutation.guard << " off, " << describe(mutation.faults) << ": " << seen << "\n";
    }
    checkGolden("mutations.txt", text.str());
}

// What the chosen way and the weighed one cost the steps, in virtual time; the note on the design
// quotes this file.
TEST_CASE("Map switch: cost of arming against a stamp on every step")
{
    std::ostringstream text;
    text << "arm and decide, two switches:\n";
    for (const int append : {2, 5, 20}) {
        for (const std::uint64_t ahead : {1, 2, 4, 8}) {
            SimulationOptions options;
            options.stepsAhead = ahead;
            options.appendDelay = milliseconds(append);
            const SimulationResult result = simulate({}, options);
            CHECK(result.violation.empty());
            text << "append " << append << " ms, steps ahead " << ahead << ": "
                 << result.groupMessages << " messages, longest stall "
                 << result.longestStall.count() << " ms, " << result.steps << " steps\n";
        }
    }
    const SimulationResult paused = simulate({{Point::AppendRenewal, FaultKind::SenderFrozen}}, {});
    text << "coordinator frozen for 450 ms at rest: longest stall " << paused.longestStall.count()
         << " ms\nstamp on every step, no switch:\n";
    for (const int frozen : {0, 450}) {
        const SimulationResult result = simulateStamps(milliseconds(frozen));
        text << "leader frozen " << frozen << " ms: " << result.groupMessages
             << " messages, longest stall " << result.longestStall.count() << " ms, "
             << result.steps << " steps\n";
    }
    checkGolden("cost.txt", text.str());
}

// A holder is paused with its commit under way; the log was down, so no abort stands. Another rank
// takes the lease, which releases the armed ranks. Then the old commit lands. Three faults at once,
// so it is shown on the stream itself.
TEST_CASE("Map switch: a commit under a lapsed lease has no effect")
{
    const auto commitAfterClaim = [](bool guarded) {
        MapSwitchGuards guards;
        guards.replayChecksToken = guarded;
        GroupState state;
        v1::GroupRecord claim;
        replayGroupRecord(state, 1, claim, guards);
        claim.mutable_claim()->set_rank(0);
        replayGroupRecord(state, 2, claim, guards);
        claim.mutable_claim()->set_base(2);
        replayGroupRecord(state, 3, claim, guards);
        v1::GroupRecord commit;
        *commit.mutable_commit()->mutable_id() = idOf({2, 1});
        CHECK(outcomeOf(state, {2, 1}, 0) == SwitchOutcome::Aborted);
        return replayGroupRecord(state, 4, commit, guards);
    };
    CHECK_FALSE(commitAfterClaim(true));
    CHECK(commitAfterClaim(false));
}

// A rank's VM starts when the stream's oldest records have expired. A switch was committed between
// the snapshot's "as of" and the snapshot's own offset; the rank must not miss it.
TEST_CASE("Map switch: a snapshot does not hide what was appended before it landed")
{
    const MapSwitchGuards guards;
    GroupState full;
    v1::GroupRecord claim;
    claim.mutable_claim()->set_rank(1);
    replayGroupRecord(full, 5, claim, guards);
    v1::GroupRecord snapshot;
    *snapshot.mutable_snapshot() = snapshotOf(full);
    v1::GroupRecord commit;
    *commit.mutable_commit()->mutable_id() = idOf({5, 1});
    GroupState late;
    replayGroupRecord(late, 7, snapshot, guards);
    CHECK(late.position == 5);
    CHECK(replayGroupRecord(late, 6, commit, guards));
    CHECK_FALSE(replayGroupRecord(late, 7, snapshot, guards));
    CHECK(late.current.version == 6);
}
