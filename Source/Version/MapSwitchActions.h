#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "Version/LogRecord.h"
#include "Version/MapSwitchTypes.h"

namespace wisteria {

/// Value of EngineStatus::holdAt when the engine is not held.
inline constexpr std::uint64_t notHeld = std::numeric_limits<std::uint64_t>::max();

/// What an engine says about itself; the answer to every order.
struct EngineStatus
{
    /// Changes when the engine restarts.
    std::uint64_t incarnation = 0;
    /// Step begun last.
    std::uint64_t step = 0;
    /// First step that it must not begin; 0 when it starts.
    std::uint64_t holdAt = 0;
    Offset activeVersion = 0;
    /// Map that takes over at `nextFromStep`; 0 when none is scheduled.
    Offset nextVersion = 0;
    std::uint64_t nextFromStep = 0;
    /// Map whose weights are loaded and wait to be applied.
    std::string stagedDigest;
    /// Map whose weights are being loaded.
    std::string stagingDigest;
    /// Map whose weights could not be loaded.
    std::string failedDigest;
};

enum class EngineOrderKind {
    Query, ///< Answer with the status, no effect.
    Stage, ///< Load the weights of `map`.
    Arm, ///< Don't begin `step`.
    Apply, ///< Run steps from `step` on with the staged map, as `version`.
    Release, ///< Lift the hold.
};

/// An order to the engine beside the agent.
struct EngineOrder
{
    EngineOrderKind kind = EngineOrderKind::Query;
    /// Pairs the answer with the order.
    std::uint64_t sequence = 0;
    /// Fencing number; engines that check it refuse lower ones than they have seen.
    std::uint64_t fence = 0;
    v1::ExpertMap map;
    Offset version = 0;
    std::uint64_t step = 0;
    /// For Apply: lift the hold in the same order.
    bool release = false;
};

/// Append a record to the group's stream. Its outcome is what is read back.
struct AppendAction
{
    v1::GroupRecord record;
};

/// Send a message to the agent of a rank, which may be this one.
struct SendAction
{
    std::uint32_t rank = 0;
    v1::GroupMessage message;
};

/// Send an order to the engine beside this agent.
struct EngineAction
{
    EngineOrder order;
};

using MapSwitchAction = std::variant<AppendAction, SendAction, EngineAction>;
using MapSwitchActions = std::vector<MapSwitchAction>;

} // namespace wisteria
