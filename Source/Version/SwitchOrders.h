#pragma once

#include <cstdint>

#include "Version/RankSwitch.h"

namespace wisteria {

// Steps that the phases of a change share: versions, and orders that are given again.

/// Begins a phase of the change.
void enterPhase(GroupSwitch &group, SwitchPhase phase, TimePoint now);

/// A version above all that are known of and that no other leader uses: each leader has the numbers
/// that are its rank's in every thousand. Two leaders that don't know of each other once took the
/// same number for different maps, and ranks began a pass on both.
std::uint64_t newVersion(GroupSwitch &group, const LeaderIdentity &leader);

/// Asks a rank for an order unless that was done a moment ago.
void requestOrder(GroupSwitch &group, SwitchUpdate &update, const SwitchTiming &timing,
                  std::uint32_t rank, RankOrder order, TimePoint now);

/// Lets the map in force be the one that changes go on from. Sidecars work out version 0 by
/// themselves, so it has to be what they think it is.
void setBase(GroupSwitch &group, const ExpertProfile &profile, const RankMap &current);

} // namespace wisteria
