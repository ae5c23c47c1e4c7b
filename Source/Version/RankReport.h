#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteria {

/// The state of a model engine, and of its rank where it is one of a group's.
struct RankReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
    /// Above 1 for an engine slower than usual.
    double slowdown = 1;
    /// Orders that began something since the start.
    std::uint64_t orders = 0;
    std::string group;
    /// Changes whenever the group forms anew, which clears all maps.
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    std::uint32_t groupSize = 0;
    bool groupOpen = false;
    /// The last pass that was begun.
    std::uint64_t pass = 0;
    /// Version of the map in use.
    std::uint64_t map = 0;
    /// Version whose experts are all loaded; 0 for none.
    std::uint64_t prepared = 0;
    /// Version and pass that a switch is armed for; 0 for none.
    std::uint64_t armed = 0;
    std::uint64_t armedPass = 0;
    /// Pass that the group does not begin until it is told to; nothing when not held.
    std::optional<std::uint64_t> heldPass{};
};

/// How often the requests of one rank chose each expert since the rank started.
struct ExpertCounts
{
    std::uint64_t epoch = 0;
    std::uint64_t pass = 0;
    /// One set of experts after the other.
    std::vector<std::uint64_t> counts;
};

/// Experts by set and rank.
using RankMap = std::vector<std::vector<std::vector<std::uint32_t>>>;

/// What an order makes a rank do.
enum class RankOrderKind { Prepare, Arm, Disarm, Hold, Release };

/// The order's name, for logs and metrics.
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

struct RankOrder
{
    RankOrderKind kind = RankOrderKind::Prepare;
    std::uint64_t epoch = 0;
    /// Map version; for all but Hold and Go.
    std::uint64_t version = 0;
    /// Pass; for Arm, Hold and Go.
    std::uint64_t pass = 0;
    /// For Prepare.
    RankMap map{};
};

} // namespace wisteria
