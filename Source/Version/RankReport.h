#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// Maximum number of ranks of a group.
inline constexpr std::uint32_t maxGroupRanks = 4096;

/// More requests than any engine runs, or holds waiting. The sum of both fits into 32 bits.
inline constexpr std::uint32_t maxRequests = 1'000'000;

/// State of a model engine, and of its rank if it belongs to a group.
struct RankReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
    /// Above 1 for an engine slower than usual.
    double slowdown = 1;
    /// Number of orders since the engine's start that took effect.
    std::uint64_t orders = 0;
    std::string group;
    /// Changes whenever the group forms again, which clears all maps.
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    std::uint32_t groupSize = 0;
    /// The group accepts work.
    bool groupOpen = false;
    /// Latest forward pass (pass for short) that was begun.
    std::uint64_t pass = 0;
    /// Version of the map in force.
    std::uint64_t map = 0;
    /// Version whose experts are all copied; 0 for none.
    std::uint64_t prepared = 0;
    /// Version that the rank is armed to switch to; 0 for none.
    std::uint64_t armed = 0;
    /// Pass at whose beginning it switches.
    std::uint64_t armedPass = 0;
    /// Pass that the group does not begin until the hold is released; empty when not held.
    std::optional<std::uint64_t> heldPass{};
};

/// Checks a report that another process wrote. Its numbers become sizes and indexes, and the epoch
/// and versions that a leader goes on from.
/// @return BadInput when a number is beyond any that a sound engine reports.
Result<void> checkReport(const RankReport &report);

/// Largest count of an expert. The sums of all ranks fit into 64 bits, and a double holds each.
inline constexpr std::uint64_t maxExpertCount = std::uint64_t{1} << 51;

/// How often the requests of one rank chose each expert since the rank started.
struct ExpertCounts
{
    std::uint64_t epoch = 0;
    std::uint64_t pass = 0;
    /// One set of experts after the other.
    std::vector<std::uint64_t> counts;
};

/// The expert map of a group as its ranks report it: experts by set and rank. A set is one or more
/// layers that share one map. ExpertMap is the placement policies' map, by layer.
using RankMap = std::vector<std::vector<std::vector<std::uint32_t>>>;

/// Kind of order to a rank.
enum class RankOrderKind { Prepare, Arm, Disarm, Hold, Release };

/// Returns the order's name for logs and metrics.
inline const char *orderName(RankOrderKind kind)
{
    switch (kind) {
    case RankOrderKind::Prepare:
        return "prepare";
    case RankOrderKind::Arm:
        return "arm";
    case RankOrderKind::Disarm:
        return "disarm";
    case RankOrderKind::Hold:
        return "hold";
    case RankOrderKind::Release:
        return "go";
    }
    return "";
}

/// Order of a group's leader to a rank. Idempotent.
struct RankOrder
{
    RankOrderKind kind = RankOrderKind::Prepare;
    std::uint64_t epoch = 0;
    /// Map version; for Prepare, Arm and Disarm.
    std::uint64_t version = 0;
    /// Pass; for Arm, Hold and Release.
    std::uint64_t pass = 0;
    /// The new map; for Prepare.
    RankMap map{};
};

} // namespace wisteria
