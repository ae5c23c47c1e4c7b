#include "Request/CrashEvidence.h"

#include <algorithm>
#include <utility>

#include "Request/CrashRecord.h"

namespace wisteria {

namespace {

/// Least sums of weights of a suspect and of a repeated one: half of a dozen servers crashed at
/// once, and two crashes, each together with another one of a dozen servers.
constexpr double suspectWeight = 0.25;
constexpr double repeatedWeight = 1.2;
/// How long a suspect is not sent to a process that crashed. Its entry expires within this time; a
/// server that returned under the same id without a start time is used again after it.
constexpr seconds knownCrashedTime{10};

void indexCrashes(CrashEvidence &evidence)
{
    evidence.crashesOf.clear();
    for (std::size_t i = 0; i < evidence.crashes.size(); ++i) {
        for (const InFlightRequest &running : evidence.crashes[i].running) {
            for (const Fingerprint &suspect : suspectsOf(running.identity)) {
                SuspectCrashes &crashes = evidence.crashesOf[suspect];
                crashes.isRequest = suspect == running.identity.request;
                if (crashes.positions.empty() || crashes.positions.back() != i)
                    crashes.positions.push_back(i);
            }
        }
    }
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

/// Removes the item with the earliest time.
template <typename Map, typename TimeOf> void evictEarliest(Map &items, TimeOf timeOf)
{
    items.erase(std::min_element(items.begin(), items.end(), [&](const auto &a, const auto &b) {
        return timeOf(a.second) < timeOf(b.second);
    }));
}

/// Returns what was, at each crash, in a request together with the suspect and never completed
/// since, so that it explains the crashes as well.
std::vector<Fingerprint> companionsOf(const CrashEvidence &evidence, const CrashList &crashes,
                                      const Fingerprint &suspect)
{
    std::vector<Fingerprint> companions;
    for (const InFlightRequest &running : crashes.front()->running) {
        if (!contains(running.identity, suspect))
            continue;
        for (const Fingerprint &other : suspectsOf(running.identity)) {
            const bool alike = other != suspect && !isProvenSound(evidence, other)
                && std::all_of(crashes.begin(), crashes.end(), [&](const auto *crash) {
                                   return crash->at > clearedUntil(evidence, other)
                                       && ranTogether(*crash, suspect, other);
                               });
            if (alike && std::find(companions.begin(), companions.end(), other) == companions.end())
                companions.push_back(other);
        }
    }
    return companions;
}

/// Uses a crash to tell quarantined suspects from their companions: drops the companions that were
/// not there, and the quarantines of suspects that were not there beside a companion.
void narrowQuarantines(CrashEvidence &evidence, const ServerCrash &crash)
{
    std::erase_if(evidence.quarantined, [&crash](const auto &item) {
        const auto ranWithout = [&](const Fingerprint &other) {
            return std::any_of(crash.running.begin(), crash.running.end(),
                               [&](const auto &running) {
                                   return contains(running.identity, other)
                                       && !contains(running.identity, item.first);
                               });
        };
        return !wasRunning(crash, item.first)
            && std::any_of(item.second.with.begin(), item.second.with.end(), ranWithout);
    });
    for (auto &[suspect, quarantine] : evidence.quarantined) {
        if (!wasRunning(crash, suspect))
            continue;
        std::erase_if(quarantine.with, [&, &cause = suspect](const Fingerprint &other) {
            return !ranTogether(crash, cause, other);
        });
    }
}

/// Whether any crash counts against a suspect, one that only others have seen included.
bool countsAny(const CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now)
{
    return !countedCrashes(evidence, suspect, now).empty()
        || endedCopiesOf(evidence, suspect, now) > 0;
}

bool isTrialDue(const Quarantine &quarantine, TimePoint now)
{
    return quarantine.trials < maxTrials && now >= quarantine.nextTrialAt;
}

void mergeSends(std::vector<SendId> &sends, const std::vector<SendId> &added)
{
    for (const SendId send : added) {
        if (sends.size() < maxCopiesPerCrash
            && std::find(sends.begin(), sends.end(), send) == sends.end())
            sends.push_back(send);
    }
}

void mergeRunning(ServerCrash &crash, const std::vector<InFlightRequest> &running)
{
    for (const InFlightRequest &added : running) {
        const auto isSame = [&added](const InFlightRequest &known) {
            return known.identity.request == added.identity.request;
        };
        const auto known = std::find_if(crash.running.begin(), crash.running.end(), isSame);
        if (known != crash.running.end()) {
            known->sentAt = earliest(known->sentAt, added.sentAt);
            mergeSends(known->sends, added.sends);
        } else if (crash.running.size() < maxRunningPerCrash)
            crash.running.push_back(added);
    }
}

/// Whether the process that a report names had crashed before. Then a later process of the server
/// crashed, whose start time the list had not shown yet to the gateway that reports it.
bool namesEarlierProcess(const CrashEvidence &evidence, const ServerCrash &crash)
{
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                       [&crash](const ServerCrash &known) {
                           return known.server == crash.server && known.startedAt == crash.startedAt
                               && crash.at - known.at >= sameCrashTime;
                       });
}

} // namespace

bool noteCrash(CrashEvidence &evidence, ServerCrash crash, TimePoint now)
{
    narrowQuarantines(evidence, crash);
    const bool anyProcess = namesEarlierProcess(evidence, crash);
    const auto isSame = [&](const ServerCrash &known) {
        return known.server == crash.server && std::chrono::abs(known.at - crash.at) < sameCrashTime
            && (known.startedAt == crash.startedAt || anyProcess
                || namesEarlierProcess(evidence, known));
    };
    const auto known = std::find_if(evidence.crashes.begin(), evidence.crashes.end(), isSame);
    if (known != evidence.crashes.end()) {
        mergeRunning(*known, crash.running);
        if (!anyProcess)
            known->startedAt = crash.startedAt;
        known->servers = std::max(known->servers, crash.servers);
        known->seenHere = known->seenHere || crash.seenHere;
        indexCrashes(evidence);
        return false;
    }
    if (evidence.crashes.size() >= maxCrashes)
        evictCrash(evidence, now);
    ServerCrash added = std::move(crash);
    const std::vector<InFlightRequest> running = std::exchange(added.running, {});
    mergeRunning(added, running);
    added.completedBefore = evidence.completedRequests[added.service];
    evidence.crashes.push_back(std::move(added));
    indexCrashes(evidence);
    return true;
}

bool noteCompletion(CrashEvidence &evidence, const Fingerprint &suspect, TimePoint at,
                    TimePoint now)
{
    const bool counted = countsAny(evidence, suspect, now);
    noteCompletionTime(evidence.completions, suspect, at, now);
    noteProven(evidence, suspect);
    const bool cleared = counted && !countsAny(evidence, suspect, now);
    const auto known = evidence.quarantined.find(suspect);
    // An old completion may become known late; it is no reason to end a quarantine.
    if (known != evidence.quarantined.end() && (cleared || at > known->second.since))
        evidence.quarantined.erase(known);
    for (auto &[quarantined, quarantine] : evidence.quarantined)
        std::erase(quarantine.with, suspect);
    return counted;
}

void countCompletion(CrashEvidence &evidence, const std::string &service)
{
    ++evidence.completedRequests[service];
}

bool crashedWithin(const CrashEvidence &evidence, const std::string &server, milliseconds span,
                   TimePoint now)
{
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [&](const auto &crash) {
        return crash.server == server && now - crash.at <= span;
    });
}

