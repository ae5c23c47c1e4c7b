#include "Request/PoisonRequests.h"

#include <algorithm>

namespace wisteria {

namespace {

bool hasUnclearedDeath(const SuspectRecord &record)
{
    return !std::includes(record.cleared.begin(), record.cleared.end(), record.deaths.begin(),
                          record.deaths.end());
}

void evictIfFull(PoisonRequests &requests)
{
    if (requests.records.size() < maxSuspects)
        return;
    const auto soonest = std::min_element(
        requests.records.begin(), requests.records.end(),
        [](const auto &a, const auto &b) { return a.second.forgetAt < b.second.forgetAt; });
    requests.records.erase(soonest);
}

SuspectRecord &recordOf(PoisonRequests &requests, std::uint64_t fingerprint)
{
    if (!requests.records.contains(fingerprint))
        evictIfFull(requests);
    return requests.records[fingerprint];
}

/// Adds a death. At maxDeaths, the new one is dropped if another is not cleared yet; if all are
/// cleared, they are removed first. In both cases the fingerprint is a suspect afterwards, as it
/// must be.
void addDeath(SuspectRecord &record, std::uint64_t death)
{
    if (record.deaths.contains(death))
        return;
    const bool full = record.deaths.size() >= maxDeaths;
    if (full && hasUnclearedDeath(record))
        return;
    if (full) {
        record.deaths.clear();
        record.cleared.clear();
    }
    record.deaths.insert(death);
}

ReportedSuspicion reportedSuspicionOf(const SuspectRecord &record)
{
    if (record.quarantined)
        return ReportedSuspicion::Quarantined;
    return hasUnclearedDeath(record) ? ReportedSuspicion::Suspect : ReportedSuspicion::Cleared;
}

v1::SuspectReport reportOf(std::uint64_t fingerprint, const SuspectRecord &record, TimePoint now)
{
    v1::SuspectReport report;
    report.set_fingerprint(fingerprint);
    report.set_remaining_ms(remaining(now, record.forgetAt).count());
    const ReportedSuspicion suspicion = reportedSuspicionOf(record);
    report.set_deaths(static_cast<std::uint32_t>(suspicion));
    const auto &ids = suspicion == ReportedSuspicion::Cleared ? record.cleared : record.deaths;
    for (const std::uint64_t id : ids)
        report.add_death_ids(id);
    return report;
}

} // namespace

Suspicion suspicionOf(const PoisonRequests &requests, std::uint64_t fingerprint, TimePoint now)
{
    const auto found = requests.records.find(fingerprint);
    if (found == requests.records.end() || found->second.forgetAt <= now)
        return Suspicion::None;
    if (found->second.quarantined)
        return Suspicion::Quarantined;
    return hasUnclearedDeath(found->second) ? Suspicion::Suspect : Suspicion::None;
}

void recordDeath(PoisonRequests &requests, std::uint64_t fingerprint, std::uint64_t death,
                 bool alone, TimePoint now)
{
    forgetSuspects(requests, now);
    SuspectRecord &record = recordOf(requests, fingerprint);
    addDeath(record, death);
    record.quarantined = record.quarantined || alone;
    const seconds validFor = record.quarantined ? quarantineTime : suspicionTime;
    record.forgetAt = std::max(record.forgetAt, now + validFor);
}

void renewQuarantine(PoisonRequests &requests, std::uint64_t fingerprint, TimePoint now)
{
    const auto found = requests.records.find(fingerprint);
    if (found != requests.records.end() && found->second.quarantined)
        found->second.forgetAt = std::max(found->second.forgetAt, now + quarantineTime);
}

void recordGoodRun(PoisonRequests &requests, std::uint64_t fingerprint)
{
    const auto found = requests.records.find(fingerprint);
    if (found == requests.records.end())
        return;
    found->second.cleared.insert(found->second.deaths.begin(), found->second.deaths.end());
}

void mergeSuspectReport(PoisonRequests &requests, const v1::SuspectReport &report, TimePoint now)
{
    if (report.remaining_ms() == 0)
        return;
    forgetSuspects(requests, now);
    SuspectRecord &record = recordOf(requests, report.fingerprint());
    const auto suspicion = static_cast<ReportedSuspicion>(report.deaths());
    for (const std::uint64_t death : report.death_ids()) {
        addDeath(record, death);
        if (suspicion == ReportedSuspicion::Cleared && record.deaths.contains(death))
            record.cleared.insert(death);
    }
    if (suspicion == ReportedSuspicion::Quarantined)
        record.quarantined = true;
    // A peer's report can't extend the record beyond the longest time of a local one.
    const milliseconds validFor =
        std::min<milliseconds>(milliseconds(report.remaining_ms()), quarantineTime);
    record.forgetAt = std::max(record.forgetAt, now + validFor);
}

std::vector<v1::SuspectReport> suspectReports(const PoisonRequests &requests, TimePoint now)
{
    std::vector<v1::SuspectReport> reports;
    for (const auto &[fingerprint, record] : requests.records) {
        if (record.forgetAt > now)
            reports.push_back(reportOf(fingerprint, record, now));
    }
    std::stable_sort(reports.begin(), reports.end(), [](const auto &a, const auto &b) {
        if (a.deaths() != b.deaths())
            return a.deaths() > b.deaths();
        return a.remaining_ms() > b.remaining_ms();
    });
    if (reports.size() > maxSuspectReports)
        reports.resize(maxSuspectReports);
    return reports;
}

void forgetSuspects(PoisonRequests &requests, TimePoint now)
{
    std::erase_if(requests.records,
                  [now](const auto &item) { return item.second.forgetAt <= now; });
}

} // namespace wisteria
