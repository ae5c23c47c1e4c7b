#include "Programs/Gateway/CrashDetector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteria {

namespace {

/// Time between the first probe of a server that still listened and the second one. A crashing
/// process may close its connections some milliseconds before its listening socket.
constexpr milliseconds secondProbeAfter{50};
/// Time from when a suspect send was given up to the probe of its server.
constexpr milliseconds givenUpProbeAfter{250};
/// Time from an answer to when its server has survived it: less than `refusalWindow`, so that a
/// server that is gone then crashed under that send.
constexpr milliseconds survivalTime{750};
/// A refused connection shows a crash to which sends that ended at most this long before belong.
constexpr milliseconds refusalWindow{1000};
/// A restart shows a crash to which sends that ended at most this long before belong: some seconds
/// until the server is back, and until the list has its new entry.
constexpr milliseconds restartWindow{8000};
/// A server that crashed at most this long ago is found down because of it.
constexpr milliseconds knownDownTime{30000};
/// Interval between two looks whether a server has returned, and after one has: the list that is
/// read then may not have its entry yet.
constexpr milliseconds returnProbeInterval{100};
constexpr milliseconds probeAfterReturn{500};

} // namespace

CrashDetector::CrashDetector(EventLoop &loop, const BackendRegistry &registry, Crashed crashed)
    : registry_(registry), crashed_(std::move(crashed)), probes_(loop)
{ }

const BackendEntry *CrashDetector::stayingEntry(const std::string &server) const
{
    const auto known = registry_.backends.find(server);
    const bool leaves = known == registry_.backends.end() || known->second.entry.draining
        || registry_.drainingSince.contains(server);
    return leaves ? nullptr : &known->second.entry;
}

CrashDetector::BrokenServer *CrashDetector::recordUnanswered(const UnansweredSend &send,
                                                             TimePoint now)
{
    // A server that leaves ends its connections without a crash.
    const BackendEntry *entry = stayingEntry(send.server);
    if (entry == nullptr)
        return nullptr;
    BrokenServer &broken = broken_[send.server];
    if (broken.startedAt != entry->startedAt)
        broken = {};
    broken.address = entry->address;
    broken.startedAt = entry->startedAt;
    broken.service = entry->service;
    if (broken.sends.size() >= maxRunningPerCrash)
        broken.sends.erase(broken.sends.begin());
    broken.sends.push_back({{send.request, send.sentAt, {send.id}}, now});
    return &broken;
}

void CrashDetector::noteConnectionEnded(const UnansweredSend &send, TimePoint now,
                                        std::function<void()> checked)
{
    const BrokenServer *broken = recordUnanswered(send, now);
    if (broken == nullptr) {
        checked();
        return;
    }
    probes_.probe(
        broken->address,
        [this, server = send.server, checked = std::move(checked)](ProbeResult result) {
            finishProbe(server, result, true);
            checked();
        },
        now);
}

void CrashDetector::noteGivenUp(const UnansweredSend &send, bool probes, TimePoint now)
{
    BrokenServer *broken = recordUnanswered(send, now);
    if (broken != nullptr && probes)
        broken->probeAgainAt = std::min(broken->probeAgainAt, now + givenUpProbeAfter);
}

void CrashDetector::checkSurvival(const UnansweredSend &send, bool marksEnd,
                                  std::function<void(bool)> checked, TimePoint now)
{
    const BackendEntry *entry = stayingEntry(send.server);
    if (entry == nullptr) {
        checked(false);
        return;
    }
    survivalChecks_.push_back({.server = send.server,
                               .address = entry->address,
                               .startedAt = entry->startedAt,
                               .send = send.id,
                               .dueAt = now + survivalTime,
                               .checked = std::move(checked)});
    if (!marksEnd)
        noteConnectionEnded(send, now, [] {});
}

void CrashDetector::startSurvivalProbes(TimePoint now)
{
    const auto firstLater =
        std::stable_partition(survivalChecks_.begin(), survivalChecks_.end(),
                              [now](const SurvivalCheck &check) { return check.dueAt <= now; });
    std::vector<SurvivalCheck> due(std::make_move_iterator(survivalChecks_.begin()),
                                   std::make_move_iterator(firstLater));
    survivalChecks_.erase(survivalChecks_.begin(), firstLater);
    for (SurvivalCheck &check : due) {
        const Endpoint address = check.address;
        probes_.probe(
            address,
            [this, check = std::move(check)](ProbeResult result) {
                finishSurvivalProbe(check, result);
            },
            now);
    }
}

void CrashDetector::finishSurvivalProbe(const SurvivalCheck &check, ProbeResult result)
{
    finishProbe(check.server, result, false);
    const BackendEntry *entry = stayingEntry(check.server);
    const auto crash = knownCrashes_.find(check.server);
    const bool crashed = crash != knownCrashes_.end() && crash->second.startedAt == check.startedAt;
    const bool survived = result == ProbeResult::Listening && entry != nullptr
        && entry->startedAt == check.startedAt && !crashed;
    if (survived)
        forgetSend(check.server, check.send);
    check.checked(survived);
}

void CrashDetector::forgetSend(const std::string &server, SendId send)
{
    const auto found = broken_.find(server);
    if (found == broken_.end())
        return;
    std::erase_if(found->second.sends, [send](const BrokenServer::Send &one) {
        const auto &ids = one.request.sends;
        return std::find(ids.begin(), ids.end(), send) != ids.end();
    });
    if (found->second.sends.empty())
        broken_.erase(found);
}

