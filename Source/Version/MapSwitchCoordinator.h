#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Version/Lease.h"
#include "Version/MapSwitchActions.h"
#include "Version/MapSwitchRank.h"

namespace wisteria {

/// Where an attempt stands.
enum class AttemptPhase { Staging, Arming, Deciding };

/// What a rank last reported on the present attempt.
struct RankProgress
{
    std::uint64_t incarnation = 0;
    std::uint64_t step = 0;
    bool staged = false;
    bool armed = false;
    v1::RankRefusal refusal = v1::RANK_REFUSAL_UNSPECIFIED;
};

/// An attempt at a switch that this coordinator drives.
struct SwitchAttempt
{
    SwitchKey key;
    v1::ExpertMap map;
    AttemptPhase phase = AttemptPhase::Staging;
    /// When the attempt at this map began, and when its present phase did.
    TimePoint begunAt;
    TimePoint phaseAt;
    std::optional<TimePoint> sentAt;
    Offset membersVersion = 0;
    std::uint64_t step = 0;
    std::map<std::uint32_t, RankProgress> progress;
};

/// How the newest wanted map fared, for metrics and the placement policy.
enum class SwitchResult { None, InForce, StagingFailed, GaveUp };

/// State of the coordinator inside each agent; only the holder of the lease acts.
struct CoordinatorState
{
    LeaseState lease;
    std::uint32_t ranks = 0;
    bool draining = false;
    /// Map that the placement policy wants in force.
    std::optional<v1::ExpertMap> wanted;
    std::optional<SwitchAttempt> attempt;
    /// Token that `lastNumber` counts under.
    Offset token = 0;
    std::uint32_t lastNumber = 0;
    /// Attempts at the wanted map so far, and from when on the next may begin.
    std::uint32_t attempts = 0;
    TimePoint notBefore;
    SwitchResult result = SwitchResult::None;
};

/// Asks for a map. It replaces one that was wanted before; an attempt whose ranks are arming ends
/// first.
void wantMap(CoordinatorState &state, const v1::ExpertMap &map);

/// Takes a rank's report; reports on other attempts are ignored.
void onRankReport(CoordinatorState &state, const v1::RankReport &report);

/// Does what is due at `now`: lease records, orders, the commit. Call it after each event and
/// timer.
/// @param logAnsweredAt When the log last answered a read, if ever.
void advanceCoordinator(CoordinatorState &state, const MapSwitchContext &context, TimePoint now,
                        std::optional<TimePoint> logAnsweredAt, bool isMember,
                        MapSwitchActions &actions);

} // namespace wisteria
