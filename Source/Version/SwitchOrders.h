#pragma once

#include <cstdint>

#include "Version/RankSwitch.h"

namespace wisteria {

// Operations that the phases of a switch share: version numbers, and sending orders again.

/// Enters a phase of the switch, and clears the pending orders.
void enterPhase(GroupSwitch &group, SwitchPhase phase, TimePoint now);

/// Returns a version above all known ones that no other leader uses: within each block of
/// ranksPerVersionTick numbers a leader uses only the one at its rank's offset. If two leaders that
/// don't know of each other used the same number for different maps, ranks could begin a pass on
/// both maps.
std::uint64_t newVersion(GroupSwitch &group, const LeaderIdentity &leader);

/// Sets the version that the leader brings into force together with its map, and clears what is
/// known of the version before. A map, proposal or time that stayed would be taken for the new
/// version's.
/// @param map Empty for version 0 and for another leader's version, whose map is not known here.
void setVersion(GroupSwitch &group, std::uint64_t version, RankMap map);

/// Adds an action with the order for a rank, unless the same order was requested within its resend
/// interval.
void requestOrder(GroupSwitch &group, SwitchUpdate &update, const SwitchTiming &timing,
                  std::uint32_t rank, RankOrder order, TimePoint now);

/// Makes the map in force the base for sending maps as changes. Sidecars compute the map of version
/// 0 themselves, so a different map under version 0 is not used as a base.
void setBase(GroupSwitch &group, const ExpertProfile &profile, const RankMap &current);

} // namespace wisteria
