#include "Programs/Gateway/PoisonGuard.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

namespace {

/// How long no repeated suspect and no suspect part runs after a crash. Longer than the crashes of
/// one moment are apart, so that the next crash is another sign.
constexpr milliseconds suspectPause{350};
/// The same for a part that was in flight at several crashes, and after a group has opened.
/// Meanwhile sound requests that share it with the crashes may complete.
constexpr milliseconds repeatedPartPause{1000};
/// Interval between two messages to one other gateway that repeat what became known of late, and
/// between renewals of claims.
constexpr milliseconds upkeepInterval{1000};
/// Interval between two looks for verdicts that have become due.
constexpr milliseconds judgeInterval{100};
/// How long unproven requests wait for the list of the other gateways, which is read with the list
/// of servers. Without a bound, a store that answers some calls only would stop all of them.
constexpr milliseconds maxPeersWait{1500};
/// How long an unproven request that can't be claimed waits until it is looked at again.
constexpr milliseconds unprovenRetryInterval{100};
/// A peer's report about a time longer ago than this is not used.
constexpr milliseconds maxReportAge = 2 * completionPeriod;

InFlightRequest decode(const RunningRequest &running, TimePoint crashedAt)
{
    InFlightRequest request{.identity = {.request = {running.request}}};
    for (const FingerprintBytes &part : running.parts)
        request.identity.parts.push_back({part});
    if (running.ranMilliseconds)
        request.sentAt = crashedAt - milliseconds(*running.ranMilliseconds);
    return request;
}

/// Log fields of what counts against a suspect.
LogFields fieldsOf(const Fingerprint &suspect, const CrashRecord &record)
{
    return {{"fingerprint", toText(suspect)},
            {"crashes", record.crashes},
            {"moments", record.moments},
            {"weight", record.weight},
            {"completed_before", record.provenSound},
            {"other_cause", record.otherCause}};
}

std::vector<Fingerprint> decode(const std::vector<FingerprintBytes> &encoded)
{
    std::vector<Fingerprint> fingerprints;
    for (const FingerprintBytes &bytes : encoded)
        fingerprints.push_back({bytes});
    return fingerprints;
}

} // namespace

PoisonGuard::PoisonGuard(EventLog &log, PoisonGuardLinks links)
    : log_(log), links_(std::move(links)), sharing_(evidence_, links_.evidence),
      runs_(links_.evidence.sendToAll)
{ }

Suspicion PoisonGuard::suspicionOf(const RequestIdentity &request, TimePoint now) const
{
    return wisteria::suspicionOf(evidence_, request, now);
}

std::optional<Fingerprint> PoisonGuard::quarantineReason(const RequestIdentity &request,
                                                         TimePoint now) const
{
    return wisteria::quarantineReason(evidence_, request, now);
}

void PoisonGuard::noteRequest(const RequestIdentity &request, const std::string &service,
                              TimePoint now)
{
    if (servicesInDoubt_.contains(service))
        noteUnproven(evidence_, request.request, now);
}

bool PoisonGuard::isOnlyUnproven(const RequestIdentity &request, TimePoint now) const
{
    return wisteria::isOnlyUnproven(evidence_, request.request, now);
}

bool PoisonGuard::isSpent(const RequestIdentity &request, TimePoint now) const
{
    return wisteria::isSpent(evidence_, request.request, now)
        && !runs_.mayRun(request.request, now);
}

void PoisonGuard::setServicesInDoubt(std::set<std::string> services, TimePoint now)
{
    if (services == servicesInDoubt_)
        return;
    if (servicesInDoubt_.empty())
        inDoubtSince_ = now;
    for (const std::string &service : services) {
        if (!servicesInDoubt_.contains(service))
            log_.info("service.in_doubt", {{"service", service}});
    }
    servicesInDoubt_ = std::move(services);
    if (!servicesInDoubt_.empty())
        return;
    log_.info("service.no_doubt", {{"unproven", evidence_.unproven.requests.size()}});
    forgetUnproven(evidence_, now);
    links_.changed();
}

