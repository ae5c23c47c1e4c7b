#include "Programs/Gateway/EvidenceSharing.h"

#include <algorithm>
#include <utility>

namespace wisteria {

namespace {

/// Datagrams get lost, so each one is sent a second time after this.
constexpr milliseconds repeatAfter{150};
constexpr milliseconds gossipTime{30000};
constexpr std::size_t maxGossipCrashes = 4;
/// How long a gateway waits before it tells what has been completed before a crash: until all have
/// reported it, and by chance up to so much longer, so that one or a few of them tell it.
constexpr milliseconds minProofDelay{100};
constexpr milliseconds moreProofDelay{250};
/// How long what one gateway told need not be told by others.
constexpr milliseconds proofLifetime{1000};
/// Fingerprints in one message, so that it fits into a packet.
constexpr std::size_t maxFingerprintsPerMessage = 64;
/// Ids of sends that take as many bytes as a fingerprint.
constexpr std::size_t sendsPerFingerprint = 3;
/// Reports of crashes in one record of the store, which bounds its size.
constexpr std::size_t maxRecordedReports = 48;
/// Requests completed in doubt that are told to a gateway that may not know of them.
constexpr std::size_t maxToldProven = 256;
/// Restricted requests that are told to a gateway that may not know of them.
constexpr std::size_t maxGossipAccounts = 16;

RunningRequest encode(const InFlightRequest &request, TimePoint crashedAt)
{
    RunningRequest running{.request = request.identity.request.bytes};
    for (const Fingerprint &part : request.identity.parts)
        running.parts.push_back(part.bytes);
    running.sends = request.sends;
    if (request.sentAt) {
        running.ranMilliseconds =
            static_cast<std::uint32_t>(remaining(*request.sentAt, crashedAt).count());
    }
    return running;
}

/// Returns reports about a crash, each small enough for one packet.
std::vector<CrashReport> reportsOf(const ServerCrash &crash, TimePoint now)
{
    std::vector<CrashReport> reports;
    std::size_t next = 0;
    do {
        CrashReport report{.server = crash.server,
                           .startedAt = crash.startedAt,
                           .service = crash.service,
                           .servers = crash.servers,
                           .ageMilliseconds =
                               static_cast<std::uint32_t>(remaining(crash.at, now).count()),
                           .running = {}};
        std::size_t fingerprints = 0;
        for (; next < crash.running.size() && fingerprints < maxFingerprintsPerMessage; ++next) {
            report.running.push_back(encode(crash.running[next], crash.at));
            fingerprints += 1 + crash.running[next].identity.parts.size()
                + crash.running[next].sends.size() / sendsPerFingerprint;
        }
        reports.push_back(std::move(report));
    } while (next < crash.running.size());
    return reports;
}

std::uint32_t agoOf(TimePoint at, TimePoint now)
{
    return static_cast<std::uint32_t>(remaining(at, now).count());
}

CopyReport reportOf(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now)
{
    const CopyAccount account = accountOf(evidence, request, now);
    CopyReport report{.request = request.bytes,
                      .endedCopies = account.endedCopies,
                      .countedAgoMilliseconds = agoOf(account.countedAt, now)};
    for (const auto &[id, send] : account.lastSends)
        report.lastSends.push_back({id, agoOf(send.at, now), send.delivered});
    return report;
}

/// Returns reports about completions, each small enough for one packet. They state the earliest
/// time of all, so that none clears more crashes than it may.
std::vector<CompletionReport> reportsOf(const CrashEvidence &evidence,
                                        const std::vector<Fingerprint> &completed, TimePoint now)
{
    std::vector<CompletionReport> reports;
    for (const Fingerprint &one : completed) {
        const auto at = lastCompletion(evidence.completions, one);
        if (!at)
            continue;
        if (reports.empty() || reports.back().requests.size() >= maxFingerprintsPerMessage)
            reports.emplace_back();
        CompletionReport &report = reports.back();
        const auto age = static_cast<std::uint32_t>(remaining(*at, now).count());
        report.ageMilliseconds = std::max(report.ageMilliseconds, age);
        report.requests.push_back(one.bytes);
    }
    return reports;
}

} // namespace

EvidenceSharing::EvidenceSharing(const CrashEvidence &evidence, EvidenceLinks links)
    : evidence_(evidence), links_(std::move(links))
{ }

void EvidenceSharing::reportCrash(const ServerCrash &crash, TimePoint now)
{
    for (const CrashReport &report : reportsOf(crash, now))
        sendToAllTwice(report, now);
}

void EvidenceSharing::reportCompletion(const std::vector<Fingerprint> &completed, TimePoint now)
{
    for (const CompletionReport &report : reportsOf(evidence_, completed, now))
        sendToAllTwice(report, now);
}

void EvidenceSharing::reportCopies(const Fingerprint &request, TimePoint now)
{
    sendToAllTwice(reportOf(evidence_, request, now), now);
}

void EvidenceSharing::noteCrash(TimePoint now, double randomUnit)
{
    const auto delay =
        std::chrono::duration_cast<milliseconds>(minProofDelay + moreProofDelay * randomUnit);
    proofsDueAt_ = std::min(proofsDueAt_, now + delay);
}

void EvidenceSharing::noteReported(const std::vector<Fingerprint> &completed, TimePoint now)
{
    if (toldAt_.size() >= maxCompletionsPerPeriod)
        toldAt_.clear();
    for (const Fingerprint &one : completed)
        toldAt_[one] = now;
}

void EvidenceSharing::sendToAllTwice(const Report &report, TimePoint now)
{
    std::visit([this](const auto &message) { links_.sendToAll(message); }, report);
    repeats_.push_back({now, report});
}

void EvidenceSharing::sendRepeats(TimePoint now)
{
    const auto isDue = [now](const RepeatedReport &repeat) {
        return now - repeat.firstSentAt >= repeatAfter;
    };
    for (RepeatedReport &repeat : repeats_) {
        if (!isDue(repeat))
            continue;
        const auto passed = static_cast<std::uint32_t>(remaining(repeat.firstSentAt, now).count());
        const auto sendOlder = [this, passed](auto &report) {
            report.ageMilliseconds += passed;
            links_.sendToAll(report);
        };
        std::visit(sendOlder, repeat.report);
    }
    std::erase_if(repeats_, isDue);
}

void EvidenceSharing::sendProofs(TimePoint now)
{
    if (now < proofsDueAt_)
        return;
    proofsDueAt_ = TimePoint::max();
    std::erase_if(toldAt_, [now](const auto &told) { return now - told.second > proofLifetime; });
    std::vector<Fingerprint> proven;
    for (const ServerCrash &crash : evidence_.crashes) {
        if (now - crash.at > proofLifetime)
            continue;
        for (const Fingerprint &one : provenSoundAt(evidence_, crash)) {
            if (toldAt_.emplace(one, now).second)
                proven.push_back(one);
        }
    }
    for (const CompletionReport &report : reportsOf(evidence_, proven, now))
        links_.sendToAll(report);
}

void EvidenceSharing::checkTimeouts(TimePoint now)
{
    sendRepeats(now);
    sendProofs(now);
}

void EvidenceSharing::gossip(TimePoint now)
{
    if (const std::vector<GroupMessage> reports = latestReports(now); !reports.empty())
        links_.sendToOne(reports);
}

std::vector<GroupMessage> EvidenceSharing::latestReports(TimePoint now) const
{
    return reportsOfCrashes(maxGossipCrashes, gossipTime, now);
}

std::vector<GroupMessage> EvidenceSharing::allReports(TimePoint now) const
{
    std::vector<GroupMessage> reports = reportsOfCrashes(maxRecordedReports, crashLifetime, now);
    for (CompletionReport &report : reportsOf(evidence_, lastProven(evidence_, maxToldProven), now))
        reports.emplace_back(std::move(report));
    addOrganisationIds(reports);
    return reports;
}

/// Returns reports of the latest crashes that are not older, of what has been completed before
/// each, and of the restricted requests.
std::vector<GroupMessage> EvidenceSharing::reportsOfCrashes(std::size_t maxCount,
                                                            milliseconds maxAge,
                                                            TimePoint now) const
{
    std::vector<GroupMessage> reports;
    std::size_t crashes = 0;
    for (auto crash = evidence_.crashes.rbegin();
         crash != evidence_.crashes.rend() && crashes < maxCount; ++crash) {
        if (now - crash->at > maxAge || !isOpen(evidence_, *crash, now))
            continue;
        ++crashes;
        // A gateway that knows of a crash but not of what is sound would suspect too much.
        for (CompletionReport &report : reportsOf(evidence_, provenSoundAt(evidence_, *crash), now))
            reports.emplace_back(std::move(report));
        for (CrashReport &report : reportsOf(*crash, now))
            reports.emplace_back(std::move(report));
    }
    addCopyReports(reports, now);
    return reports;
}

std::vector<GroupMessage> EvidenceSharing::ownReports(TimePoint now) const
{
    return reportsForStore(true, now);
}

std::vector<GroupMessage> EvidenceSharing::knownReports(TimePoint now) const
{
    return reportsForStore(false, now);
}

/// Returns reports of crashes that count, the latest first, and of what belongs to them. What was
/// completed before is left out: it is asked of a gateway only as long as others live that tell it.
std::vector<GroupMessage> EvidenceSharing::reportsForStore(bool ownOnly, TimePoint now) const
{
    std::vector<GroupMessage> reports;
    for (auto crash = evidence_.crashes.rbegin();
         crash != evidence_.crashes.rend() && reports.size() < maxRecordedReports; ++crash) {
        if ((ownOnly && !crash->seenHere) || !isOpen(evidence_, *crash, now))
            continue;
        for (CrashReport &report : reportsOf(*crash, now))
            reports.emplace_back(std::move(report));
    }
    if (!reports.empty())
        addCopyReports(reports, now);
    addOrganisationIds(reports);
    return reports;
}

void EvidenceSharing::addOrganisationIds(std::vector<GroupMessage> &reports) const
{
    for (const auto &[name, id] : evidence_.organisationIds.byName)
        reports.emplace_back(OrganisationIdReport{.name = name, .id = id});
}

void EvidenceSharing::addCopyReports(std::vector<GroupMessage> &reports, TimePoint now) const
{
    std::vector<Fingerprint> restricted = restrictedRequests(evidence_, now);
    restricted.resize(std::min(restricted.size(), maxGossipAccounts));
    for (const Fingerprint &request : restricted)
        reports.emplace_back(reportOf(evidence_, request, now));
}

} // namespace wisteria
