#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Version/RankSwitch.h"

namespace wisteria {

// What the leader's view of a group says. Nothing here changes the group.

/// Whether the rank is to switch to the version as that pass begins.
bool isArmed(const RankReport &report, std::uint64_t version, std::uint64_t pass);

/// Whether the rank shows the version, in whatever state.
bool hasVersion(const RankReport &report, std::uint64_t version);

/// Whether the rank can never switch to the version any more: it has had a higher one, and ranks
/// refuse lower ones then. Unlike a rank that merely does not show the version, this stays true
/// however long ago it was read.
bool hasSuperseded(const RankReport &report, std::uint64_t version);
bool anyHasSuperseded(const GroupSwitch &group, std::uint64_t version);

/// Whether a rank is known to be armed for any version.
bool anyArmed(const GroupSwitch &group);

/// Every rank of the group is known, in the same epoch, and lately.
bool allRanksCurrent(const GroupSwitch &group, const SwitchTiming &timing, TimePoint now);

/// The same, leaving one rank out of account.
bool allRanksCurrentExcept(const GroupSwitch &group, std::uint32_t rank, const SwitchTiming &timing,
                           TimePoint now);

/// Ranks of the group, as the known ones tell; 0 while none is known.
std::uint32_t groupSizeOf(const GroupSwitch &group);

/// The rank that a leader has hold the group: the one after its own, so that no two leaders use the
/// same one, and none the engine that freezes together with the leader.
std::uint32_t holderOf(std::uint32_t leaderRank, std::uint32_t groupSize);

/// The rank beside the leader that has this one hold the group.
std::uint32_t leaderOfHolder(std::uint32_t holder, std::uint32_t groupSize);

/// The last pass that any rank is known to have begun.
std::uint64_t latestPass(const GroupSwitch &group);

/// The map in force, put together from what each rank holds; empty when the ranks' lists are not
/// all of the same version, or no rank is known.
RankMap currentMap(const GroupSwitch &group, const ExpertProfile &profile);

/// The same where one rank may be unknown: it holds at least what no other rank does.
RankMap currentMapOfKnown(const GroupSwitch &group, const ExpertProfile &profile);

/// Versions of maps that are known whole, so that ranks on them need not name their experts.
std::vector<std::uint64_t> knownMaps(const GroupSwitch &group);

/// Ranks that have not been heard of for a while.
std::size_t unresponsiveRanks(const GroupSwitch &group, milliseconds silentAfter, TimePoint now);

/// Pace of each rank, above 1 for one slower than usual.
std::vector<double> slowdownsOf(const GroupSwitch &group);

/// Every hold that is known.
std::vector<GroupHold> holdsOf(const GroupSwitch &group);

/// The version and pass that every rank is armed for, or has switched to already.
std::optional<ArmedSwitch> commonArmedSwitch(const GroupSwitch &group);

} // namespace wisteria
