#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Version/RankSwitch.h"

namespace wisteria {

// Read-only queries on the leader's view of a group.

/// Whether the rank is armed to switch to the version when that pass begins.
bool isArmed(const RankReport &report, std::uint64_t version, std::uint64_t pass);

/// Whether the rank reports the version as prepared, armed or in force.
bool hasVersion(const RankReport &report, std::uint64_t version);

/// Whether the rank can never switch to the version: it has had a higher one, after which ranks
/// refuse lower ones. Unlike a rank that merely does not report the version, this stays true
/// however old the status is.
bool hasSuperseded(const RankReport &report, std::uint64_t version);
/// Whether hasSuperseded() is true for any known rank.
bool anyHasSuperseded(const GroupSwitch &group, std::uint64_t version);

/// Whether a rank is known to be armed for any version.
bool anyArmed(const GroupSwitch &group);

/// Whether every rank has a status of the current epoch that reports the group open and that was
/// received within statusLifetime.
bool allRanksCurrent(const GroupSwitch &group, const SwitchTiming &timing, TimePoint now);

/// The same for all ranks except one.
bool allRanksCurrentExcept(const GroupSwitch &group, std::uint32_t rank, const SwitchTiming &timing,
                           TimePoint now);

/// Whether a status of every rank of the current epoch is known, however old.
bool allRanksKnown(const GroupSwitch &group);

/// Returns the number of ranks of the group, as a known rank reports it; 0 while none is known.
std::uint32_t groupSizeOf(const GroupSwitch &group);

/// Returns the rank that a leader orders to hold the group: the one after its own. So two leaders
/// never use the same rank, and no leader uses the engine on its own VM, which would freeze with
/// it.
std::uint32_t holderOf(std::uint32_t leaderRank, std::uint32_t groupSize);

/// Returns the rank beside the leader that orders this rank to hold the group.
std::uint32_t leaderOfHolder(std::uint32_t holder, std::uint32_t groupSize);

/// Returns the latest pass that any rank is known to have begun.
std::uint64_t latestPass(const GroupSwitch &group);

/// Returns the map in force, composed of the known ranks' experts; empty when the statuses are not
/// all of the same version, a status lacks its experts, or no rank is known.
RankMap currentMap(const GroupSwitch &group, const ExpertProfile &profile);

/// The same, but one rank may be unknown: it is assumed to have the experts that no other rank has.
/// Empty when two or more are unknown.
RankMap currentMapInferringOne(const GroupSwitch &group, const ExpertProfile &profile);

/// Whether this leader's search chose the map of the current version, so that its skew is known.
bool hasProposal(const GroupSwitch &group);

/// Returns the versions whose complete map the leader has, so that ranks on them may omit their
/// experts.
std::vector<std::uint64_t> knownMaps(const GroupSwitch &group);

/// Returns the number of ranks whose last status was received longer ago than the timeout.
std::size_t unresponsiveRanks(const GroupSwitch &group, milliseconds timeout, TimePoint now);

/// Returns the slowdown of each known rank, above 1 for one slower than usual.
std::vector<double> slowdownsOf(const GroupSwitch &group);

/// Returns every hold that is known.
std::vector<GroupHold> holdsOf(const GroupSwitch &group);

/// Returns the version and pass for which every rank is armed or has switched already; empty when
/// there is none, no rank is armed any more, or a rank is unknown.
std::optional<ArmedSwitch> commonArmedSwitch(const GroupSwitch &group);

} // namespace wisteria
