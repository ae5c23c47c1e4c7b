#include "Request/CrashEvidence.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

/// Crashes that became known within this time of each other happened together: a probe's timeout
/// plus a message between gateways.
constexpr milliseconds togetherTime{200};
/// A server that was idle is found down only when the next request is sent there.
constexpr milliseconds foundDownTime{1500};
/// How far back crashes without a request count as signs of another cause.
constexpr seconds otherCauseTime{10};
/// Least sum of weights for a quarantine, without and with signs of another cause: three crashes,
/// also if one other of a dozen servers crashes each time, and five.
constexpr double poisonWeight = 2.1;
constexpr double poisonWeightWithOtherCause = 4.5;
constexpr std::uint32_t minPoisonCrashes = 3;
/// Least sums of weights of a suspect and of a repeated one: one and two crashes, each together
/// with another one of a dozen servers.
constexpr double suspectWeight = 0.5;
constexpr double repeatedWeight = 1.2;

bool wasRunning(const ServerCrash &crash, const Fingerprint &request)
{
    return std::any_of(crash.running.begin(), crash.running.end(),
                       [&request](const auto &running) { return running.request == request; });
}

/// Whether a crash counts against a request.
bool countsAgainst(const CrashEvidence &evidence, const ServerCrash &crash,
                   const Fingerprint &request, TimePoint now)
{
    if (now - crash.at > crashLifetime || !wasRunning(crash, request))
        return false;
    const auto completed = evidence.completedAt.find(request);
    return completed == evidence.completedAt.end() || completed->second < crash.at;
}

std::uint32_t countCrashes(const CrashEvidence &evidence, const Fingerprint &request,
                           TimePoint now)
{
    return static_cast<std::uint32_t>(
        std::count_if(evidence.crashes.begin(), evidence.crashes.end(), [&](const auto &crash) {
            return countsAgainst(evidence, crash, request, now);
        }));
}

/// Whether two crashes of a service happened together, as by a loss of power.
bool together(const ServerCrash &crash, const ServerCrash &other)
{
    if (crash.service != other.service)
        return false;
    const auto after = other.at - crash.at;
    const milliseconds before = togetherTime;
    return after >= -before && after <= (other.running.empty() ? foundDownTime : togetherTime);
}

/// How much a crash says about a request that was in flight there: 1 if this server crashed alone,
/// 0 if all servers of the service did, and between them by the logarithm of their number, which is
/// the information in the fact that the request was at one of them.
double weightOf(const CrashEvidence &evidence, const ServerCrash &crash,
                const Fingerprint &request)
{
    const auto others =
        std::count_if(evidence.crashes.begin(), evidence.crashes.end(), [&](const auto &other) {
            return together(crash, other) && !wasRunning(other, request);
        });
    if (others == 0)
        return 1;
    const double crashed = 1 + static_cast<double>(others);
    const double servers = std::max<double>(crash.servers, crashed);
    return 1 - std::log(crashed) / std::log(servers);
}

/// Whether a request in flight at a crash explains it: it is quarantined, or at least so many
/// crashes count against it.
bool isExplained(const CrashEvidence &evidence, const ServerCrash &crash, std::uint32_t crashes,
                 TimePoint now)
{
    return std::any_of(crash.running.begin(), crash.running.end(), [&](const auto &running) {
        return evidence.quarantinedUntil.contains(running.request)
            || countCrashes(evidence, running.request, now) >= crashes;
    });
}

/// Crashes from which a request explains them to one against which `crashes` count: about as many.
/// Two poison requests crash servers by turns, so that one is always a crash ahead.
std::uint32_t explainingCrashes(std::uint32_t crashes)
{
    return std::max(minPoisonCrashes, crashes - 1);
}

bool showsOtherCause(const CrashEvidence &evidence, const Fingerprint &request,
                     std::uint32_t crashes, TimePoint now)
{
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [&](const auto &crash) {
        return now - crash.at <= otherCauseTime && !wasRunning(crash, request)
            && !isExplained(evidence, crash, explainingCrashes(crashes), now);
    });
}

/// Removes one crash: the first of those under which no request is suspect more than once, if there
/// is one. A caller that crashes many servers with different requests must not push out the record
/// of one that repeats.
void evictCrash(CrashEvidence &evidence, TimePoint now)
{
    const auto isMinor = [&](const ServerCrash &crash) {
        constexpr std::uint32_t repeated = 2;
        return !isExplained(evidence, crash, repeated, now);
    };
    const auto minor = std::find_if(evidence.crashes.begin(), evidence.crashes.end(), isMinor);
    evidence.crashes.erase(minor == evidence.crashes.end() ? evidence.crashes.begin() : minor);
}

void evictEarliest(std::map<Fingerprint, TimePoint> &times)
{
    times.erase(std::min_element(times.begin(), times.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; }));
}

void mergeRunning(ServerCrash &crash, const std::vector<RequestIdentity> &running)
{
    for (const RequestIdentity &request : running) {
        const bool known = wasRunning(crash, request.request);
        if (!known && crash.running.size() < maxRunningPerCrash)
            crash.running.push_back(request);
    }
}

} // namespace