std::optional<std::uint64_t> PoisonGuard::serverHash(const RequestIdentity &request,
                                                     TimePoint now) const
{
    if (suspicionOf(request, now) == Suspicion::None || isOnlyUnproven(request, now))
        return std::nullopt;
    const std::vector<Fingerprint> exclusive = exclusiveSuspects(evidence_, request, now);
    return hashOf(exclusive.empty() ? request.request : exclusive.front());
}

TimePoint PoisonGuard::mayRunAt(const RequestIdentity &request, const std::string &service,
                                TimePoint openedAt, TimePoint now) const
{
    const Suspicion suspicion = suspicionOf(request, now);
    if (suspicion == Suspicion::None)
        return now;
    if (suspicion == Suspicion::Quarantined || runs_.runsHere(request.request))
        return TimePoint::max();
    TimePoint at = now;
    for (const Fingerprint &suspect : exclusiveSuspects(evidence_, request, now)) {
        if (runs_.runsHere(suspect))
            return TimePoint::max();
        const CrashRecord record = crashRecordOf(evidence_, suspect, now);
        // What else crashes servers may be found meanwhile: another poison request, mostly.
        if (isPoisonByItself(record) && !evidence_.quarantined.contains(suspect))
            at = std::max(at, verdictTime(record) + judgeInterval);
        if (suspect == request.request && isOnlyUnproven(request, now)) {
            // Claims that reach nobody would let each gateway send a copy.
            const bool claimable = links_.peersKnown() || now - inDoubtSince_ > maxPeersWait;
            if (!claimable || !hasLastSend(evidence_, suspect, now))
                at = std::max(at, now + unprovenRetryInterval);
            continue;
        }
        if (suspect == request.request) {
            const bool isTrial = quarantineReason(request, now).has_value();
            const bool mayBeSent = isTrial || hasLastSend(evidence_, suspect, now);
            if (!mayBeSent || runs_.runsHere(fingerprintOfService(service)))
                return TimePoint::max();
            const TimePoint lastCrashAt = lastCrashOf(evidence_, service);
            at = std::max({at, lastCrashAt + suspectPause,
                           lastSendDueAt(evidence_, suspect, lastCrashAt, now)});
            continue;
        }
        const bool repeated =
            wisteria::suspicionOf(evidence_, suspect, now) == Suspicion::RepeatedSuspect;
        at = std::max({at, record.lastAt + (repeated ? repeatedPartPause : suspectPause),
                       openedAt + repeatedPartPause});
    }
    return at;
}

/// Returns what has to be claimed before a request is sent: its suspects of which one run is
/// allowed at a time, and the service if the request itself is one of them for its crashes.
std::vector<Fingerprint> PoisonGuard::claimsOf(const RequestIdentity &request,
                                               const std::string &service, TimePoint now) const
{
    std::vector<Fingerprint> claims = exclusiveSuspects(evidence_, request, now);
    if (std::find(claims.begin(), claims.end(), request.request) != claims.end()
        && !isOnlyUnproven(request, now))
        claims.push_back(fingerprintOfService(service));
    return claims;
}

TimePoint PoisonGuard::claimRun(const RequestIdentity &request, const std::string &service,
                                TimePoint now)
{
    return runs_.claim(claimsOf(request, service, now), now);
}

void PoisonGuard::receive(const ClaimMessage &message, TimePoint now)
{
    runs_.receive(message, now);
    noteTrial(evidence_, {message.suspect}, now);
    links_.changed();
}

