#pragma once

#include <optional>
#include <set>
#include <string>

#include "Process/Time.h"
#include "Request/BackendRegistry.h"

namespace wisteria {

/// What a gateway that has started may not know of the crashes before: those that other gateways
/// detected and could not write to the store before all of them ended. A value type without I/O.
///
/// A gateway that knows all crashes writes the time to the store again and again. So the latest
/// such time is the one from which crashes may be unknown, and a server that was started since may
/// have crashed then. A gateway has no gap if another one that has none is alive, if no gateway
/// has ever written such a time, as at the very first start, or if the latest one was written right
/// before the start and the store has answered since: then it was not away.
struct EvidenceGap
{
    /// When this gateway started.
    TimePoint startedAt{};
    /// When the records were read; empty before that.
    std::optional<TimePoint> recordsReadAt{};
    /// Latest time until which a gateway knew all crashes; empty if none wrote it.
    std::optional<WallTime> knownUntil{};
    /// Nothing is unknown, or not any more.
    bool closed = false;
};

/// Interval between two times that the gateways write, all together.
constexpr milliseconds knownUntilInterval{1000};
/// The latest such time is at most so long ago when a gateway reads it, if all were killed while
/// the store answered: two intervals and a restart.
constexpr milliseconds maxRestartTime{3500};
/// Wall clocks of two VMs differ by less than this, as a rule.
constexpr milliseconds startTimeTolerance{2000};
/// A server that crashed in the gap has started again, and is listed, so long after the records
/// were read; until then each service may have crashed servers.
constexpr milliseconds restartVisibleTime{6000};

/// What a gateway read in the store at its start.
struct EvidenceRead
{
    /// The latest time that gateways wrote there; empty if there is none.
    std::optional<WallTime> knownUntil{};
    /// When the records were read.
    WallTime readAt{};
    /// A call failed before, so the store may have been away.
    bool callFailed = false;
};

/// Records that the store's records were read.
void noteRecordsRead(EvidenceGap &gap, const EvidenceRead &read, TimePoint now);

/// Closes a gap so old that a crash in it would not count any more.
/// @param lifetime How long a crash counts.
void closeIfExpired(EvidenceGap &gap, milliseconds lifetime, TimePoint now);

/// Whether a server may have crashed in the gap: its process is not known to have started before.
/// @param startedAt Start time of its process in Unix milliseconds; 0 when unknown.
bool mayHaveCrashedIn(const EvidenceGap &gap, std::uint64_t startedAt);

/// Returns the services of which a server may have crashed in the gap.
std::set<std::string> servicesInDoubt(const EvidenceGap &gap, const BackendRegistry &registry,
                                      TimePoint now);

} // namespace wisteria
