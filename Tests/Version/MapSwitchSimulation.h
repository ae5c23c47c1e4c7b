#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Version/MapSwitchAgent.h"

namespace wisteria::test {

/// Messages and steps of a switch that a fault can hit.
enum class Point {
    StageOrder,
    StageReport,
    ArmOrder,
    ArmReport,
    CancelOrder,
    EngineStart,
    EngineStage,
    EngineArm,
    EngineApply,
    EngineRelease,
    AppendClaim,
    AppendRenewal,
    AppendJoin,
    AppendCommit,
    AppendAbort,
    ReadClaim,
    ReadCommit,
    ReadAbort,
    Count
};

enum class FaultKind {
    Lost,
    Late,
    Duplicated,
    SenderKilled,
    ReceiverKilled,
    SenderFrozen,
    LogDown,
    AnswerLost,
    RankReplaced,
    Count
};

const char *nameOf(Point point);
const char *nameOf(FaultKind kind);

/// One fault, at the first message of its kind (at rank 1 where a rank can be chosen).
struct Fault
{
    Point point;
    FaultKind kind;
};

struct SimulationOptions
{
    bool engineChecksFencing = false;
    MapSwitchGuards guards;
    std::uint64_t stepsAhead = 2;
    /// Slow orders and lost commits in the base run, so that cancels and aborts occur in it.
    bool disturbed = false;
    /// Milliseconds that an append takes until it is read.
    milliseconds appendDelay{5};
    /// Longest pause between two steps that is no violation.
    milliseconds stallBound{1400};
};

struct SimulationResult
{
    /// First broken invariant; empty when all held.
    std::string violation;
    /// Slow orders and lost commits in the base run, so that cancels and aborts occur in it.
    bool disturbed = false;
    /// Longest pause between two steps of the group.
    milliseconds longestStall{0};
    std::uint64_t steps = 0;
    /// Messages of every kind, and those between agents alone.
    std::uint64_t messages = 0;
    std::uint64_t groupMessages = 0;
    std::uint64_t appends = 0;
    /// Faults that met their message.
    std::size_t fired = 0;
};

/// The other way that was weighed: a leader stamps every step with the map's version, and a rank
/// begins a step once it has the stamp. Same run time, step time and network delay.
/// @param leaderFrozen How long the leader stands still once; another takes over after its lease.
SimulationResult simulateStamps(milliseconds leaderFrozen);

/// Runs a group of three ranks through two switches in virtual time, with faults put in.
SimulationResult simulate(const std::vector<Fault> &faults, const SimulationOptions &options);

} // namespace wisteria::test