std::vector<Fingerprint> PoisonGuard::noteRunBegin(const RequestIdentity &request,
                                                   const std::string &service, SendId id,
                                                   const SuspectSend &send, TimePoint now)
{
    if (suspicionOf(request, now) == Suspicion::None)
        return {};
    const bool onlyUnproven = isOnlyUnproven(request, now);
    if (!onlyUnproven)
        logSuspectSend(request, send, now);
    std::vector<Fingerprint> suspects = claimsOf(request, service, now);
    for (const Fingerprint &suspect : suspects) {
        if (noteTrial(evidence_, suspect, now)) {
            log_.info("request.tried", {{"fingerprint", toText(suspect)}});
            keep(suspect, true, now);
        }
    }
    if (std::find(suspects.begin(), suspects.end(), request.request) == suspects.end())
        suspects.push_back(request.request);
    runs_.begin(suspects);
    if (onlyUnproven)
        noteLastSend(evidence_, request.request, id, {.at = now});
    if (isRestricted(evidence_, request.request, now)) {
        noteLastSend(evidence_, request.request, id, {.at = now});
        sharing_.reportCopies(request.request, now);
        links_.evidenceChanged();
    }
    return suspects;
}

void PoisonGuard::logSuspectSend(const RequestIdentity &request, const SuspectSend &send,
                                 TimePoint now) const
{
    LogFields fields = fieldsOf(request.request, crashRecordOf(evidence_, request.request, now));
    fields["id"] = send.requestId;
    fields["backend"] = send.backend;
    fields["left_s"] = secondsOf(send.timeLeft);
    fields["ended_copies"] = endedCopiesOf(evidence_, request.request, now);
    fields["last_sends"] = lastSendsOf(evidence_, request.request, now);
    log_.info("request.sent_suspect", fields);
}

void PoisonGuard::noteRunEnd(const std::vector<Fingerprint> &suspects, SendId id, RunEnd end,
                             TimePoint now)
{
    const milliseconds holds = end == RunEnd::Unknown ? claimAfterRun : milliseconds(0);
    for (const Fingerprint &suspect : suspects) {
        const bool wasOnlyUnproven = wisteria::isOnlyUnproven(evidence_, suspect, now);
        if (wasOnlyUnproven && end == RunEnd::NotExecuted)
            withdrawLastSend(evidence_, suspect, id);
        if (end == RunEnd::NotDelivered && withdrawLastSend(evidence_, suspect, id)
            && !wasOnlyUnproven) {
            sharing_.reportCopies(suspect, now);
            links_.evidenceChanged();
        }
        runs_.end(suspect, holds, now);
    }
    if (!suspects.empty())
        links_.changed();
}

void PoisonGuard::noteCrash(const ServerCrash &crash, TimePoint now)
{
    lastCrashSeenHere_ = true;
    ServerCrash seen = crash;
    seen.seenHere = true;
    addCrash(seen, now);
    sharing_.reportCrash(crash, now);
    // The others don't know of the sends of an unproven request yet.
    for (const InFlightRequest &running : crash.running) {
        const Fingerprint &request = running.identity.request;
        if (isUnproven(evidence_, request) && lastSendsOf(evidence_, request, now) > 0)
            sharing_.reportCopies(request, now);
    }
    links_.evidenceChanged();
    links_.changed();
}

void PoisonGuard::addCrash(const ServerCrash &crash, TimePoint now)
{
    judgeUntil_ = now + foundDownTime + 2 * judgeInterval;
    if (wisteria::noteCrash(evidence_, crash, now))
        sharing_.noteCrash(now, std::uniform_real_distribution<double>(0, 1)(random_));
}

/// Quarantines suspects until no further one is found: each one explains crashes that spoke against
/// the quarantine of others.
void PoisonGuard::judge(TimePoint now)
{
    nextJudgementAt_ = now + judgeInterval;
    while (const auto found = newPoison(evidence_, true, now)) {
        const CrashRecord record = crashRecordOf(evidence_, *found, now);
        quarantine(evidence_, *found, now + quarantineTime, now);
        LogFields fields = fieldsOf(*found, record);
        fields["only_with"] = evidence_.quarantined.at(*found).with.size();
        log_.warn("request.quarantined", fields);
        keep(*found, lastCrashSeenHere_, now);
        links_.changed();
    }
    quarantineWithoutLastSend(now);
    logWeighed(now);
}

