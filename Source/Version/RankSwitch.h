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

/// Last known state of a rank: its last status, with the direct orders that it has executed since.
struct RankView
{
    RankStatus status;
    /// When the status was received or the last direct order was confirmed.
    TimePoint receivedAt;
};

/// Timeouts and bounds of a switch. Tests shorten them.
struct SwitchTiming
{
    /// A status that was received longer ago than this is out of date.
    milliseconds statusLifetime{450};
    /// Pause before an order that has shown no effect is sent again.
    milliseconds resendInterval{50};
    /// The same for an order to prepare. The first value applies until the rank reports that it
    /// copies the map, and doubles with each attempt, at most three times; the second applies from
    /// then on. A resend is needed because among many messages one is easily lost, and the whole
    /// group waits for that rank. Recovery uses resendInterval for a map without changes.
    milliseconds mapResendInterval{120};
    milliseconds acceptedMapResendInterval{1000};
    /// How long all copies may take before the leader abandons the map.
    milliseconds prepareTimeout{4000};
    /// How long a rank may take to hold the group. Orders without a reply are sent again, but a
    /// rank that only the leader can't reach never holds.
    milliseconds holdTimeout{1500};
    /// When a sidecar has not answered for this long while the group is held, the leader sends its
    /// orders directly to the engine, as the hold stalls every stream of the group. Orders to hold
    /// and release always go directly, except to the rank beside the leader.
    milliseconds directOrderDelay{150};
    /// If more ranks than this are unresponsive, the leader's own link or processor is overloaded,
    /// and direct orders to each engine would add to the load.
    std::size_t maxDirectlyOrdered = 8;
    /// Number of passes from the latest one known to the one before which the group is held. The
    /// order to hold must arrive before that pass begins; an order takes less than a pass.
    std::uint64_t passesAhead = 2;
    /// Largest number of passes from the latest one known to one before which the group is held.
    /// A leader begins with passes further ahead than that, see GroupSwitch::passAtStart.
    std::uint64_t maxPassesAhead = 3;
    /// How long recovery waits for orders to arm that are still in flight before it chooses a new
    /// version: they mostly arrive, and then nothing has to be undone.
    milliseconds settleTime{200};
    /// Pause between two switches.
    milliseconds minSwitchInterval{100};
    /// The counts of all ranks that were requested at the same time arrive within this time; later
    /// ones start a new window.
    milliseconds countsWindow{35};
    /// After a search that found no better map, the next one waits until the skew has grown by this
    /// much or this much time has passed: searches for a large group would use up the fraction of a
    /// core that a sidecar has.
    double minSkewIncrease = 0.1;
    milliseconds searchRetryInterval{1000};
};

/// Phase of a switch of all ranks of a group to a new expert map.
///
/// A forward pass, pass for short, is one run of all ranks of a group. Invariant: no pass begins
/// while two ranks have different maps in force. A hold on one rank keeps the whole group from
/// beginning a pass. A leader releases a hold that it ordered for a switch only after every rank
/// was seen armed for the same version and pass, in a status read after the hold. An armed rank is
/// disarmed only if some rank is known to have superseded the armed version, that is, to have had a
/// higher one: then no leader can have seen all ranks armed. Only the leader that created a version
/// arms ranks for it, and for one pass only, so a rank that was seen armed stays armed. Two leaders
/// never use the same version number.
///
/// A leader that finds the group held by another leader arms no rank for that pass. If it sees all
/// ranks armed for one version and pass, it releases the hold, and the switch completes. Otherwise
/// it has the ranks prepare a new version with the map in force, after which they refuse all older
/// versions, and then releases the hold. The rank beside the other leader may be unreachable, for
/// instance because its VM froze. A leader arms the rank beside itself last, after it has seen all
/// others armed; so if another rank is not armed, the unreachable one is not armed either.
///
/// An order to release names nothing but the pass, so each rank holds the group before a pass once
/// only, over all lives of the leader that orders it: otherwise a release of an earlier hold that
/// is executed late would end a later hold while ranks are being armed. No leader holds more than
/// maxPassesAhead passes beyond the latest one that it knows. So when a leader starts, every hold
/// that its earlier lives ordered is at most so far beyond the pass that its own rank is at, and it
/// only uses later ones. It holds nothing until a pass has begun since.
///
/// The invariant holds for any number of leaders at a time, however old the statuses are and
/// however late orders are carried out. A new leader needs no stored state: it reads everything
/// from the ranks. Only of the rank beside it must its first status be read after its start.
enum class SwitchPhase {
    Idle,
    Preparing, ///< The ranks copy the experts that are new to them.
    Holding, ///< One rank is ordered to hold the group before a pass.
    Arming, ///< Every rank is ordered to switch when that pass begins.
    Recovering, ///< A hold that no switch can use is released; the map in force stays.
    Releasing, ///< All ranks are armed, and the rank that holds is ordered to release.
};
inline constexpr std::size_t switchPhaseCount = 6;

