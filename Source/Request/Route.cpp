#include "Request/Route.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Request/KeyHashing.h"

namespace wisteria {

namespace {

bool wasTried(const RouteQuery &query, const Candidate &candidate)
{
    return std::find(query.tried.begin(), query.tried.end(), candidate.name) != query.tried.end();
}

/// Occupancy as a request of this priority experiences it. Queued requests of lower priority would
/// run after it; how many there are is not reported, so a higher priority counts the queue for
/// less.
double perceivedOccupancy(const Candidate &candidate, std::uint32_t priority)
{
    const double slots = std::max<std::uint32_t>(candidate.concurrency, 1);
    const double discount = 1.0 - 1.0 / (1.0 + priority);
    return occupancy(candidate) - discount * candidate.queued / slots;
}

template <typename Predicate>
std::vector<std::size_t> untried(const std::vector<Candidate> &candidates, const RouteQuery &query,
                                 Predicate allowed)
{
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (allowed(candidates[i]) && !wasTried(query, candidates[i]))
            chosen.push_back(i);
    }
    return chosen;
}

std::vector<std::size_t> eligible(const std::vector<Candidate> &candidates, const RouteQuery &query,
                                  TimePoint now)
{
    auto chosen = untried(candidates, query,
                          [now](const Candidate &candidate) { return isEligible(candidate, now); });
    return chosen.empty() ? untried(candidates, query, isAvailable) : chosen;
}

/// The backend server that most likely has the prefix cached: rendezvous hashing that skips those
/// loaded beyond the bound.
std::optional<std::size_t> affineCandidate(const std::vector<Candidate> &candidates,
                                           const std::vector<std::size_t> &among,
                                           std::uint64_t prefix)
{
    double total = 0;
    for (const std::size_t i : among)
        total += occupancy(candidates[i]);
    const double bound = affinityLoadBound * total / static_cast<double>(among.size()) + 1.0;
    const std::string text = std::to_string(prefix);
    std::optional<std::size_t> best;
    std::uint64_t bestHash = 0;
    for (const std::size_t i : among) {
        if (occupancy(candidates[i]) > bound)
            continue;
        const std::uint64_t hash = pairHash(candidates[i].name, text);
        if (!best || hash > bestHash) {
            best = i;
            bestHash = hash;
        }
    }
    return best;
}

milliseconds ejectionTime(std::uint32_t failures)
{
    milliseconds time = minEjection;
    for (std::uint32_t i = ejectAfterFailures; i < failures && time < maxEjection; ++i)
        time *= 2;
    return std::min(time, maxEjection);
}

bool isStalled(const Candidate &candidate, TimePoint now)
{
    if (!candidate.silentSince)
        return false;
    const microseconds silenceLimit =
        serverStalledAfter + candidate.serviceTime * stalledServiceTimes;
    return now - *candidate.silentSince > silenceLimit;
}

} // namespace

bool isAvailable(const Candidate &candidate)
{
    return !candidate.draining && !candidate.vmLeaving && !candidate.down;
}

bool isEligible(const Candidate &candidate, TimePoint now)
{
    if (!isAvailable(candidate) || now < candidate.ejectedUntil)
        return false;
    // After an ejection one attempt probes the server; no other is sent until it ends.
    const bool probing = candidate.failures >= ejectAfterFailures && candidate.outstanding > 0;
    return !probing && !isStalled(candidate, now);
}

double occupancy(const Candidate &candidate)
{
    const std::uint32_t reported = candidate.running + candidate.queued + candidate.sentSinceReport;
    const double busy = std::max(reported, candidate.outstanding);
    return busy / std::max<std::uint32_t>(candidate.concurrency, 1);
}

microseconds expectedWait(const Candidate &candidate)
{
    const double ahead = std::max(0.0, occupancy(candidate) - 1.0);
    return microseconds(static_cast<std::int64_t>(ahead * candidate.serviceTime.count()));
}

std::optional<std::size_t> chooseBackendServer(const std::vector<Candidate> &candidates,
                                               const v1::RoutingPolicy &policy,
                                               const RouteQuery &query, TimePoint now)
{
    const std::vector<std::size_t> among = eligible(candidates, query, now);
    std::optional<std::size_t> affine;
    if (query.prefix != 0 && !among.empty())
        affine = affineCandidate(candidates, among, query.prefix);
    std::optional<std::size_t> best;
    double bestCost = 0;
    std::uint64_t bestTie = 0;
    for (const std::size_t i : among) {
        const Candidate &candidate = candidates[i];
        double cost = policy.load_weight() * perceivedOccupancy(candidate, query.priority);
        if (candidate.failureDomain != query.failureDomain)
            cost += policy.domain_weight();
        if (affine == i)
            cost -= policy.affinity_weight();
        // Ties are broken by a hash of the request, so that entries with equal load data do not all
        // choose the same server.
        const std::uint64_t tie = pairHash(query.requestId, candidate.name);
        if (!best || cost < bestCost || (cost == bestCost && tie < bestTie)) {
            best = i;
            bestCost = cost;
            bestTie = tie;
        }
    }
    return best;
}

void attemptSent(Candidate &candidate, TimePoint now)
{
    ++candidate.outstanding;
    ++candidate.sentSinceReport;
    if (!candidate.silentSince)
        candidate.silentSince = now;
}

void attemptFrameReceived(Candidate &candidate, TimePoint now)
{
    candidate.failures = 0;
    candidate.silentSince.reset();
    if (candidate.outstanding > 0)
        candidate.silentSince = now;
}

void attemptEnded(Candidate &candidate, bool failed, TimePoint now)
{
    if (candidate.outstanding > 0)
        --candidate.outstanding;
    if (candidate.outstanding == 0)
        candidate.silentSince.reset();
    if (!failed) {
        candidate.failures = 0;
        return;
    }
    ++candidate.failures;
    if (candidate.failures >= ejectAfterFailures)
        candidate.ejectedUntil = now + ejectionTime(candidate.failures);
}

std::vector<v1::BackendServer> subsetOf(std::vector<v1::BackendServer> servers,
                                        std::size_t entryIndex, std::size_t entries,
                                        std::size_t size)
{
    const std::size_t count = servers.size();
    if (size == 0 || size >= count || entries == 0)
        return servers;
    // On this ring the members of each failure domain are evenly spaced, so that every range of it
    // spans the domains.
    std::map<std::string, std::vector<v1::BackendServer>> domains;
    for (v1::BackendServer &server : servers)
        domains[server.failure_domain()].push_back(std::move(server));
    std::vector<std::pair<double, v1::BackendServer>> ring;
    for (auto &[domain, members] : domains) {
        std::sort(members.begin(), members.end(),
                  [](const auto &a, const auto &b) { return a.name() < b.name(); });
        for (std::size_t i = 0; i < members.size(); ++i) {
            const double position =
                (static_cast<double>(i) + 0.5) / static_cast<double>(members.size());
            ring.emplace_back(position, std::move(members[i]));
        }
    }
    std::stable_sort(ring.begin(), ring.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    // Entry i's range begins where that of entry i-1 ends, so the ranges wrap around the ring and
    // cover each position equally often, with a difference of at most one.
    std::vector<v1::BackendServer> subset;
    for (std::size_t i = 0; i < size; ++i)
        subset.push_back(ring[(entryIndex * size + i) % count].second);
    return subset;
}

} // namespace wisteria
