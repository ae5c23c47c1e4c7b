#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Process/Endpoint.h"
#include "Process/Time.h"
#include "Version/DemandPlacement.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// One rank as the group's leader knows it.
struct RankView
{
    RankStatus status;
    /// When the status arrived.
    TimePoint receivedAt;
};

/// Times and bounds of the leader's work. Tests shorten them.
struct SwitchTiming
{
    /// A status that is older than this says nothing of the present.
    milliseconds statusLifetime{450};
    /// Pause before an order without an effect is asked for again.
    milliseconds resend{50};
    /// The same for a map that the rank is not known to copy yet, which doubles with each time, and
    /// for one that it copies. Of many messages one is easily lost, and the whole group waits for
    /// that rank.
    milliseconds resendMap{120};
    milliseconds resendAcceptedMap{1000};
    /// How long all copies may take before the map is given up.
    milliseconds prepareTimeout{4000};
    /// How long a rank may take to hold the group. Orders that get no answer are given again; one
    /// that is cut off from the leader alone never holds.
    milliseconds holdTimeout{1500};
    /// A sidecar that does not answer for this long while the group is held has its rank ordered
    /// from here: each further moment stalls every stream of the group.
    milliseconds orderDirectlyAfter{150};
    /// With more silent ranks than this it is the leader that hears nobody: orders of its own to
    /// each engine would add to what its link and its processor are behind with.
    std::size_t maxDirectlyOrdered = 8;
    /// Passes between the last one seen and the one at which the group switches. The hold must
    /// reach its rank before that pass begins; an order takes less than a pass.
    std::uint64_t passesAhead = 2;
    /// How long orders to arm that are still on their way are waited for before a held group is
    /// brought to another version: mostly they arrive, and nothing has to be undone.
    milliseconds settleTime{200};
    /// Pause between two changes of the map.
    milliseconds betweenSwitches{100};
    /// Counts of all ranks that were asked for at the same time arrive within this time; later
    /// ones begin a window of their own.
    milliseconds countsWindow{35};
    /// After a look that found nothing, another one waits until the skew has grown by so much, or
    /// for this long: looks at a large group's map would take up the share of a core that a sidecar
    /// has.
    double minSkewIncrease = 0.1;
    milliseconds searchRetryInterval{1000};
};

/// Where a change of the map stands.
///
/// No pass may begin while two ranks have different maps. A hold on one rank keeps the whole group
/// from beginning a pass. A leader lets it go only after it has seen every rank armed for the same
/// version and pass since the hold, and an armed rank is never disarmed unless some rank is known
/// to lack that version for good, as it has had a higher one: no one can then have seen them all
/// armed. Only the leader that made a version arms ranks for it, and for one pass only, so that
/// what was seen armed stays so. Versions of two leaders never have the same number.
///
/// Whoever finds the group held by another leader arms nothing for that pass. It has the ranks take
/// a version of its own, so that they lack the older ones for good, and lets the group go on its
/// map. The rank beside the other leader may be out of reach, as after its VM froze: a leader arms
/// that rank last, once it has seen all others armed, so others that are not armed tell that it is
/// not either.
///
/// All this holds whoever leads, however old the statuses are and however late its orders are
/// carried out, and with two leaders at a time; a new leader needs no memory and reads everything
/// from the ranks.
enum class SwitchPhase {
    Idle,
    Preparing, ///< The ranks copy the experts that are new to them.
    Holding, ///< One rank is told to hold the group at a pass.
    Arming, ///< Every rank is told to switch as that pass begins.
    Recovering, ///< The group is held, and is let go on its map once ranks lack all other versions.
    Releasing, ///< All are armed: the held rank is told to go on.
};
inline constexpr std::size_t switchPhases = 6;

/// An order that a rank was asked for, and how often.
struct PendingOrder
{
    RankOrderKind kind = RankOrderKind::Prepare;
    std::uint64_t version = 0;
    std::uint64_t pass = 0;
    TimePoint at{};
    std::uint32_t times = 0;
};

/// A version, and the pass in which ranks switch to it.
struct ArmedSwitch
{
    std::uint64_t version = 0;
    std::uint64_t pass = 0;
};

/// Versions of one tick: one for each rank beside which a leader may run. Larger than any group.
inline constexpr std::uint64_t ranksPerVersionTick = 4096;

/// Where a leader runs, and how it numbers versions.
struct LeaderIdentity
{
    /// Rank beside the leader, which it orders fastest.
    std::uint32_t rank = 0;
    /// Grows with the wall clock, so that a leader that starts anew, and knows of no version yet,
    /// does not use one again.
    std::uint64_t versionTick = 0;
};