/// Last order that was sent to a rank in this phase; kept after the rank has executed it.
struct PendingOrder
{
    RankOrderKind kind = RankOrderKind::Prepare;
    std::uint64_t version = 0;
    std::uint64_t pass = 0;
    /// When it was last sent.
    TimePoint requestedAt{};
    std::uint32_t timesRequested = 0;
};

/// A version, and the pass at whose beginning ranks switch to it.
struct ArmedSwitch
{
    std::uint64_t version = 0;
    std::uint64_t pass = 0;
};

/// Version numbers in one tick: one for each rank beside which a leader may run, so this is above
/// the size of any group.
inline constexpr std::uint64_t ranksPerVersionTick = maxGroupRanks;

/// Rank of a leader and its clock for version numbers.
struct LeaderIdentity
{
    /// Rank beside the leader, the one that its orders reach fastest.
    std::uint32_t rank = 0;
    /// Grows with the wall clock, so that a leader that restarts, and knows no versions yet, does
    /// not use a number again.
    std::uint64_t versionTick = 0;
};

/// A rank that holds the group, and the pass that it keeps the group from beginning.
struct GroupHold
{
    std::uint32_t rank = 0;
    std::uint64_t pass = 0;

    bool operator==(const GroupHold &) const = default;
};

/// State that the leader keeps of one group. A value type without I/O.
struct GroupSwitch
{
    std::string group{};
    std::uint64_t epoch = 0;
    std::map<std::uint32_t, RankView> ranks{};
    /// The rank beside this leader.
    std::uint32_t ownRank = 0;
    ExpertDemand demand{};
    /// Counts that were received for the last request.
    ExpertDemand window{};
    /// Number of ranks whose counts are in the window.
    std::uint32_t windowRanks = 0;
    /// Largest number of passes that the counts in the window cover.
    std::uint64_t windowPasses = 0;
    /// When the first counts of the window were received.
    TimePoint windowSince{};
    /// The last window showed a shift and covered several passes, so it was discarded; demand is
    /// empty until the next window.
    bool shiftWindowDiscarded = false;
    /// When a shift was last detected.
    std::optional<TimePoint> demandShiftedAt{};
    SwitchPhase phase = SwitchPhase::Idle;
    TimePoint phaseSince{};
    /// Version that this leader brings into force; 0 for none. While Recovering, the recovery
    /// version, which ranks prepare but never switch to. This leader created the version, except
    /// while it releases a switch that another leader armed on all ranks.
    std::uint64_t version = 0;
    /// Pass at whose beginning the ranks switch.
    std::uint64_t pass = 0;
    /// Rank that holds the group, or is ordered to.
    std::uint32_t holder = 0;
    /// Passes before which this leader ordered a hold for the current version.
    std::vector<std::uint64_t> heldPasses{};
    /// Last pass before which this leader ordered a hold in this epoch: each is used for one
    /// version only.
    std::uint64_t lastHeldPass = 0;
    /// Latest pass known when this leader first decided in this epoch, with a status of the rank
    /// beside it. Empty before that.
    std::optional<std::uint64_t> passAtStart{};
    /// Holds that were known when the recovery version was created. A rank that has prepared that
    /// version refuses all versions that those holds were for; a later hold may be for a higher
    /// one.
    std::vector<GroupHold> recoveredHolds{};
    /// Map of `version`; empty while that is 0 or another leader's.
    RankMap map{};
    /// Map in force, the base for sending `map` as changes; empty if some sidecar might lack it.
    RankMap base{};
    /// Version of the base.
    std::uint64_t baseVersion = 0;
    /// Highest version that this leader knows, in force or not.
    std::uint64_t highestVersion = 0;
    /// Last order to each rank in the current phase.
    std::map<std::uint32_t, PendingOrder> pendingOrders{};
    /// When the last switch ended, or its preparing or holding timed out.
    TimePoint lastSwitchAt{};
    /// New demand was added since the last search for a better map.
    bool demandIsNew = false;
    /// Skew at the last search if it found no better map, else 0; and when that search was.
    double failedSearchSkew = 0;
    TimePoint failedSearchAt{};
    /// When this leader first saw the group held in the current switch.
    TimePoint heldSince{};
    /// When all ranks but the leader's own were first seen armed for the version.
    std::optional<TimePoint> othersArmedAt{};
    /// How long the switch then waited for the leader's own rank.
    milliseconds ownRankArmingTime{0};
    /// Duration of each phase since Preparing was last entered, and of the Idle phase before it.
    std::array<milliseconds, switchPhaseCount> phaseTimes{};
    /// Result of the search that chose `map`; empty if no search did, as for a recovery version or
    /// another leader's version.
    PlacementProposal proposal{};
};

