#include "Request/CrashRecord.h"

#include <algorithm>

namespace wisteria {

namespace {

/// Least number of moments and sum of weights for a quarantine: three crashes, also if two others
/// of a dozen servers crash each time, and five.
constexpr std::uint32_t minPoisonMoments = 3;
constexpr double poisonWeight = 1.6;
constexpr std::uint32_t minPoisonMomentsOtherwise = 5;
constexpr double poisonWeightOtherwise = 4.4;
/// A suspect may be the cause of a moment if it was in flight at one in this many of the servers
/// that crashed there.
constexpr std::uint32_t attributableShare = 3;
/// Least number of such crashes for a quarantine of a request while something else crashes servers
/// too, or if it has completed before.
constexpr std::uint32_t minPoisonCrashesOtherwise = 5;

/// Whether a quarantined suspect explains a crash, so that it does not count for a verdict on
/// another one.
bool explains(const ServerCrash &crash, const Fingerprint &quarantined,
              const Quarantine &quarantine)
{
    return std::any_of(crash.running.begin(), crash.running.end(), [&](const auto &running) {
        return contains(running.identity, quarantined)
            && containsAll(running.identity, quarantine.with);
    });
}

bool isRequest(const CrashEvidence &evidence, const Fingerprint &suspect)
{
    const auto crashes = evidence.crashesOf.find(suspect);
    return crashes != evidence.crashesOf.end() && crashes->second.isRequest;
}

std::uint32_t countMoments(const CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now)
{
    return static_cast<std::uint32_t>(
        momentsOf(countedCrashes(evidence, suspect, now), suspect).size());
}

/// Moments from which a request explains them to one against which `moments` count: about as many.
/// Two poison requests crash servers by turns, so that one is always a crash ahead.
std::uint32_t explainingMoments(std::uint32_t moments)
{
    return std::max(minPoisonMoments, moments - 1);
}

bool showsOtherCause(const CrashEvidence &evidence, const Fingerprint &suspect,
                     std::uint32_t moments, TimePoint now)
{
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [&](const auto &crash) {
        return now - crash.at <= otherCauseTime && !wasRunning(crash, suspect)
            && !isExplained(evidence, crash, explainingMoments(moments), now);
    });
}

/// Counts the crashes of moments of which the suspect may be the cause.
std::uint32_t countAttributable(const CrashEvidence &evidence,
                                const std::vector<CrashMoment> &moments, const Fingerprint &suspect)
{
    std::uint32_t attributable = 0;
    for (const CrashMoment &moment : moments) {
        if (moment.crashes * attributableShare >= crashedAt(evidence.crashes, moment, suspect))
            attributable += moment.crashes;
    }
    return attributable;
}

} // namespace

bool isProvenSound(const CrashEvidence &evidence, const Fingerprint &suspect)
{
    return lastCompletion(evidence.completions, suspect).has_value();
}

TimePoint clearedUntil(const CrashEvidence &evidence, const Fingerprint &suspect)
{
    const TimePoint completed =
        lastCompletion(evidence.completions, suspect).value_or(TimePoint::min());
    const auto released = evidence.releasedAt.find(suspect);
    return released == evidence.releasedAt.end() ? completed
                                                 : std::max(completed, released->second);
}

CrashList countedCrashes(const CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now)
{
    CrashList counted;
    const auto crashes = evidence.crashesOf.find(suspect);
    if (crashes == evidence.crashesOf.end())
        return counted;
    const TimePoint cleared = clearedUntil(evidence, suspect);
    for (const std::size_t position : crashes->second.positions) {
        const ServerCrash &crash = evidence.crashes[position];
        if (now - crash.at <= crashLifetime && crash.at > cleared)
            counted.push_back(&crash);
    }
    std::sort(counted.begin(), counted.end(),
              [](const auto *a, const auto *b) { return a->at < b->at; });
    return counted;
}

