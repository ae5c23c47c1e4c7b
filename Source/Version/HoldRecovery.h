#pragma once

#include "Version/RankSwitch.h"

namespace wisteria {

// What is done with a group that another leader has had held, or this one for a version that is
// lost. It answers leaders that die or freeze between hold and go: no stream of the group moves.

/// Whether this leader had the pass held for its present version.
bool isOwnHold(const GroupSwitch &group, const GroupHold &held);

/// Whether the group is held by somebody else, and enough ranks are known to let it go.
bool heldByOther(const GroupSwitch &group, const SwitchTiming &timing, TimePoint now);

/// Takes over a group that somebody else left held, or holds now.
void takeOver(GroupSwitch &group, SwitchUpdate &update, TimePoint now);

/// Brings the ranks of a held group to a version that nobody arms, and lets the group go. An armed
/// rank is only disarmed once another one lacks its version for good: as long as all may still be
/// armed for it, another leader may have seen them so and let the group go. A rank that is not
/// armed takes the new version, and from then on lacks the older ones for good.
void advanceRecovery(GroupSwitch &group, const ExpertProfile &profile, const SwitchTiming &timing,
                     const LeaderIdentity &leader, SwitchUpdate &update, TimePoint now);

} // namespace wisteria