void CrashDetector::finishProbe(const std::string &server, ProbeResult result, bool first)
{
    const TimePoint now = monotonicNow();
    if (result == ProbeResult::Refused)
        confirm(server, refusalWindow, now);
    else if (const auto found = broken_.find(server); first && found != broken_.end())
        found->second.probeAgainAt = now + secondProbeAfter;
}

void CrashDetector::noteRefused(const std::string &server, TimePoint now)
{
    if (broken_.contains(server)) {
        confirm(server, refusalWindow, now);
        return;
    }
    const BackendEntry *entry = stayingEntry(server);
    const auto known = knownCrashes_.find(server);
    if (entry == nullptr)
        return;
    const bool knownDown = known != knownCrashes_.end() && now - known->second.at < knownDownTime
        && known->second.startedAt == entry->startedAt;
    if (knownDown)
        return;
    report({.server = server,
            .startedAt = entry->startedAt,
            .service = entry->service,
            .at = now,
            .servers = countServers(entry->service)},
           now);
}

void CrashDetector::noteStartTime(const std::string &server, std::uint64_t startedAt, TimePoint now)
{
    const auto broken = broken_.find(server);
    if (broken == broken_.end() || broken->second.startedAt == startedAt)
        return;
    forgetSendsToSuccessor(server, broken->second);
    confirm(server, restartWindow, now);
}

/// Forgets sends after a crash of the process that the list still names. They reached the process
/// that has started since, so its start time shows no crash under them.
void CrashDetector::forgetSendsToSuccessor(const std::string &server, BrokenServer &broken) const
{
    const auto known = knownCrashes_.find(server);
    if (known == knownCrashes_.end() || known->second.startedAt != broken.startedAt)
        return;
    std::erase_if(broken.sends, [crashedAt = known->second.at](const BrokenServer::Send &send) {
        return send.request.sentAt && *send.request.sentAt > crashedAt;
    });
}

void CrashDetector::noteReported(const CrashReport &report, TimePoint now)
{
    const milliseconds age{report.ageMilliseconds};
    KnownCrash &known = knownCrashes_[report.server];
    if (now - age >= known.at)
        known = {now - age, report.startedAt};
    if (age >= refusalWindow)
        return;
    const auto broken = broken_.find(report.server);
    if (broken != broken_.end() && broken->second.startedAt == report.startedAt)
        confirm(report.server, refusalWindow, now);
}

void CrashDetector::confirm(const std::string &server, milliseconds within, TimePoint now)
{
    const auto found = broken_.find(server);
    if (found == broken_.end())
        return;
    const BrokenServer broken = std::move(found->second);
    broken_.erase(found);
    ServerCrash crash{.server = server,
                      .startedAt = broken.startedAt,
                      .service = broken.service,
                      .servers = countServers(broken.service)};
    for (const BrokenServer::Send &send : broken.sends) {
        if (now - send.endedAt > within)
            continue;
        crash.at = std::max(crash.at, send.endedAt);
        crash.running.push_back(send.request);
    }
    if (!crash.running.empty())
        report(crash, now);
}

void CrashDetector::report(const ServerCrash &crash, TimePoint now)
{
    knownCrashes_[crash.server] = {now, crash.startedAt};
    crashed_(crash);
}

/// Returns the entry of the server that crashed first of those of a service that the list still
/// names as they were before; null if there is none.
const BackendEntry *CrashDetector::longestDown(const std::string &service) const
{
    const BackendEntry *longest = nullptr;
    TimePoint longestAt = TimePoint::max();
    for (const auto &[server, crash] : knownCrashes_) {
        const BackendEntry *entry = stayingEntry(server);
        if (entry == nullptr || entry->service != service || entry->startedAt != crash.startedAt
            || crash.at >= longestAt)
            continue;
        longest = entry;
        longestAt = crash.at;
    }
    return longest;
}

void CrashDetector::probeReturn(const std::string &service, std::function<void()> returned,
                                TimePoint now)
{
    if (now < nextReturnProbeAt_)
        return;
    const BackendEntry *entry = longestDown(service);
    if (entry == nullptr)
        return;
    nextReturnProbeAt_ = now + returnProbeInterval;
    probes_.probe(
        entry->address,
        [this, returned = std::move(returned)](ProbeResult result) {
            if (result != ProbeResult::Listening)
                return;
            nextReturnProbeAt_ = monotonicNow() + probeAfterReturn;
            returned();
        },
        now);
}

void CrashDetector::checkTimeouts(TimePoint now)
{
    probes_.checkTimeouts(now);
    startSurvivalProbes(now);
    std::erase_if(broken_, [now](const auto &item) {
        return now - item.second.sends.back().endedAt > restartWindow;
    });
    std::erase_if(knownCrashes_,
                  [now](const auto &item) { return now - item.second.at > knownDownTime; });
    for (auto &[server, broken] : broken_) {
        if (now < broken.probeAgainAt)
            continue;
        broken.probeAgainAt = TimePoint::max();
        probes_.probe(
            broken.address,
            [this, id = server](ProbeResult result) { finishProbe(id, result, false); }, now);
    }
}

std::uint32_t CrashDetector::countServers(const std::string &service) const
{
    return static_cast<std::uint32_t>(std::count_if(
        registry_.backends.begin(), registry_.backends.end(), [&service](const auto &entry) {
            return entry.second.entry.service == service && !entry.second.replaced;
        }));
}

} // namespace wisteria
