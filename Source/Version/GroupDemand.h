#pragma once

#include "Version/RankSwitch.h"

namespace wisteria {

/// Adds counts of how often ranks of the group chose each expert since the last CountsPoll.
///
/// The counts that answer one poll form a window. When a window shows that the demand has
/// shifted, the earlier demand is discarded. If that window covers several passes, it is discarded
/// too, because it mixes counts from before and after the shift: a map for the mixture fits neither
/// demand and would need another switch.
void addDemand(GroupSwitch &group, const ExpertProfile &profile, const SwitchTiming &timing,
               const CountsReply &reply, TimePoint now);

/// Closes a window that has waited longer than SwitchTiming::countsWindow for counts: a rank may be
/// gone, or a reply lost.
void closeOverdueWindow(GroupSwitch &group, const ExpertProfile &profile,
                        const SwitchTiming &timing, TimePoint now);

} // namespace wisteria