bool noteCrash(CrashEvidence &evidence, ServerCrash crash, TimePoint now)
{
    const auto isSame = [&crash](const ServerCrash &known) {
        return known.server == crash.server && known.startedAt == crash.startedAt
            && std::chrono::abs(known.at - crash.at) < sameCrashTime;
    };
    const auto known = std::find_if(evidence.crashes.begin(), evidence.crashes.end(), isSame);
    if (known != evidence.crashes.end()) {
        mergeRunning(*known, crash.running);
        known->servers = std::max(known->servers, crash.servers);
        return false;
    }
    if (evidence.crashes.size() >= maxCrashes)
        evictCrash(evidence, now);
    ServerCrash added = std::move(crash);
    const std::vector<RequestIdentity> running = std::move(added.running);
    added.running.clear();
    mergeRunning(added, running);
    evidence.crashes.push_back(std::move(added));
    return true;
}

bool noteCompletion(CrashEvidence &evidence, const Fingerprint &request, TimePoint at,
                    TimePoint now)
{
    const bool counted = countCrashes(evidence, request, now) > 0;
    if (!evidence.completedAt.contains(request) && evidence.completedAt.size() >= maxCompleted)
        evictEarliest(evidence.completedAt);
    TimePoint &completedAt = evidence.completedAt[request];
    completedAt = std::max(completedAt, at);
    evidence.quarantinedUntil.erase(request);
    return counted;
}

bool crashedWithin(const CrashEvidence &evidence, const std::string &server, milliseconds span,
                   TimePoint now)
{
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [&](const auto &crash) {
        return crash.server == server && now - crash.at <= span;
    });
}

CrashRecord crashRecordOf(const CrashEvidence &evidence, const Fingerprint &request,
                          TimePoint now)
{
    CrashRecord record;
    for (const ServerCrash &crash : evidence.crashes) {
        if (!countsAgainst(evidence, crash, request, now))
            continue;
        ++record.crashes;
        record.weight += weightOf(evidence, crash, request);
        record.lastAt = std::max(record.lastAt, crash.at);
    }
    if (record.crashes >= minPoisonCrashes)
        record.otherCause = showsOtherCause(evidence, request, record.crashes, now);
    return record;
}

bool isPoison(const CrashRecord &record)
{
    return record.crashes >= minPoisonCrashes
        && record.weight >= (record.otherCause ? poisonWeightWithOtherCause : poisonWeight);
}

Suspicion suspicionOf(const CrashEvidence &evidence, const Fingerprint &request,
                      TimePoint now)
{
    const auto quarantined = evidence.quarantinedUntil.find(request);
    if (quarantined != evidence.quarantinedUntil.end() && quarantined->second > now)
        return Suspicion::Quarantined;
    const CrashRecord record = crashRecordOf(evidence, request, now);
    if (record.weight >= repeatedWeight)
        return Suspicion::RepeatedSuspect;
    return record.weight >= suspectWeight ? Suspicion::Suspect : Suspicion::None;
}

void quarantine(CrashEvidence &evidence, const Fingerprint &request, TimePoint until)
{
    if (!evidence.quarantinedUntil.contains(request)
        && evidence.quarantinedUntil.size() >= maxQuarantined)
        evictEarliest(evidence.quarantinedUntil);
    TimePoint &quarantinedUntil = evidence.quarantinedUntil[request];
    quarantinedUntil = std::max(quarantinedUntil, until);
}

void release(CrashEvidence &evidence, const Fingerprint &request, TimePoint now)
{
    noteCompletion(evidence, request, now, now);
}

std::vector<Fingerprint> newPoisonRequests(const CrashEvidence &evidence, TimePoint now)
{
    std::map<Fingerprint, std::uint32_t> counts;
    for (const ServerCrash &crash : evidence.crashes) {
        for (const RequestIdentity &running : crash.running)
            ++counts[running.request];
    }
    std::vector<Fingerprint> found;
    for (const auto &[request, count] : counts) {
        if (count >= minPoisonCrashes && !evidence.quarantinedUntil.contains(request)
            && isPoison(crashRecordOf(evidence, request, now)))
            found.push_back(request);
    }
    return found;
}

bool isOpen(const CrashEvidence &evidence, const ServerCrash &crash, TimePoint now)
{
    return std::any_of(crash.running.begin(), crash.running.end(), [&](const auto &running) {
        return countsAgainst(evidence, crash, running.request, now);
    });
}

bool hasSuspects(const CrashEvidence &evidence)
{
    return !evidence.quarantinedUntil.empty()
        || std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                       [](const ServerCrash &crash) { return !crash.running.empty(); });
}

std::vector<Fingerprint> removeExpired(CrashEvidence &evidence, TimePoint now)
{
    std::erase_if(evidence.crashes, [&](const ServerCrash &crash) {
        return now - crash.at > otherCauseTime + sameCrashTime && !isOpen(evidence, crash, now);
    });
    std::erase_if(evidence.completedAt,
                  [now](const auto &item) { return now - item.second > crashLifetime; });
    std::vector<Fingerprint> released;
    for (const auto &[request, until] : evidence.quarantinedUntil) {
        if (until <= now)
            released.push_back(request);
    }
    for (const Fingerprint &request : released)
        evidence.quarantinedUntil.erase(request);
    return released;
}

} // namespace wisteria