std::vector<CrashedProcess> crashedProcesses(const CrashEvidence &evidence, TimePoint now)
{
    std::vector<CrashedProcess> processes;
    for (const ServerCrash &crash : evidence.crashes) {
        if (now - crash.at <= knownCrashedTime)
            processes.push_back({crash.server, crash.startedAt});
    }
    return processes;
}

TimePoint lastCrashOf(const CrashEvidence &evidence, const std::string &service)
{
    TimePoint last{};
    for (const ServerCrash &crash : evidence.crashes) {
        if (crash.service == service)
            last = std::max(last, crash.at);
    }
    return last;
}

Suspicion suspicionOf(const CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now)
{
    if (isRestricted(evidence, suspect, now) || isOnlyUnproven(evidence, suspect, now))
        return Suspicion::RepeatedSuspect;
    if (!evidence.crashesOf.contains(suspect) || isProvenSound(evidence, suspect))
        return Suspicion::None;
    const CrashRecord record = crashRecordOf(evidence, suspect, now);
    if (record.weight >= repeatedWeight)
        return Suspicion::RepeatedSuspect;
    return record.weight >= suspectWeight ? Suspicion::Suspect : Suspicion::None;
}

std::optional<Fingerprint> quarantineReason(const CrashEvidence &evidence,
                                            const RequestIdentity &request, TimePoint now)
{
    if (evidence.quarantined.empty())
        return std::nullopt;
    for (const Fingerprint &suspect : suspectsOf(request)) {
        const auto found = evidence.quarantined.find(suspect);
        if (found != evidence.quarantined.end() && found->second.until > now
            && containsAll(request, found->second.with))
            return suspect;
    }
    return std::nullopt;
}