CrashList withoutExplained(const CrashEvidence &evidence, CrashList crashes,
                           const Fingerprint &suspect)
{
    std::erase_if(crashes, [&](const ServerCrash *crash) {
        return std::any_of(
            evidence.quarantined.begin(), evidence.quarantined.end(), [&](const auto &item) {
                return item.first != suspect && explains(*crash, item.first, item.second);
            });
    });
    return crashes;
}

bool isExplained(const CrashEvidence &evidence, const ServerCrash &crash, std::uint32_t moments,
                 TimePoint now)
{
    const auto isCause = [&](const Fingerprint &suspect) {
        return evidence.quarantined.contains(suspect)
            || (!isProvenSound(evidence, suspect)
                && countMoments(evidence, suspect, now) >= moments);
    };
    return std::any_of(crash.running.begin(), crash.running.end(), [&](const auto &running) {
        const std::vector<Fingerprint> suspects = suspectsOf(running.identity);
        return std::any_of(suspects.begin(), suspects.end(), isCause);
    });
}

CrashRecord recordOf(const CrashEvidence &evidence, const CrashList &crashes,
                     const Fingerprint &suspect, TimePoint now)
{
    CrashRecord record{.crashes = static_cast<std::uint32_t>(crashes.size()),
                       .provenSound = isProvenSound(evidence, suspect),
                       .isRequest = isRequest(evidence, suspect)};
    if (crashes.empty())
        return record;
    std::vector<CrashMoment> moments = momentsOf(crashes, suspect);
    record.attributable = countAttributable(evidence, moments, suspect);
    if (record.provenSound)
        dropWithoutProgress(moments);
    record.moments = static_cast<std::uint32_t>(moments.size());
    for (const CrashMoment &moment : moments)
        record.weight += weightOf(moment, crashedAt(evidence.crashes, moment, suspect));
    record.lastAt = crashes.back()->at;
    if (record.moments >= minPoisonMoments)
        record.otherCause = showsOtherCause(evidence, suspect, record.moments, now);
    return record;
}

CrashRecord crashRecordOf(const CrashEvidence &evidence, const Fingerprint &suspect, TimePoint now)
{
    return recordOf(evidence, countedCrashes(evidence, suspect, now), suspect, now);
}

bool isPoison(const CrashRecord &record)
{
    if (!record.otherCause && !record.provenSound)
        return isPoisonByItself(record);
    if (record.isRequest)
        return record.attributable >= minPoisonCrashesOtherwise && isPoisonByItself(record);
    return record.moments >= minPoisonMomentsOtherwise && record.weight >= poisonWeightOtherwise;
}

bool isPoisonByItself(const CrashRecord &record)
{
    return record.moments >= minPoisonMoments && record.weight >= poisonWeight;
}

std::optional<Fingerprint> newPoison(const CrashEvidence &evidence, bool settled, TimePoint now)
{
    std::optional<Fingerprint> found;
    CrashRecord strongest;
    for (const auto &[suspect, known] : evidence.crashesOf) {
        if (known.positions.size() < minPoisonMoments || evidence.quarantined.contains(suspect))
            continue;
        const CrashList crashes =
            withoutExplained(evidence, countedCrashes(evidence, suspect, now), suspect);
        const CrashRecord record = recordOf(evidence, crashes, suspect, now);
        if (!isPoison(record) || (settled && now < verdictTime(record)))
            continue;
        const bool stronger = !found
            || (record.provenSound == strongest.provenSound ? record.weight > strongest.weight
                                                            : !record.provenSound);
        if (!stronger)
            continue;
        found = suspect;
        strongest = record;
    }
    return found;
}

std::vector<Fingerprint> repeatedlyInFlight(const CrashEvidence &evidence, TimePoint now)
{
    std::vector<Fingerprint> repeated;
    for (const auto &[suspect, known] : evidence.crashesOf) {
        if (known.positions.size() >= minPoisonMoments
            && countedCrashes(evidence, suspect, now).size() >= minPoisonMoments)
            repeated.push_back(suspect);
    }
    return repeated;
}

} // namespace wisteria
