#include "Programs/Gateway/PoisonGuard.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

namespace {

/// Datagrams get lost, so each one is sent a second time after this.
constexpr milliseconds repeatAfter{150};
/// Interval between the messages to one other gateway that repeat what became known of late. They
/// reach gateways that were cut off, or have started since.
constexpr milliseconds upkeepInterval{1000};
constexpr milliseconds gossipTime{30000};
constexpr std::size_t maxGossipCrashes = 8;
/// Fingerprints in one message, so that it fits into a packet.
constexpr std::size_t maxFingerprintsPerMessage = 64;
/// A peer's report about a time longer ago than this is not used.
constexpr milliseconds maxReportAge = crashLifetime;

RunningRequest encode(const RequestIdentity &identity)
{
    RunningRequest running{.request = identity.request.bytes};
    for (const Fingerprint &part : identity.parts)
        running.parts.push_back(part.bytes);
    return running;
}

RequestIdentity decode(const RunningRequest &running)
{
    RequestIdentity identity{.request = {running.request}};
    for (const FingerprintBytes &part : running.parts)
        identity.parts.push_back({part});
    return identity;
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
            report.running.push_back(encode(crash.running[next]));
            fingerprints += 1 + crash.running[next].parts.size();
        }
        reports.push_back(std::move(report));
    } while (next < crash.running.size());
    return reports;
}

} // namespace

PoisonGuard::PoisonGuard(EventLog &log, PoisonGuardLinks links)
    : log_(log), links_(std::move(links))
{ }

Suspicion PoisonGuard::suspicionOf(const Fingerprint &request, TimePoint now) const
{
    return wisteria::suspicionOf(evidence_, request, now);
}

TimePoint PoisonGuard::mayRunAt(const Fingerprint &request, TimePoint now) const
{
    const Suspicion suspicion = suspicionOf(request, now);
    if (suspicion == Suspicion::None)
        return now;
    if (suspicion == Suspicion::Quarantined || running_.contains(request))
        return TimePoint::max();
    if (suspicion == Suspicion::Suspect)
        return now;
    return std::max(now, crashRecordOf(evidence_, request, now).lastAt + reportSettleTime);
}

void PoisonGuard::noteRunBegin(const Fingerprint &request)
{
    ++running_[request];
}

void PoisonGuard::noteRunEnd(const Fingerprint &request)
{
    const auto found = running_.find(request);
    if (found == running_.end())
        return;
    if (--found->second == 0)
        running_.erase(found);
    links_.changed();
}

void PoisonGuard::noteCrash(const ServerCrash &crash, TimePoint now)
{
    wisteria::noteCrash(evidence_, crash, now);
    for (const CrashReport &report : reportsOf(crash, now))
        sendToAllTwice(report, now);
    judge(true, now);
    links_.changed();
}

/// Quarantines requests until no further one is found: each one explains crashes that spoke against
/// the quarantine of others.
void PoisonGuard::judge(bool crashSeenHere, TimePoint now)
{
    for (auto found = newPoisonRequests(evidence_, now); !found.empty();
         found = newPoisonRequests(evidence_, now)) {
        for (const Fingerprint &request : found) {
            const CrashRecord record = crashRecordOf(evidence_, request, now);
            quarantine(evidence_, request, now + quarantineTime);
            log_.warn("request.quarantined",
                      {{"fingerprint", toText(request)},
                       {"crashes", record.crashes},
                       {"weight", record.weight},
                       {"other_cause", record.otherCause}});
            links_.quarantined(request, record.crashes, crashSeenHere);
        }
    }
}

void PoisonGuard::noteCompleted(const Fingerprint &request, TimePoint now)
{
    const bool wasQuarantined = evidence_.quarantinedUntil.contains(request);
    if (!wasQuarantined && crashRecordOf(evidence_, request, now).crashes == 0)
        return;
    noteCompletion(evidence_, request, now, now);
    log_.info("request.cleared", {{"fingerprint", toText(request)}});
    if (wasQuarantined)
        links_.released(request);
    sendToAllTwice(CompletionReport{.ageMilliseconds = 0, .requests = {request.bytes}}, now);
    links_.changed();
}