Suspicion suspicionOf(const CrashEvidence &evidence, const RequestIdentity &request, TimePoint now)
{
    if (const auto reason = quarantineReason(evidence, request, now)) {
        const bool tried = isTrialDue(evidence.quarantined.at(*reason), now);
        return tried ? Suspicion::RepeatedSuspect : Suspicion::Quarantined;
    }
    Suspicion highest = Suspicion::None;
    for (const Fingerprint &suspect : suspectsOf(request))
        highest = std::max(highest, suspicionOf(evidence, suspect, now));
    return highest;
}

std::vector<Fingerprint> exclusiveSuspects(const CrashEvidence &evidence,
                                           const RequestIdentity &request, TimePoint now)
{
    std::vector<Fingerprint> exclusive;
    for (const Fingerprint &part : request.parts) {
        if (suspicionOf(evidence, part, now) != Suspicion::None)
            exclusive.push_back(part);
    }
    if (suspicionOf(evidence, request.request, now) == Suspicion::RepeatedSuspect)
        exclusive.push_back(request.request);
    const auto reason = quarantineReason(evidence, request, now);
    if (reason && std::find(exclusive.begin(), exclusive.end(), *reason) == exclusive.end())
        exclusive.push_back(*reason);
    return exclusive;
}

void quarantine(CrashEvidence &evidence, const Fingerprint &suspect, TimePoint until, TimePoint now)
{
    const auto known = evidence.quarantined.find(suspect);
    if (known != evidence.quarantined.end()) {
        known->second.until = std::max(known->second.until, until);
        return;
    }
    if (evidence.quarantined.size() >= maxQuarantined)
        evictEarliest(evidence.quarantined, [](const Quarantine &item) { return item.until; });
    Quarantine added{.since = now, .until = until, .nextTrialAt = now + trialInterval};
    const CrashList crashes =
        withoutExplained(evidence, countedCrashes(evidence, suspect, now), suspect);
    if (!crashes.empty())
        added.with = companionsOf(evidence, crashes, suspect);
    evidence.quarantined[suspect] = std::move(added);
}

bool noteTrial(CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now)
{
    const auto known = evidence.quarantined.find(suspect);
    if (known == evidence.quarantined.end())
        return false;
    Quarantine &quarantine = known->second;
    if (isTrialDue(quarantine, now))
        ++quarantine.trials;
    quarantine.nextTrialAt = now + (quarantine.trials + 1) * trialInterval;
    return true;
}

void release(CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now)
{
    if (!evidence.releasedAt.contains(suspect) && evidence.releasedAt.size() >= maxQuarantined)
        evictEarliest(evidence.releasedAt, [](TimePoint at) { return at; });
    evidence.releasedAt[suspect] = now;
    evidence.quarantined.erase(suspect);
}

bool isOpen(const CrashEvidence &evidence, const ServerCrash &crash, TimePoint now)
{
    const auto counts = [&](const Fingerprint &suspect) {
        return now - crash.at <= crashLifetime && crash.at > clearedUntil(evidence, suspect);
    };
    return std::any_of(crash.running.begin(), crash.running.end(), [&](const auto &running) {
        const std::vector<Fingerprint> suspects = suspectsOf(running.identity);
        return std::any_of(suspects.begin(), suspects.end(), counts);
    });
}

std::vector<Fingerprint> provenSoundAt(const CrashEvidence &evidence, const ServerCrash &crash)
{
    std::vector<Fingerprint> proven;
    for (const InFlightRequest &running : crash.running) {
        for (const Fingerprint &suspect : suspectsOf(running.identity)) {
            const bool added = std::find(proven.begin(), proven.end(), suspect) != proven.end();
            if (!added && isProvenSound(evidence, suspect))
                proven.push_back(suspect);
        }
    }
    return proven;
}

bool hasSuspects(const CrashEvidence &evidence)
{
    return !evidence.quarantined.empty() || !evidence.accounts.empty()
        || !evidence.unproven.requests.empty()
        || std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                       [](const ServerCrash &crash) { return !crash.running.empty(); });
}

std::vector<Fingerprint> removeExpired(CrashEvidence &evidence, TimePoint now)
{
    std::erase_if(evidence.crashes, [&](const ServerCrash &crash) {
        return now - crash.at > otherCauseTime + sameCrashTime && !isOpen(evidence, crash, now);
    });
    indexCrashes(evidence);
    removeExpiredAccounts(evidence, now);
    std::erase_if(evidence.releasedAt,
                  [now](const auto &item) { return now - item.second > crashLifetime; });
    std::vector<Fingerprint> released;
    for (const auto &[suspect, quarantine] : evidence.quarantined) {
        if (quarantine.until <= now)
            released.push_back(suspect);
    }
    for (const Fingerprint &suspect : released)
        evidence.quarantined.erase(suspect);
    return released;
}

} // namespace wisteria
