#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <catch2/catch.hpp>

#include "Request/RequestWorld.h"

using namespace wisteria;
using namespace wisteria::test;

namespace {

std::vector<PlacedFault> everyFault()
{
    std::vector<PlacedFault> faults;
    for (int step = 0; step < stepCount; ++step) {
        for (int fault = 0; fault < faultCount; ++fault)
            faults.push_back({static_cast<Step>(step), static_cast<Fault>(fault)});
    }
    return faults;
}

bool has(const std::vector<PlacedFault> &faults, Fault wanted)
{
    return std::any_of(faults.begin(), faults.end(),
                       [wanted](const PlacedFault &placed) { return placed.fault == wanted; });
}

struct Scenario
{
    std::string name;
    bool idempotent;
    int agents;
};

const std::vector<Scenario> scenarios = {
    {"idempotent", true, 3}, {"keyed", false, 3}, {"keyed, single server", false, 1}};

struct CellResult
{
    std::vector<std::string> violations;
    bool applied = false;
};

/// Runs one cell of the matrix: one request with the faults and two without, for 8 s of virtual
/// time.
/// @return The violated invariants, and whether every fault applied to a message.
CellResult runCell(const std::vector<PlacedFault> &faults, const Scenario &scenario,
                   const RequestGuards &guards)
{
    WorldOptions options;
    options.faults = faults;
    options.guards = guards;
    options.agents = scenario.agents;
    const bool joined = has(faults, Fault::OwnerJoinedBefore);
    options.lastAgentJoins = (joined || has(faults, Fault::OwnerJoined)) && scenario.agents > 1;
    RequestWorld world(options);
    if (joined && options.lastAgentJoins) {
        world.setDraining(options.agents - 1, false, false);
        world.run(seconds(6));
    }
    const CallerRequest request = scenario.idempotent ? world.idempotentRequest("door 7")
        : options.lastAgentJoins                      ? world.keyedForLastAgent("door 7")
                                                      : world.keyedRequest("door 7");
    world.callWithRetries(world.idempotentRequest("neighbour 1"), 0, false);
    world.callWithRetries(world.keyedRequest("neighbour 2"), 1, false);
    world.callWithRetries(request, 0, true);
    world.run(seconds(8));
    return {world.violations(), world.allFaultsApplied()};
}

std::string describe(const std::vector<PlacedFault> &faults)
{
    std::string text;
    for (const PlacedFault &placed : faults)
        text += (text.empty() ? "" : " + ") + nameOf(placed.fault) + " at " + nameOf(placed.step);
    return text;
}

struct MatrixCount
{
    int held = 0;
    int notApplied = 0;
    std::string firstViolation;
};

/// Runs cells of two faults, or of one without `pairs`, until one violates an invariant.
MatrixCount runMatrix(const Scenario &scenario, const RequestGuards &guards, bool pairs)
{
    const auto faults = everyFault();
    MatrixCount count;
    for (std::size_t first = 0; first < faults.size(); ++first) {
        const std::size_t end = pairs ? faults.size() : first + 1;
        for (std::size_t second = pairs ? first + 1 : first; second < end; ++second) {
            std::vector<PlacedFault> cell = {faults[first]};
            if (pairs)
                cell.push_back(faults[second]);
            const CellResult result = runCell(cell, scenario, guards);
            if (!result.violations.empty()) {
                count.firstViolation =
                    scenario.name + ", " + describe(cell) + ": " + result.violations.front();
                return count;
            }
            ++(result.applied ? count.held : count.notApplied);
        }
    }
    return count;
}

/// Rows are faults, columns steps: "+" invariants held, "-" the fault has no effect there, "X" an
/// invariant was violated.
std::string grid(const Scenario &scenario)
{
    std::string text = scenario.name + "\n";
    for (int fault = 0; fault < faultCount; ++fault) {
        std::string row = nameOf(static_cast<Fault>(fault));
        row.resize(20, ' ');
        for (int step = 0; step < stepCount; ++step) {
            const PlacedFault placed{static_cast<Step>(step), static_cast<Fault>(fault)};
            const CellResult result = runCell({placed}, scenario, {});
            row += !result.violations.empty() ? " X" : result.applied ? " +" : " -";
        }
        text += row + "\n";
    }
    return text;
}

std::string summary()
{
    std::string text = "steps:";
    for (int step = 0; step < stepCount; ++step)
        text += (step == 0 ? " " : ", ") + nameOf(static_cast<Step>(step));
    text += "\n";
    for (const Scenario &scenario : scenarios) {
        const MatrixCount pairs = runMatrix(scenario, {}, true);
        text += "\n" + grid(scenario) + "pairs: " + std::to_string(pairs.held) + " held, "
            + std::to_string(pairs.notApplied) + " where a fault meets nothing, first breached: "
            + (pairs.firstViolation.empty() ? "none" : pairs.firstViolation) + "\n";
    }
    return text;
}

std::string goldenText(const std::string &name)
{
    const std::ifstream file(std::string(WISTERIA_TEST_DATA) + "/Golden/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("Without a fault every caller gets an answer at the first try")
{
    for (const bool idempotent : {false, true}) {
        RequestWorld world((WorldOptions()));
        world.callWithRetries(
            idempotent ? world.idempotentRequest("door 7") : world.keyedRequest("door 7"), 0, true);
        world.run(seconds(2));
        REQUIRE(world.calls.size() == 1);
        CHECK(world.calls[0]->result == CallResult::Answer);
        CHECK(world.violations().empty());
    }
}

TEST_CASE("No fault, and no two faults, at any steps of a request break a promise")
{
    const std::string found = summary();
    std::cout << found;
    CHECK(found.find(" X") == std::string::npos);
    CHECK(found == goldenText("request-matrix.txt"));
}

TEST_CASE("No three faults of a seeded sample break a promise")
{
    constexpr int sample = 6000;
    std::mt19937 random(20261202);
    const auto faults = everyFault();
    for (const Scenario &scenario : scenarios) {
        int applied = 0;
        for (int i = 0; i < sample; ++i) {
            std::vector<PlacedFault> cell;
            for (int fault = 0; fault < 3; ++fault)
                cell.push_back(faults[random() % faults.size()]);
            const CellResult result = runCell(cell, scenario, {});
            applied += result.applied ? 1 : 0;
            const std::string violation =
                result.violations.empty() ? "none" : result.violations.front();
            INFO(scenario.name << ", " << describe(cell));
            REQUIRE(violation == "none");
        }
        std::cout << scenario.name << ": " << applied << " of " << sample
                  << " triples met, none breached\n";
    }
}

// The guard of refused tries is needed only with three faults; AtMostOnceTest.cpp switches it off.
TEST_CASE("Without any one of the guards a request with faults violates an invariant")
{
    struct Mutation
    {
        std::string name;
        bool RequestGuards::*guard;
        std::size_t scenario;
        std::vector<PlacedFault> cell;
    };
    const std::vector<Mutation> mutations = {
        {"dropForeignFrames",
         &RequestGuards::dropForeignFrames,
         1,
         {{Step::EntryToAgent, Fault::SenderKilled}, {Step::AgentVerdict, Fault::Misdelivered}}},
        {"rememberMayHaveRun",
         &RequestGuards::rememberMayHaveRun,
         0,
         {{Step::EntryToAgent, Fault::Late}}},
        {"repeatsNeedProof",
         &RequestGuards::repeatsNeedProof,
         1,
         {{Step::EntryToAgent, Fault::ReceiverFrozen}}},
        {"ownerOnly",
         &RequestGuards::ownerOnly,
         1,
         {{Step::CallerToEntry, Fault::OwnerJoinedBefore},
          {Step::CallerToEntry, Fault::CallerRepeats}}},
        {"keyMemory", &RequestGuards::keyMemory, 1, {{Step::CallerToEntry, Fault::CallerRepeats}}},
        {"keyFloor", &RequestGuards::keyFloor, 2, {{Step::AgentToBackend, Fault::SenderRestarted}}},
        {"ownership",
         &RequestGuards::ownership,
         1,
         {{Step::CallerToEntry, Fault::OwnerJoined}, {Step::CallerToEntry, Fault::CallerRepeats}}},
        {"queueDeadline",
         &RequestGuards::queueDeadline,
         0,
         {{Step::EntryToAgent, Fault::Duplicated}, {Step::BackendToAgent, Fault::ReceiverFrozen}}},
    };
    for (const Mutation &mutation : mutations) {
        const Scenario &scenario = scenarios[mutation.scenario];
        RequestGuards guards;
        CHECK(runCell(mutation.cell, scenario, guards).violations.empty());
        guards.*mutation.guard = false;
        const auto violations = runCell(mutation.cell, scenario, guards).violations;
        const std::string seen = violations.empty() ? "nothing" : violations.front();
        std::cout << mutation.name << " off: " << scenario.name << ", " << describe(mutation.cell)
                  << ": " << seen << "\n";
        CHECK(seen != "nothing");
    }
}
