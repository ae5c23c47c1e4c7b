#pragma once

#include <optional>
#include <string>

#include "Config.pb.h"
#include "Peer.pb.h"
#include "Process/Error.h"
#include "Version/Placement.h"

namespace wisteria {

/// A map that was asked for and whose switch has not ended.
struct WantedMap
{
    PlacementDecision decision;
    v1::ExpertMap encoded;
    TimePoint since;
};

/// Placement of one group while its agent coordinates. A plain value; begun anew with each lease,
/// since another coordinator may have switched maps in between.
struct PlacementSession
{
    RankGroup group;
    PlacementState state;
    /// Map that the state stands on.
    ExpertMap present;
    std::optional<WantedMap> wanted;
    /// Replicas that switches in force have loaded so far, for metrics.
    std::uint64_t moves = 0;
    std::uint64_t switches = 0;
};

/// After this time without its switch a wanted map is given up.
constexpr milliseconds wantedTimeout{180'000};

/// The group as its service declares it.
RankGroup groupOf(const v1::ExpertSpread &spread);

/// Begins on the map in force; without one on the map that groups begin with.
/// @return As startPlacement(), or BadInput for a map that can't be read.
Result<PlacementSession> startPlacementSession(const RankGroup &group,
                                               const std::optional<v1::ExpertMap> &inForce);

/// Takes in reports; ones that don't fit the group are passed over.
void takeReports(PlacementSession &session, const std::vector<LoadReport> &reports);

/// Notes which map is in force, ends a switch that is over, and decides.
/// @param digestInForce Digest of the map in force; empty before the first switch.
/// @return A map to ask for, or nothing.
std::optional<v1::ExpertMap> advancePlacement(PlacementSession &session,
                                              const std::string &digestInForce, TimePoint now);

/// Mean over the layers of the expected step-time skew of the present map; 1 is balanced.
double expectedSkew(const PlacementSession &session);

} // namespace wisteria
