#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Process/Time.h"
#include "Request/ColdServers.h"
#include "Request/EvacuatedDomains.h"
#include "Request/GatewayRequest.h"
#include "Request/ServerLimit.h"
#include "Version/BackendEntry.h"

namespace wisteria {

/// Load of one backend server from all gateways, as last reported.
struct BackendLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// This gateway's in-flight requests there when the report arrived.
    std::uint32_t ownInFlight = 0;
    TimePoint receivedAt;
    /// Factor above 1 for a backend server that is slower than usual.
    double slowdown = 1;
    /// It accepts work; false for a rank whose group is broken or still forming.
    bool open = true;
    /// Its engine answers the sidecar that reported this.
    bool engineAnswers = true;
    /// Number of gateways that send there, as far as it is known.
    std::uint32_t gateways = 1;
    /// Free slots that this gateway may fill until the next report.
    std::uint32_t freeSlotShare = std::numeric_limits<std::uint32_t>::max();
};

/// One backend server as this gateway sees it.
struct BackendState
{
    BackendEntry entry;
    /// When this gateway first saw the server, or its latest restart.
    TimePoint knownSince;
    /// In-flight requests of this gateway.
    std::uint32_t ownInFlight = 0;
    std::optional<BackendLoad> reportedLoad;
    /// Until then new requests go there only when every candidate is avoided.
    TimePoint avoidUntil;
    /// Consecutive failures.
    std::uint32_t failures = 0;
    /// Another backend server answers at its address. A newer record of its entry has this checked
    /// again.
    bool replaced = false;
    /// Until when it may get requests; limited if its entry is missing, see EntryExpiry.
    TimePoint usableUntil = TimePoint::max();
    /// When it last sent bytes of an answer to this gateway or passed a check.
    TimePoint answeredAt;
    /// Until then it counts as silent; see ServerSilence.
    TimePoint silentUntil;
};

/// All known backend servers with their load and state. A value type without I/O.
///
/// A backend server may be an engine that is one rank of a group. The ranks of a group run forward
/// passes together, so the group as a whole is open for work or closed.
struct BackendRegistry
{
    /// Backend servers of all services, by id, as last read from the list of servers in the store.
    std::map<std::string, BackendState> backends;
    /// A reported load older than this is ignored.
    milliseconds loadLifetime{1000};
    /// `backends` reflects the state of the store at this time or later.
    TimePoint listReadAt;
    /// When a rank first reported the latest opening of a service's group, by service.
    std::map<std::string, TimePoint> openedAt;
    /// Limits that backend servers advertised. They outlast a store entry that expires temporarily,
    /// for example in an outage of the store.
    ServerLimits limits;
    /// Cold phases and this gateway's recent sends; see ColdServers.
    ColdServers coldServers;
    /// End of the backoff that each backend server asked this gateway for, by id. Separate from the
    /// entries for the same reason.
    std::map<std::string, TimePoint> backoffUntil;
    /// When each backend server first announced in an answer that it is draining, by id. Only an
    /// entry with another start time, that of a restarted server, clears this. A server that reuses
    /// the address has another id.
    std::map<std::string, TimePoint> drainingSince;
    /// Start times of servers whose entry is gone but that have a limit, a backoff or a draining
    /// state above. They reveal a restart under the same id.
    std::map<std::string, std::uint64_t> expiredStartTimes;
    /// Failure domains whose backend servers get no requests.
    EvacuatedDomains evacuatedDomains;
};

/// Adds or updates a backend server from its entry in the store. A restarted server begins with
/// fresh state, except for its in-flight count.
///
/// Of two entries with one address, the one that started last is valid; if a start time is unknown,
/// the one with the later record, because a server that is gone normally writes no more records; if
/// a late one arrives, the next record of the valid server corrects this. After a power loss all
/// engines of a group come back under new ids while the old entries remain for seconds, and each
/// send to an old one uses up one of the few sends that a route allows for a request.
void putBackend(BackendRegistry &registry, const BackendEntry &entry, TimePoint now);

/// Returns whether a backend server is leaving: it gets no more requests, and a connection to it
/// that is still opening is given up.
bool isLeaving(const BackendRegistry &registry, const std::string &id, TimePoint now);

/// Removes a backend server whose store entry is gone or unusable.
void removeBackend(BackendRegistry &registry, const std::string &id);

/// Returns the number of requests expected at a backend server now: the reported count, corrected
/// by what this gateway has sent and finished since. Without a recent report, only this gateway's
/// requests count.
double expectedRequests(const BackendState &state, TimePoint now, milliseconds loadLifetime);

