#pragma once

#include "Version/RankSwitch.h"

namespace wisteria {

/// Takes in how often ranks of the group chose each expert lately.
///
/// The counts of one question make up a window. When a window shows that demand has shifted, all
/// that was known is forgotten. A window of several passes is left out as well, as it holds counts
/// of before and after: a map made for the mixture fits neither, and another switch would have to
/// follow.
void addDemand(GroupSwitch &group, const ExpertProfile &profile, const SwitchTiming &timing,
               const CountsReply &reply, TimePoint now);

/// Ends a window whose counts should all have arrived: a rank may be gone, or an answer lost.
void closeOverdueWindow(GroupSwitch &group, const ExpertProfile &profile,
                        const SwitchTiming &timing, TimePoint now);

} // namespace wisteria