/// An order for a rank, sent through its sidecar or directly to its engine.
struct SwitchAction
{
    std::uint32_t rank = 0;
    Endpoint engine;
    /// Does not contain the map, which is `GroupSwitch::map`: copying it for each rank at each
    /// status would take more than the fraction of a core that a large group's leader has.
    RankOrder order;
    /// The order goes directly to the engine.
    bool direct = false;
    /// For Prepare through a sidecar: the map may be sent as changes against the map in force.
    bool asChanges = false;
};

/// What happened in one call of advanceSwitch, for logs and metrics.
enum class SwitchEvent {
    Nothing,
    Preparing, ///< A better map was found, and the ranks begin to copy experts.
    GaveUpPreparing, ///< The copies took longer than prepareTimeout.
    GaveUpHolding, ///< The rank did not hold the group within holdTimeout.
    TookOver, ///< Another leader's hold was found, and its recovery begins.
    Superseded, ///< A higher version than the one being prepared is known.
    PassBegun, ///< The pass began, and no rank is known to have switched.
    VersionLost, ///< A rank has superseded the version that ranks are being armed for.
    InForce, ///< All ranks use the new map.
};

/// Returns the event's text for logs and metrics, empty for Nothing.
const char *eventText(SwitchEvent event);

/// Actions and event of one call of advanceSwitch.
struct SwitchUpdate
{
    std::vector<SwitchAction> actions;
    SwitchEvent event = SwitchEvent::Nothing;
};

/// Stores a rank's status. Ignores one of an older epoch, and one that was read before a status
/// of the rank that arrived within the last second. A status of a newer epoch resets the group's
/// state first.
void applyStatus(GroupSwitch &group, RankStatus status, TimePoint now);

/// Resets all state, the demand included, when another sidecar leads. Only the group's name and
/// epoch, the highest version, the last held pass and the pass at the start are kept, so that no
/// version number and no held pass is used again.
void resetSwitch(GroupSwitch &group);

/// Records that a rank has executed an order that was sent directly to its engine.
void noteOrderDone(GroupSwitch &group, std::uint32_t rank, const RankOrder &order, TimePoint now);

/// Advances the switch by what is known of the ranks. Returns the orders to send now and the event.
SwitchUpdate advanceSwitch(GroupSwitch &group, const ExpertProfile &profile,
                           const PlacementBounds &bounds, const SwitchTiming &timing,
                           const LeaderIdentity &leader, TimePoint now);

/// Whether a switch or recovery is in progress, so that the leader polls the ranks often.
inline bool isSwitching(const GroupSwitch &group)
{
    return group.phase != SwitchPhase::Idle;
}

/// Returns the phase's name for logs and metrics.
const char *phaseName(SwitchPhase phase);

} // namespace wisteria
