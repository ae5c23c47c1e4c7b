#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Process/Time.h"
#include "Request/CallerRequest.h"
#include "Request/ServerLimit.h"
#include "Version/BackendEntry.h"

namespace wisteria {

/// Requests of everybody at one backend server, as told at a moment.
struct BackendLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// This gateway's own requests there at that moment.
    std::uint32_t ownInFlight = 0;
    TimePoint at;
    /// Above 1 for a backend server slower than usual.
    double slowdown = 1;
    /// It takes work; false for a rank whose group is broken or still forms.
    bool open = true;
    /// Gateways that send there, as far as is known.
    std::uint32_t gateways = 1;
    /// Free places that are this gateway's to fill until more is told.
    std::uint32_t freeSlotShare = std::numeric_limits<std::uint32_t>::max();
};

/// One backend server as this gateway sees it.
struct BackendState
{
    BackendEntry entry;
    /// When this gateway got to know it, or its last start.
    TimePoint since;
    /// Requests of this gateway that are there now.
    std::uint32_t ownInFlight = 0;
    std::optional<BackendLoad> reportedLoad;
    /// No new requests before this moment, unless all are avoided.
    TimePoint avoidUntil;
    /// Failures in a row.
    std::uint32_t failures = 0;
    /// Another backend server answers at its address; until its entry is read again.
    bool replaced = false;
};

/// The backend servers of all services, by id. A plain value.
struct BackendRegistry
{
    std::map<std::string, BackendState> backends;
    /// A load that was told longer ago than this says nothing.
    milliseconds loadLifetime{1000};
    /// The list is known as the store had it at this time.
    TimePoint listReadAt;
    /// When the group of each service was first told to be open again.
    std::map<std::string, TimePoint> openedAt;
    /// Limits that backend servers named. They outlast an entry that lapses for a while, as in an
    /// outage of the store.
    ServerLimits limits;
    /// Until when backend servers asked this gateway for rest, by id. Kept apart from the entries
    /// for the same reason.
    std::map<std::string, TimePoint> backoffUntil;
    /// Backend servers that said in an answer that they leave, and when they first did. No entry
    /// takes that back, and an address that is used again has another id.
    std::map<std::string, TimePoint> drainingSince;
    /// When servers started whose entry is gone and that said any of this. One that starts again
    /// under its id is known by it.
    std::map<std::string, std::uint64_t> expiredStartTimes;
};

/// Takes in what a backend server says of itself; one that started anew is known anew.
///
/// Of two at one address the one that started last is there or, where that is not told, the one
/// whose record is the later: a server that is gone writes no more. After a loss of power all
/// engines of a group come back under other ids while the old entries stand for seconds, and each
/// send to an old one costs one of the two that a request has.
void putBackend(BackendRegistry &registry, const BackendEntry &entry, TimePoint now);

/// Forgets a backend server, or one whose entry says nothing that can be used.
void removeBackend(BackendRegistry &registry, const std::string &id);

/// Requests that are expected at a backend server now: its own count, corrected by what this
/// gateway has sent and got back since.
double expectedLoad(const BackendState &state, TimePoint now, milliseconds loadLifetime);

/// How slow a backend server is now, 1 for usual; 1 when nothing fresh is known.
double slowdownOf(const BackendState &state, TimePoint now, milliseconds loadLifetime);

/// Pace from which streams are moved off a backend server. In a group of ranks every pass waits for
/// the slowest: a few streams on a slow rank keep all others waiting for their next event, while
/// moving one costs the reading of its prompt.
constexpr double moveAtSlowdown = 2.0;

/// How long a rank's first report is waited for before its state counts as unknown. A sidecar
/// answers a gateway's first message at once. Without the wait a gateway that had just started sent
/// to ranks of a group that was not formed yet, and used up the sends of a request.
constexpr milliseconds firstReportWait{400};

/// How long a group that opens again gets no work until the list has been read: its engines may
/// have started anew and stand in the list under other ids. Longer, and a silent store would keep a
/// group without work whose engines are the same.
constexpr milliseconds openingReadWait{150};

/// Ranks of one group that tell within this time that they are open tell of the same opening.
constexpr milliseconds openingSpread{1000};

/// Notes that all entries are known as the store had them at a moment.
void noteListRead(BackendRegistry &registry, TimePoint at);

/// Takes in whether a load, before it is noted, tells that the group opens.
/// @return Whether the list is to be read for that.
bool noteOpening(BackendRegistry &registry, const BackendState &state, const BackendLoad &load);

/// Whether a backend server takes work, as far as is known.
/// @param inGroup It is a rank of a group.
bool isOpen(const BackendState &state, bool inGroup, TimePoint now, milliseconds loadLifetime);

