#pragma once

#include <cstdint>
#include <optional>

#include "Version/MapSwitchActions.h"
#include "Version/MapSwitchLog.h"
#include "Version/MapSwitchTypes.h"

namespace wisteria {

/// The attempt that a rank works for at present.
struct RankCandidate
{
    SwitchKey key;
    v1::ExpertMap map;
    std::uint32_t coordinator = 0;
    bool armWanted = false;
    /// First step on the new map; set with armWanted.
    std::uint64_t step = 0;
    /// Newest join that the coordinator knew; set with armWanted.
    Offset membersVersion = std::numeric_limits<Offset>::max();
    /// An order to arm has been sent to the engine: from here on the promise may stand there.
    bool armOrdered = false;
    TimePoint armOrderedAt;
    /// The engine has confirmed that it holds; the promise to the coordinator.
    bool armed = false;
    std::optional<TimePoint> abortSentAt;
    v1::RankRefusal refusal = v1::RANK_REFUSAL_UNSPECIFIED;
    bool stageOrdered = false;
    bool stagedReported = false;
    bool armedReported = false;
};

/// An order to the engine that was not answered yet.
struct OrderInFlight
{
    EngineOrder order;
    TimePoint sentAt;
};

/// State of the agent beside one rank.
struct RankState
{
    Member self;
    /// Whether the engine refuses old fencing numbers by itself.
    bool engineChecksFencing = false;
    bool draining = false;
    TimePoint startedAt;
    std::optional<TimePoint> joinSentAt;
    /// Offset of this incarnation's join, once read back.
    Offset joinOffset = 0;
    /// When the log last answered a read.
    std::optional<TimePoint> logAnsweredAt;
    /// Highest fencing token seen on an order or in the stream.
    std::uint64_t highestToken = 0;
    /// Newest status, unless an order's answer was lost since.
    std::optional<EngineStatus> engine;
    std::optional<std::uint64_t> engineIncarnation;
    /// Step that this engine stood at when it was first seen.
    std::uint64_t engineFirstStep = 0;
    TimePoint engineAskedAt;
    std::uint64_t lastSequence = 0;
    std::optional<OrderInFlight> order;
    /// When the newest order that has an effect was sent.
    std::optional<TimePoint> effectSentAt;
    std::optional<RankCandidate> candidate;
    /// Highest attempt that its coordinator gave up.
    SwitchKey cancelled;
    /// Since when the engine is known to be held.
    std::optional<TimePoint> heldSince;
};

/// What a rank's decisions depend on besides its own state.
struct MapSwitchContext
{
    const GroupState &group;
    const MapSwitchTiming &timing;
    const MapSwitchGuards &guards;
};

/// Takes an order of a coordinator. Orders may come late, twice and out of sequence.
void onGroupOrder(RankState &state, const MapSwitchContext &context, TimePoint now,
                  std::uint32_t fromRank, const v1::GroupMessage &message,
                  MapSwitchActions &actions);

/// Takes the engine's answer to the order with this sequence number.
void onEngineStatus(RankState &state, const MapSwitchContext &context, TimePoint now,
                    std::uint64_t sequence, const EngineStatus &status);

/// Does what is due at `now`: join, abort, and the next order to the engine. Call it after each
/// event and timer.
void advanceRank(RankState &state, const MapSwitchContext &context, TimePoint now,
                 MapSwitchActions &actions);

/// Whether a newer incarnation of the rank stands in the stream; this one takes no part any more.
bool isSuperseded(const RankState &state, const GroupState &group);

/// Whether this incarnation's join was read back and no newer one stands in the stream.
bool isMember(const RankState &state, const GroupState &group);

/// Whether the rank can't run steps for longer than a moment, so that callers are refused with
/// REASON_MAP_SWITCH.
bool isStalled(const RankState &state, const MapSwitchContext &context, TimePoint now);

} // namespace wisteria
