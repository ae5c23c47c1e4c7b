#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Config.pb.h"
#include "Process/Time.h"

namespace wisteria {

/// Last known state of one backend server at an entry. It may be out of date: the agent beside the
/// backend server decides finally whether an attempt is admitted.
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
    /// Requests that this entry has sent and that have not ended.
    std::uint32_t outstanding = 0;
    /// Requests sent since the last load report, which may not include them.
    std::uint32_t sentSinceReport = 0;
    bool draining = false;
    bool down = false;
    /// The platform lists its VM as leaving or no longer lists it. Separate from `draining`, which
    /// the agent's reports set and clear.
    bool vmLeaving = false;
    /// When `down` last changed to true.
    TimePoint downSince;
    /// Consecutive attempts that timed out or were lost.
    std::uint32_t failures = 0;
    /// Not eligible before this time; afterwards one attempt probes it.
    TimePoint ejectedUntil;
    /// Since when no frame has arrived while attempts are outstanding.
    std::optional<TimePoint> silentSince;
};

/// Properties of one attempt that its routing depends on.
struct RouteQuery
{
    std::string requestId;
    /// The largest number is served first; the gateway's scale is the reverse.
    std::uint32_t priority = 0;
    std::uint64_t prefix = 0;
    /// Failure domain of the entry.
    std::string failureDomain;
    /// Names of the backend servers already tried for this request.
    std::vector<std::string> tried;
};

/// Consecutive attempts without an answer after which a backend server is ejected.
constexpr std::uint32_t ejectAfterFailures = 2;
/// First and longest time for which a backend server is ejected; each further failure doubles it.
constexpr milliseconds minEjection{500};
constexpr milliseconds maxEjection{16'000};
/// A backend server counts as stalled if it is silent for longer than this plus several service
/// times.
constexpr milliseconds serverStalledAfter{1'000};
constexpr int stalledServiceTimes = 8;
/// Ratio to the average load above which a server is skipped for prefix affinity (rendezvous
/// hashing with bounded loads).
constexpr double affinityLoadBound = 1.25;

/// Whether the backend server is up and accepts new work, as far as is known.
bool isAvailable(const Candidate &candidate);

/// Whether the backend server is available and neither ejected nor stalled.
bool isEligible(const Candidate &candidate, TimePoint now);

/// Requests at the backend server, as far as this entry knows, divided by its concurrency.
double occupancy(const Candidate &candidate);

/// Time that a new request would be queued there.
microseconds expectedWait(const Candidate &candidate);

/// Chooses the untried backend server with the lowest cost for one attempt: among the eligible
/// ones, or if there is none, among all available ones. Ejected and silent ones may still answer,
/// since an entry can't distinguish long requests from a stall.
/// @return Index into candidates; nothing if no untried one is available.
std::optional<std::size_t> chooseBackendServer(const std::vector<Candidate> &candidates,
                                               const v1::RoutingPolicy &policy,
                                               const RouteQuery &query, TimePoint now);

/// Records that an attempt was sent.
void attemptSent(Candidate &candidate, TimePoint now);

/// Records that a frame of an attempt arrived.
void attemptFrameReceived(Candidate &candidate, TimePoint now);

/// Records that an attempt has ended.
/// @param failed Whether it ended without an answer: timed out, cut or lost.
void attemptEnded(Candidate &candidate, bool failed, TimePoint now);

/// Subset of the declared backend servers that one of several entries sends to. Each server is in
/// equally many entries' subsets, with a difference of at most one, and each subset spans the
/// failure domains.
/// @param size Backend servers in the subset; 0 for all.
std::vector<v1::BackendServer> subsetOf(std::vector<v1::BackendServer> servers,
                                        std::size_t entryIndex, std::size_t entries,
                                        std::size_t size);

} // namespace wisteria