/// The part of a backend server's free places that one of several gateways may fill until the next
/// report. What is left over goes to one of them by chance.
///
/// Each gateway sees the same free places. In a surge, between two reports, all of them would fill
/// each place, and most streams would wait at a rank for their first event.
/// @param randomUnit A number from 0 to below 1.
std::uint32_t shareOfFreeSlots(std::uint32_t free, std::uint32_t gateways, double randomUnit);

/// Takes in a load that a backend server or its sidecar told, with this gateway's share of the free
/// places.
/// @param randomUnit A number from 0 to below 1.
void noteLoad(BackendState &state, BackendLoad load, double randomUnit);

/// What an answer tells of the backend server that gave it.
struct AnswerFeedback
{
    /// Its load, where the answer names it.
    std::optional<AnswerLoad> load{};
    /// It refused the request and will not run it.
    bool notExecuted = false;
    /// It asked for rest.
    bool asksForBackoff = false;
};

/// Takes in what an answer tells.
///
/// A rank that refuses work although it has free places, and asks for no rest, belongs to a group
/// that is closed. Taken for open, the ranks of a group that still forms after a loss of power
/// would use up the sends of each request.
/// @param inGroup It is a rank of a group.
/// @param randomUnit A number from 0 to below 1.
void noteAnswer(BackendState &state, const AnswerFeedback &feedback, bool inGroup, TimePoint now,
                double randomUnit);

/// Forgets limits of servers that have no entry and have said nothing for long.
void forgetOldLimits(BackendRegistry &registry, TimePoint now);

/// Takes in that a backend server wants nothing of this gateway until a moment.
void noteBackoff(BackendRegistry &registry, const std::string &id, TimePoint until, TimePoint now);

/// Takes in that a backend server said that it leaves.
/// @return Whether that was not known.
bool noteDraining(BackendRegistry &registry, const std::string &id, TimePoint now);

/// Whether one more request would go beyond this gateway's share of the free places. A request that
/// ended since the report has left its place to this gateway.
bool exceedsShare(const BackendState &state, TimePoint now, milliseconds loadLifetime);

/// The load with one more request, in parts of what the backend server can use. One that is slow
/// can use fewer, and in a group of ranks each request there slows all ranks down.
double loadWithOneMore(const BackendState &state, TimePoint now, milliseconds loadLifetime);

/// What a request needs of a backend server.
struct BackendCriteria
{
    std::string service;
    /// Servers that this request was sent to already.
    std::vector<std::string> tried;
    /// Largest load that the request may bring about, in parts of the slots.
    double maxLoad = 1.0;
    /// It keeps to this gateway's share of the free places.
    bool withinFreeShare = false;
    /// The service's backend servers are ranks of groups, whose sidecars tell whether they take
    /// work.
    bool inGroup = false;
    /// Failure domain of the gateway; ties go to it, which keeps bytes within the domain.
    std::string failureDomain;
};

/// Why no backend server was chosen.
enum class NoBackendReason {
    None, ///< One was chosen.
    Unknown, ///< The service has none that takes work.
    AllTried, ///< Each was tried by this request.
    AllFull, ///< Each has as many requests as it can use.
    NotOpen, ///< Each is a rank of a group that does not take work now.
    BackingOff, ///< Each asked this gateway for rest.
    AtLimit, ///< Each that has places named a limit, and nothing is permitted there now.
};

struct BackendChoice
{
    /// Null when none was chosen, because of `reason`.
    BackendState *backend = nullptr;
    NoBackendReason reason = NoBackendReason::None;
    /// Load that decided.
    double load = 0;
    /// Resting, AtLimit: when a request may be sent again, as far as is known.
    TimePoint freeAt{};
    /// A backend server at its limit that would have been better; empty when there is none.
    std::string preferredAtLimit{};
};

/// Chooses the backend server with the least expected load in parts of its slots.
///
/// Answers load evenly spread arrivals; against bursts from several gateways at once it leans on
/// the reports, which are at most a tenth of a second old.
/// @param randomUnit A number from 0 to below 1 that breaks ties.
BackendChoice chooseBackend(BackendRegistry &registry, const BackendCriteria &criteria,
                            TimePoint now, double randomUnit);

/// Notes that another backend server has the address, as its refusal told.
void noteReplaced(BackendState &state);

/// Notes how a request at a backend server ended.
void noteSuccess(BackendState &state);
/// @param sure The server itself is at fault, as a refused connection shows.
void noteFailure(BackendState &state, bool sure, TimePoint now);

} // namespace wisteria
