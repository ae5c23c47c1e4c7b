#pragma once

#include <cstdint>

#include "Version/MapSwitchActions.h"
#include "Version/MapSwitchCoordinator.h"
#include "Version/MapSwitchLog.h"
#include "Version/MapSwitchRank.h"

namespace wisteria {

/// Everything that one agent knows and does for its group: the replayed stream, its own rank, and
/// the coordinator that acts while this agent holds the lease.
struct GroupAgent
{
    MapSwitchTiming timing;
    MapSwitchGuards guards;
    GroupState group;
    RankState rank;
    CoordinatorState coordinator;
};

/// An agent that starts now and has read nothing yet.
GroupAgent makeGroupAgent(const Member &self, std::uint32_t ranks, const MapSwitchTiming &timing,
                          const MapSwitchGuards &guards, TimePoint now);

/// The log answered a read. Give it the records first.
void onLogAnswered(GroupAgent &agent, TimePoint now);

/// Takes a message of another agent of the group, or of this one to itself.
void onGroupMessage(GroupAgent &agent, TimePoint now, std::uint32_t fromRank,
                    const v1::GroupMessage &message, MapSwitchActions &actions);

/// Takes the engine's answer to the order with this sequence number.
void onEngineAnswer(GroupAgent &agent, TimePoint now, std::uint64_t sequence,
                    const EngineStatus &status);

/// Does what is due at `now`. Call it after each event and at least every few milliseconds.
void advanceGroupAgent(GroupAgent &agent, TimePoint now, MapSwitchActions &actions);

/// Whether the request gate must refuse callers with REASON_MAP_SWITCH.
bool refusesCallers(const GroupAgent &agent, TimePoint now);

} // namespace wisteria
