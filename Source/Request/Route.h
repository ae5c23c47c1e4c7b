#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Config.pb.h"
#include "Process/Time.h"

namespace wisteria {

/// What an entry believes of one backend server. Beliefs are hints that may be late: the agent
/// beside the backend server has the last word.
struct Candidate
{
    std::string name;
    std::string address;
    std::string vm;
    std::string failureDomain;
    std::uint32_t concurrency = 1;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Smoothed service time as last reported; zero when none was reported.
    microseconds serviceTime{0};
    /// Requests this entry has sent and not seen ended.
    std::uint32_t outstanding = 0;
    /// Of `outstanding`, those that the last load report may not have counted.
    std::uint32_t sentSinceReport = 0;
    bool leaving = false;
    bool down = false;
    /// The platform's list names its VM as leaving or no more. Kept apart from `leaving`, which
    /// the agent's own reports set and clear.
    bool vmLeaving = false;
    /// When `down` was set last.
    TimePoint downSince;
    /// Attempts in a row that timed out or were lost.
    std::uint32_t failures = 0;
    /// Not asked before then, except that one attempt probes it afterwards.
    TimePoint ejectedUntil;
    /// When the oldest attempt that saw no frame since was sent.
    std::optional<TimePoint> silentSince;
};

/// What the routing of one attempt depends on.
struct RouteQuery
{
    std::string requestId;
    std::uint32_t priority = 0;
    std::uint64_t prefix = 0;
    /// Failure domain of the entry.
    std::string failureDomain;
    /// Names of those already tried for this request.
    std::vector<std::string> tried;
};

/// Attempts in a row without an answer after which a backend server is shunned.
constexpr std::uint32_t ejectAfterFailures = 2;
/// First and longest time for which a backend server is shunned; doubles in between.
constexpr milliseconds minEjection{500};
constexpr milliseconds maxEjection{16'000};
/// Silence, beyond several service times, after which a backend server counts as stalled.
constexpr milliseconds stalledAfter{1'000};
constexpr int stalledServiceTimes = 8;
/// Load beyond the average at which prefix affinity gives way (rendezvous with bounded load).
constexpr double affinityLoadBound = 1.25;

/// Whether the backend server runs and takes new work, as far as is known.
bool isAvailable(const Candidate &candidate);

/// Whether the backend server is available and has not lately failed or fallen silent.
bool mayBeAsked(const Candidate &candidate, TimePoint now);

/// Requests that the backend server has, as far as this entry knows, per request it runs at once.
double occupancy(const Candidate &candidate);

/// Time a new request would wait there before it runs.
microseconds expectedWait(const Candidate &candidate);

/// Chooses the backend server for one attempt: among those that may be asked, or if there is none,
/// among those that are available, since long requests look like a stall from here.
/// @return Index into candidates; nothing when none may be asked.
std::optional<std::size_t> chooseBackendServer(const std::vector<Candidate> &candidates,
                                               const v1::RoutingPolicy &policy,
                                               const RouteQuery &query, TimePoint now);

/// Records that an attempt was sent.
void attemptSent(Candidate &candidate, TimePoint now);

/// Records a sign of life of an attempt.
void attemptHeard(Candidate &candidate, TimePoint now);

/// Records that an attempt is over.
/// @param failed Whether it ended without an answer: timed out, cut or lost.
void attemptOver(Candidate &candidate, bool failed, TimePoint now);

/// Declared backend servers that one of several entries keeps to. Every backend server is kept to
/// by as many entries as any other, give or take one, and each subset spans the failure domains.
/// @param size Backend servers wanted; 0 for all.
std::vector<v1::BackendServer> subsetOf(std::vector<v1::BackendServer> servers,
                                        std::size_t entryIndex, std::size_t entries,
                                        std::size_t size);

} // namespace wisteria