/// Quarantines restricted requests whose last sends have all ended without a complete run, so that
/// their callers are told at once.
void PoisonGuard::quarantineWithoutLastSend(TimePoint now)
{
    for (const Fingerprint &request : restrictedRequests(evidence_, now)) {
        if (evidence_.quarantined.contains(request) || hasLastSend(evidence_, request, now)
            || runs_.mayRun(request, now))
            continue;
        // That crashes may be unknown is no reason for a verdict.
        if (endedCopiesOf(evidence_, request, now) < maxEndedCopies)
            continue;
        quarantine(evidence_, request, now + quarantineTime, now);
        log_.warn("request.quarantined",
                  {{"fingerprint", toText(request)},
                   {"ended_copies", endedCopiesOf(evidence_, request, now)},
                   {"last_sends", lastSendsOf(evidence_, request, now)}});
        keep(request, lastCrashSeenHere_, now);
        links_.changed();
    }
}

/// Tells why requests and parts that were in flight at several crashes are not quarantined.
void PoisonGuard::logWeighed(TimePoint now)
{
    for (const Fingerprint &suspect : repeatedlyInFlight(evidence_, now)) {
        const CrashRecord record = crashRecordOf(evidence_, suspect, now);
        if (evidence_.quarantined.contains(suspect) || now < verdictTime(record)
            || record.crashes == std::exchange(weighedCrashes_[suspect], record.crashes))
            continue;
        log_.info("request.not_quarantined", fieldsOf(suspect, record));
    }
}

/// Has the store keep a quarantine as it is now.
void PoisonGuard::keep(const Fingerprint &suspect, bool foundHere, TimePoint now)
{
    const auto found = evidence_.quarantined.find(suspect);
    if (found == evidence_.quarantined.end())
        return;
    const Quarantine &quarantine = found->second;
    links_.quarantined(suspect,
                       {.crashes = crashRecordOf(evidence_, suspect, now).crashes,
                        .left = remaining(now, quarantine.until),
                        .with = quarantine.with,
                        .trials = quarantine.trials},
                       foundHere);
}

void PoisonGuard::noteCompleted(const RequestIdentity &request, const std::string &service,
                                const CompletedRun &run, TimePoint at, TimePoint now)
{
    countCompletion(evidence_, service);
    std::vector<Fingerprint> suspects = request.parts;
    suspects.push_back(request.request);
    std::vector<Fingerprint> cleared;
    for (const Fingerprint &suspect : suspects) {
        const bool wasQuarantined = evidence_.quarantined.contains(suspect);
        const bool wasUnproven = isUnproven(evidence_, suspect);
        const bool counted = noteCompletion(evidence_, suspect, at, now);
        if (!counted && !wasQuarantined && !wasUnproven)
            continue;
        cleared.push_back(suspect);
        if (!counted && !wasQuarantined)
            continue;
        log_.info("request.cleared",
                  {{"fingerprint", toText(suspect)},
                   {"id", run.requestId},
                   {"backend", run.backend},
                   {"status", run.status}});
        if (wasQuarantined && !evidence_.quarantined.contains(suspect))
            links_.released(suspect);
    }
    if (cleared.empty())
        return;
    sharing_.reportCompletion(cleared, now);
    links_.changed();
}

void PoisonGuard::noteAnswered(const RequestIdentity &request)
{
    wisteria::noteAnswered(evidence_, request.request);
}

void PoisonGuard::noteRefusal(const Fingerprint &reason, TimePoint now)
{
    const auto found = evidence_.quarantined.find(reason);
    if (found == evidence_.quarantined.end() || found->second.until - now > quarantineTime / 2)
        return;
    quarantine(evidence_, reason, now + quarantineTime, now);
    keep(reason, true, now);
}

void PoisonGuard::applyQuarantine(const Fingerprint &suspect,
                                  const std::optional<KeptQuarantine> &kept, TimePoint now)
{
    const bool known = evidence_.quarantined.contains(suspect);
    if (kept) {
        quarantine(evidence_, suspect, now + std::min<milliseconds>(kept->left, quarantineTime),
                   now);
        Quarantine &quarantine = evidence_.quarantined.at(suspect);
        quarantine.trials = std::max(quarantine.trials, kept->trials);
        if (!known)
            quarantine.with = kept->with;
    } else if (known) {
        release(evidence_, suspect, now);
    }
    if (known == kept.has_value())
        return;
    log_.info(kept ? "request.quarantine_read" : "request.released",
              {{"fingerprint", toText(suspect)}});
    links_.changed();
}