/// A rank that holds the group, and the pass that it does not begin.
struct GroupHold
{
    std::uint32_t rank = 0;
    std::uint64_t pass = 0;

    bool operator==(const GroupHold &) const = default;
};

/// All that the leader keeps of one group. A plain value.
struct GroupSwitch
{
    std::string group{};
    std::uint64_t epoch = 0;
    std::map<std::uint32_t, RankView> ranks{};
    /// The rank beside this leader.
    std::uint32_t ownRank = 0;
    ExpertDemand demand{};
    /// Counts that arrived on the last question, of how many ranks, and when the first came.
    ExpertDemand window{};
    std::uint32_t windowRanks = 0;
    std::uint64_t windowPasses = 0;
    TimePoint windowSince{};
    /// Demand has moved: what was known is forgotten, and the next window is all that is known.
    bool demandShifted = false;
    /// When that was last seen.
    std::optional<TimePoint> demandShiftedAt{};
    SwitchPhase phase = SwitchPhase::Idle;
    TimePoint phaseSince{};
    /// Version that this leader made and brings into force; 0 while it has none.
    std::uint64_t version = 0;
    std::uint64_t pass = 0;
    /// Rank that holds, or is to hold, the group.
    std::uint32_t holder = 0;
    /// Passes that were to be held for the present version.
    std::vector<std::uint64_t> heldPasses{};
    /// The last pass that this leader ever had held: each is used for one version only.
    std::uint64_t lastHeldPass = 0;
    /// Holds that were seen before the version was made which unwinds them. A rank that shows that
    /// version has refused all that those holds were for; of a later hold it says nothing.
    std::vector<GroupHold> recoveredHolds{};
    RankMap map{};
    /// The map in force that `map` goes on from, and its version; empty when it may not be known to
    /// the sidecars.
    RankMap base{};
    std::uint64_t baseVersion = 0;
    /// Highest version known of, in use or not.
    std::uint64_t highestVersion = 0;
    /// What was last asked of each rank in the present phase.
    std::map<std::uint32_t, PendingOrder> pendingOrders{};
    TimePoint lastSwitchAt{};
    /// Demand has come in since the last look for a better map.
    bool demandIsNew = false;
    /// Skew at the last look that found no better map, and when that was; 0 for none.
    double failedSearchSkew = 0;
    TimePoint failedSearchAt{};
    TimePoint heldSince{};
    /// For how long each phase of the present switch lasted, by phase.
    std::array<milliseconds, switchPhases> phaseTimes{};
    PlacementProposal proposal{};
};

/// An order for a rank, through its sidecar or straight to its engine.
struct SwitchAction
{
    std::uint32_t rank = 0;
    Endpoint engine;
    /// Without its map, which is the group's: copying it for each rank at each status would take a
    /// large group's leader more than its share of a core.
    RankOrder order;
    bool direct = false;
    /// For Prepare through a sidecar: it may be sent as changes against the map in force.
    bool asChanges = false;
};

/// What happened in a step of the leader's work, for logs and metrics.
enum class SwitchEvent {
    Nothing,
    Preparing, ///< A better map was found, and its copies begin.
    GaveUpPreparing, ///< The copies took too long.
    GaveUpHolding, ///< The rank that was to hold the group did not.
    TookOver, ///< The group was held by somebody who is gone.
    Superseded, ///< A rank has had a higher version.
    PassBegun, ///< The pass began before any rank was armed.
    VersionLost, ///< A rank no longer has the version that the others are armed for.
    InForce, ///< All ranks use the map.
};

/// The note in words.
const char *eventText(SwitchEvent event);

/// What a step of the leader's work gave.
struct SwitchUpdate
{
    std::vector<SwitchAction> actions;
    SwitchEvent event = SwitchEvent::Nothing;
};

/// Takes in a rank's status. A new epoch begins anew.
void applyStatus(GroupSwitch &group, RankStatus status, TimePoint now);

/// Forgets what was known of the ranks, and what was under way, when another sidecar leads. What
/// this one used up stays: versions, and passes that it had held.
void resetRanks(GroupSwitch &group);

/// Notes that a rank has carried out an order that went straight to its engine.
void noteOrderDone(GroupSwitch &group, std::uint32_t rank, const RankOrder &order, TimePoint now);

/// Decides what to do next.
SwitchUpdate advanceSwitch(GroupSwitch &group, const ExpertProfile &profile,
                           const PlacementBounds &bounds, const SwitchTiming &timing,
                           const LeaderIdentity &leader, TimePoint now);

/// Whether the group is in the middle of a change, so that statuses are wanted often.
inline bool switching(const GroupSwitch &group)
{
    return group.phase != SwitchPhase::Idle;
}

const char *phaseName(SwitchPhase phase);

} // namespace wisteria