/// Returns the slowdown of a backend server; 1 for normal speed or without a recent report.
double slowdownOf(const BackendState &state, TimePoint now, milliseconds loadLifetime);

/// Slowdown from which streams are moved off a backend server, and from which it gets no new
/// requests while another candidate is not slow; candidates with a free rate limit and those at
/// their limit are compared separately. In a group every forward pass waits for the slowest
/// rank: a few streams on a slow rank delay the events of all others, while moving a stream costs
/// one prompt prefill.
constexpr double moveAtSlowdown = 2.0;

/// How long a rank without a report counts as not open after this gateway first saw it. A sidecar
/// answers a gateway's first message at once. Without this wait a gateway that has just started
/// sends to ranks of a group that is not formed yet and uses up the sends of a request.
constexpr milliseconds firstReportWait{400};

/// How long a group that opens again waits for a fresh read of the list before it gets work: its
/// engines may have restarted under new ids. A longer wait would idle a group with unchanged
/// engines while the store does not answer.
constexpr milliseconds openingReadWait{150};

/// Open reports from ranks of one group within this time belong to the same opening.
constexpr milliseconds openingSpread{1000};

/// Records that all store entries reflect the state of the store at `at`.
void noteListRead(BackendRegistry &registry, TimePoint at);

/// Detects from a new report that a group opens. Call it before noteLoad().
/// @return Whether a new opening was detected, so that the list has to be read.
bool noteGroupOpening(BackendRegistry &registry, const BackendState &state,
                      const BackendLoad &load);

/// Returns whether a backend server accepts work. Without a recent report it counts as open, but a
/// rank of a group only after `firstReportWait`.
/// @param inGroup Whether the server is a rank of a group.
bool isOpen(const BackendState &state, bool inGroup, TimePoint now, milliseconds loadLifetime);

/// Returns how many of a backend server's free slots one of several gateways may fill until the
/// next report. The remainder is assigned by chance: each gateway gets one more slot with
/// probability remainder / gateways.
///
/// Every gateway sees the same free slots. Without the division all of them would fill each slot in
/// a surge between two reports, and most streams would wait at a rank for their first event.
/// @param randomUnit Uniform random number in [0, 1).
std::uint32_t shareOfFreeSlots(std::uint32_t free, std::uint32_t gateways, double randomUnit);

/// Stores a load report of a backend server or its sidecar and computes this gateway's share of the
/// free slots.
/// @param randomUnit Uniform random number in [0, 1); see shareOfFreeSlots().
void noteLoad(BackendState &state, BackendLoad load, double randomUnit);

/// What an answer reveals about the state of its backend server.
struct AnswerFeedback
{
    /// Reported load, if the answer has one.
    std::optional<AnswerLoad> load{};
    /// The server refused the request and will not run it.
    bool notExecuted = false;
    /// The server asked for backoff (Retry-After).
    bool asksForBackoff = false;
};

/// Updates the load and open state from an answer.
///
/// A rank that refuses work although it has free slots, and does not ask for backoff, belongs to a
/// closed group. If it counted as open, a group that is still forming after a power loss would use
/// up the sends of each request.
/// @param inGroup Whether the server is a rank of a group.
/// @param randomUnit Uniform random number in [0, 1); see shareOfFreeSlots().
void noteAnswer(BackendState &state, const AnswerFeedback &feedback, bool inGroup, TimePoint now,
                double randomUnit);

/// Records that a request is sent to a backend server: uses up a permit, and a part of this
/// gateway's share if the server may be cold.
void noteSend(BackendRegistry &registry, const BackendState &state, TimePoint now);

/// Removes limits that are obsolete, and expired limits of servers that have no store entry.
void removeExpiredLimits(BackendRegistry &registry, TimePoint now);

/// Records that this gateway sends nothing to a backend server before `until`. An earlier end never
/// shortens a known backoff.
void noteBackoff(BackendRegistry &registry, const std::string &id, TimePoint until, TimePoint now);

/// Records that a backend server announced that it is draining.
/// @return False when this was known already.
bool noteDraining(BackendRegistry &registry, const std::string &id, TimePoint now);

/// Returns whether one more request would exceed this gateway's share of the free slots. A request
/// of this gateway that ended since the report leaves its slot to the gateway. False without a
/// recent report.
bool exceedsFreeShare(const BackendState &state, TimePoint now, milliseconds loadLifetime);