void PoisonGuard::receive(const CrashReport &report, bool own, TimePoint now)
{
    if (milliseconds(report.ageMilliseconds) > crashLifetime)
        return;
    ServerCrash crash{.server = report.server,
                      .startedAt = report.startedAt,
                      .service = report.service,
                      .at = now - milliseconds(report.ageMilliseconds),
                      .servers = report.servers,
                      .running = {},
                      .seenHere = own};
    for (const RunningRequest &running : report.running)
        crash.running.push_back(decode(running, crash.at));
    const std::size_t known = evidence_.crashes.size();
    addCrash(crash, now);
    if (evidence_.crashes.size() > known) {
        lastCrashSeenHere_ = false;
        log_.info("backend.crashed",
                  {{"backend", report.server},
                   {"service", report.service},
                   {"source", "another gateway"},
                   {"requests", report.running.size()}});
    }
    links_.changed();
}

void PoisonGuard::receive(const CompletionReport &report, TimePoint now)
{
    const milliseconds age(report.ageMilliseconds);
    if (age > maxReportAge)
        return;
    const std::vector<Fingerprint> completed = decode(report.requests);
    for (const Fingerprint &one : completed)
        noteCompletion(evidence_, one, now - age, now);
    sharing_.noteReported(completed, now);
    links_.changed();
}

void PoisonGuard::receive(const CopyReport &report, TimePoint now)
{
    const TimePoint madeAt = now - milliseconds(report.ageMilliseconds);
    CopyAccount account{.endedCopies = report.endedCopies,
                        .countedAt = madeAt - milliseconds(report.countedAgoMilliseconds)};
    for (const CopyReport::Send &send : report.lastSends) {
        account.lastSends[send.id] = {.at = madeAt - milliseconds(send.agoMilliseconds),
                                      .delivered = send.delivered};
    }
    mergeAccount(evidence_, {report.request}, account, now);
    links_.changed();
}

void PoisonGuard::receive(const OrganisationIdReport &report)
{
    if (noteOrganisationId(evidence_.organisationIds, report.name, report.id))
        log_.info("organisation.id_told", {{"name", report.name}, {"id", report.id}});
}

void PoisonGuard::noteConfigurations(const ServiceConfiguration &earlier,
                                     const ServiceConfiguration &later)
{
    if (!wisteria::noteConfigurations(evidence_.organisationIds, earlier, later))
        return;
    log_.info("organisation.renamed",
              {{"version", later.version}, {"ids", evidence_.organisationIds.byName.size()}});
    // Otherwise the next crash has it written.
    if (wisteria::hasSuspects(evidence_))
        links_.evidenceChanged();
}

void PoisonGuard::checkTimeouts(TimePoint now)
{
    sharing_.checkTimeouts(now);
    if ((now < judgeUntil_ || !evidence_.accounts.empty()) && now >= nextJudgementAt_)
        judge(now);
    if (now < nextUpkeepAt_)
        return;
    nextUpkeepAt_ = now + upkeepInterval;
    sharing_.gossip(now);
    runs_.renew(now);
    if (servicesInDoubt_.empty())
        forgetUnproven(evidence_, now);
    std::erase_if(weighedCrashes_,
                  [this](const auto &item) { return !evidence_.crashesOf.contains(item.first); });
    for (const Fingerprint &suspect : wisteria::removeExpired(evidence_, now))
        links_.released(suspect);
}

void PoisonGuard::updateMetrics(Metrics &metrics, TimePoint now) const
{
    setPoisonState(metrics,
                   {.quarantined = evidence_.quarantined.size(),
                    .restricted = restrictedRequests(evidence_, now).size(),
                    .recentCrashes = evidence_.crashes.size()});
}

} // namespace wisteria