void PoisonGuard::noteRefusal(const Fingerprint &request, TimePoint now)
{
    const auto found = evidence_.quarantinedUntil.find(request);
    if (found == evidence_.quarantinedUntil.end() || found->second - now > quarantineTime / 2)
        return;
    quarantine(evidence_, request, now + quarantineTime);
    links_.quarantined(request, crashRecordOf(evidence_, request, now).crashes, true);
}

void PoisonGuard::applyQuarantine(const Fingerprint &request,
                                  std::optional<milliseconds> left, TimePoint now)
{
    const bool known = evidence_.quarantinedUntil.contains(request);
    if (left)
        quarantine(evidence_, request, now + std::min<milliseconds>(*left, quarantineTime));
    else if (known)
        release(evidence_, request, now);
    if (known == left.has_value())
        return;
    log_.info(left ? "request.quarantine_read" : "request.released",
              {{"fingerprint", toText(request)}});
    links_.changed();
}

void PoisonGuard::receive(const CrashReport &report, TimePoint now)
{
    if (milliseconds(report.ageMilliseconds) > maxReportAge)
        return;
    ServerCrash crash{.server = report.server,
                      .startedAt = report.startedAt,
                      .service = report.service,
                      .at = now - milliseconds(report.ageMilliseconds),
                      .servers = report.servers};
    for (const RunningRequest &running : report.running)
        crash.running.push_back(decode(running));
    if (wisteria::noteCrash(evidence_, std::move(crash), now)) {
        log_.info("backend.crashed",
                  {{"backend", report.server},
                   {"service", report.service},
                   {"source", "another gateway"},
                   {"requests", report.running.size()}});
    }
    judge(false, now);
    links_.changed();
}

void PoisonGuard::receive(const CompletionReport &report, TimePoint now)
{
    if (milliseconds(report.ageMilliseconds) > maxReportAge)
        return;
    for (const FingerprintBytes &request : report.requests)
        noteCompletion(evidence_, {request}, now - milliseconds(report.ageMilliseconds), now);
    links_.changed();
}

void PoisonGuard::sendToAllTwice(const std::variant<CrashReport, CompletionReport> &message,
                                 TimePoint now)
{
    std::visit([this](const auto &report) { links_.sendToAll(report); }, message);
    repeats_.push_back({now, message});
}

void PoisonGuard::sendRepeats(TimePoint now)
{
    const auto isDue = [now](const RepeatedMessage &repeat) {
        return now - repeat.firstSentAt >= repeatAfter;
    };
    for (RepeatedMessage &repeat : repeats_) {
        if (!isDue(repeat))
            continue;
        const auto passed = static_cast<std::uint32_t>(remaining(repeat.firstSentAt, now).count());
        const auto sendOlder = [this, passed](auto &report) {
            report.ageMilliseconds += passed;
            links_.sendToAll(report);
        };
        std::visit(sendOlder, repeat.message);
    }
    std::erase_if(repeats_, isDue);
}

void PoisonGuard::gossip(TimePoint now)
{
    std::size_t sent = 0;
    for (auto crash = evidence_.crashes.rbegin();
         crash != evidence_.crashes.rend() && sent < maxGossipCrashes; ++crash) {
        if (now - crash->at > gossipTime || !isOpen(evidence_, *crash, now))
            continue;
        ++sent;
        for (const CrashReport &report : reportsOf(*crash, now))
            links_.sendToOne(report);
    }
}

void PoisonGuard::checkTimeouts(TimePoint now)
{
    sendRepeats(now);
    if (now < nextUpkeepAt_)
        return;
    nextUpkeepAt_ = now + upkeepInterval;
    gossip(now);
    for (const Fingerprint &request : removeExpired(evidence_, now))
        links_.released(request);
}

void PoisonGuard::updateMetrics(Metrics &metrics) const
{
    setPoisonState(metrics, evidence_.quarantinedUntil.size(), evidence_.crashes.size());
}

} // namespace wisteria
