#pragma once

#include "Version/RankSwitch.h"

namespace wisteria {

// Recovery of a held group whose hold belongs to another leader, or to this one for a version that
// a rank has superseded. Without it, a leader that dies or freezes between hold and release would
// stall every stream of the group.

/// Whether this leader ordered the hold for its current version.
bool isOwnHold(const GroupSwitch &group, const GroupHold &hold);

/// Whether another leader has the group held, and the statuses of all ranks, except possibly the
/// one beside that leader, are current, so that the hold can be recovered.
bool heldByOther(const GroupSwitch &group, const SwitchTiming &timing, TimePoint now);

/// Starts the recovery of a group that another leader has held, whether that leader lives or not.
void takeOver(GroupSwitch &group, SwitchUpdate &update, TimePoint now);

/// Has the ranks of a held group prepare a new version for which no rank is armed, and releases the
/// hold. An armed rank is disarmed only after some rank has superseded its version: until then all
/// ranks may be armed for it, and another leader may have seen that and released the group. An
/// unarmed rank prepares the new version, and from then on refuses the older ones.
void advanceRecovery(GroupSwitch &group, const ExpertProfile &profile, const SwitchTiming &timing,
                     const LeaderIdentity &leader, SwitchUpdate &update, TimePoint now);

} // namespace wisteria