/// Returns the expected load with one more request, as a fraction of the slots, multiplied by the
/// slowdown: a slow server can use fewer slots, and in a group each request there slows down all
/// ranks.
double loadWithOneMore(const BackendState &state, TimePoint now, milliseconds loadLifetime);

/// One process of a backend server that crashed; its entry may remain for seconds.
struct CrashedProcess
{
    std::string server;
    /// 0 when unknown.
    std::uint64_t startedAt = 0;
};

/// What a request needs of a backend server.
struct BackendCriteria
{
    std::string service;
    /// Ids of servers that this request was sent to already.
    std::vector<std::string> tried;
    /// Server processes that are known to have crashed: a suspect request would waste a send there.
    std::vector<CrashedProcess> crashed{};
    /// Upper bound of loadWithOneMore(): a fraction of the slots, multiplied by the slowdown.
    double maxLoad = 1.0;
    /// The request has to stay within this gateway's share of the free slots.
    bool withinFreeShare = false;
    /// If no server within the share has a slot, the request may start beyond the share at a server
    /// that has another free slot besides. For the most urgent requests.
    bool mayExceedFreeShare = false;
    /// The service's backend servers are ranks of a group; their sidecars report whether they
    /// accept work.
    bool inGroup = false;
    /// Failure domain of the gateway. Servers in it are preferred, which saves traffic between
    /// domains.
    std::string failureDomain;
    /// Hash of a request that may crash backend servers; nothing for others. All gateways choose
    /// the same server for the same hash, so that copies that they send at once crash one server.
    std::optional<std::uint64_t> suspectHash{};
};

/// Why no backend server was chosen. Without a candidate, the first that applies of NotOpen,
/// AllTried, BackingOff, Evacuated and NoneAvailable is the reason.
enum class NoBackendReason {
    None, ///< A backend server was chosen.
    NoneAvailable, ///< The service has no backend server, or all are draining or replaced.
    AllTried, ///< No candidate is left; this request was sent to some already.
    AllFull, ///< Each would exceed the allowed load or this gateway's share of free slots.
    NotOpen, ///< No candidate is left; some are not open, see isOpen().
    BackingOff, ///< No candidate is left; some asked this gateway for backoff.
    AtLimit, ///< Each with a free slot has a rate limit for which this gateway has no permit, or
             ///< has got this gateway's share of requests; see sendShareOf().
    Evacuated, ///< No candidate is left; some are in failure domains that are evacuated.
};

/// Result of chooseBackend().
struct BackendChoice
{
    /// Null when none was chosen, because of `reason`.
    BackendState *backend = nullptr;
    NoBackendReason reason = NoBackendReason::None;
    /// Load with this request at the best candidate that has no limit or a permit; see
    /// loadWithOneMore().
    double load = 0;
    /// The server is beyond this gateway's share of free slots; see
    /// BackendCriteria::mayExceedFreeShare.
    bool beyondFreeShare = false;
    /// For BackingOff and AtLimit: earliest known time at which a request may be sent.
    TimePoint retryAt{};
    /// Id of a backend server at its limit that would be a better choice; empty when there is none.
    std::string preferredAtLimit{};
};

/// Chooses a backend server for a request.
///
/// Servers in evacuated failure domains are never chosen, whatever the request is sent for.
///
/// Slow servers are dropped unless all are slow; this applies separately to the servers that are at
/// their rate limit and to the others. Servers over `maxLoad` or, with `withinFreeShare`, over this
/// gateway's share of free slots are never chosen. Of the rest, those that are not avoided come
/// first, then those that are not cold, then the one with the lowest cost: loadWithOneMore() plus a
/// penalty for another failure domain. See anyBeyondFreeShare() for `mayExceedFreeShare`.
///
/// The counts of one gateway suffice for evenly spread arrivals. Bursts from several gateways at
/// once are balanced by the load reports, which are normally at most 0.1 s old.
/// @param randomUnit Uniform random number in [0, 1) that breaks ties.
BackendChoice chooseBackend(BackendRegistry &registry, const BackendCriteria &criteria,
                            TimePoint now, double randomUnit);

/// Records that another backend server has the address, as the refusal of a request showed.
void noteReplaced(BackendState &state);

/// Clears the failures of a backend server after a request that it answered.
void noteSuccess(BackendState &state);
/// Counts a failed request. Repeated failures make the server avoided for a while.
/// @param sure The server itself is certainly at fault, as with a refused connection; one such
/// failure suffices.
void noteFailure(BackendState &state, bool sure, TimePoint now);

} // namespace wisteria
