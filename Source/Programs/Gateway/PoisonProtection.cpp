#include "Programs/Gateway/PoisonProtection.h"

#include <iterator>
#include <utility>
#include <vector>

#include "Programs/Gateway/CrashLog.h"

namespace wisteria {

namespace {

/// Bounds of the time that a gateway leaves it to the one that detected the last crash to write the
/// record of a quarantined request.
constexpr milliseconds minOtherWrites{1500};
constexpr milliseconds maxOtherWrites{3000};
/// Interval between two questions of a gateway that may not know all crashes to the others.
constexpr milliseconds askInterval{1000};

} // namespace

PoisonProtection::PoisonProtection(EventLoop &loop, EventLog &log, Metrics &metrics,
                                   const BackendRegistry &registry, std::function<void()> changed)
    : loop_(loop), log_(log), metrics_(metrics), changed_(std::move(changed)), registry_(registry),
      detector_(loop, registry, [this](const ServerCrash &crash) { noteCrash(crash); }),
      guard_(log, links())
{
    gap_.startedAt = monotonicNow();
}

PoisonProtection::~PoisonProtection() = default;

void PoisonProtection::start(DatagramSocket &socket, GatewayDirectory &directory,
                             HttpClientPool &pool, const Endpoint &store)
{
    socket_ = &socket;
    directory_ = &directory;
    records_ = std::make_unique<QuarantineRecords>(
        loop_, pool, log_, metrics_, store,
        QuarantineEvents{.changed = [this](const Fingerprint &suspect,
                                           const std::optional<KeptQuarantine> &kept) {
            guard_.applyQuarantine(suspect, kept, monotonicNow());
        }});
    evidenceRecords_ = std::make_unique<EvidenceRecords>(
        pool, log_, store, directory.self(),
        EvidenceRecordLinks{
            .ownReports = [this](TimePoint now) { return guard_.ownReports(now); },
            .knownReports = [this](TimePoint now) { return guard_.knownReports(now); },
            .add = [this](const GroupMessage &report, bool own) { addKept(report, own); },
            .allRead = [this](const EvidenceRead &read) { noteRecordsRead(read); },
            .renewsKnownUntil = [this](WallTime wall) { return renewsKnownUntil(wall); }});
}

PoisonGuardLinks PoisonProtection::links()
{
    return {.evidence = {.sendToAll = [this](const GroupMessage &message) { sendToAll(message); },
                         .sendToOne = [this](const auto &messages) { sendToOne(messages); }},
            .changed = [this] { changed_(); },
            .quarantined = [this](const Fingerprint &suspect, const KeptQuarantine &kept,
                                  bool foundHere) { keepQuarantine(suspect, kept, foundHere); },
            .evidenceChanged = [this] { evidenceRecords_->noteChange(); },
            .released = [this](const Fingerprint &suspect) { records_->remove(suspect); },
            .peersKnown = [this] { return directory_->known(); }};
}

void PoisonProtection::send(const Endpoint &to, const GroupMessage &message)
{
    socket_->send(to, encodeMessage(message));
}

void PoisonProtection::sendToAll(const GroupMessage &message)
{
    for (const Endpoint &peer : directory_->peers())
        send(peer, message);
}

void PoisonProtection::sendToOne(const std::vector<GroupMessage> &messages)
{
    const std::vector<Endpoint> peers = directory_->peers();
    if (peers.empty())
        return;
    std::uniform_int_distribution<std::size_t> anyPeer(0, peers.size() - 1);
    const Endpoint &peer = peers[anyPeer(random_)];
    for (const GroupMessage &message : messages)
        send(peer, message);
}

void PoisonProtection::introduce(const Endpoint &peer, TimePoint now)
{
    for (const GroupMessage &report : guard_.allReports(now))
        send(peer, report);
    if (gap_.closed)
        send(peer, EvidenceComplete{});
}

void PoisonProtection::noteRecordsRead(const EvidenceRead &read)
{
    wisteria::noteRecordsRead(gap_, read, monotonicNow());
    const WallTime knownUntil = read.knownUntil.value_or(WallTime());
    log_.info("evidence.read",
              {{"known_until_ms", knownUntil.time_since_epoch().count()},
               {"call_failed", read.callFailed},
               {"complete", gap_.closed}});
}

/// Whether this gateway writes in the present interval that it knows all crashes: the gateways take
/// turns.
bool PoisonProtection::renewsKnownUntil(WallTime wall)
{
    const PeerGateways &gateways = directory_->gateways();
    const std::int64_t interval = wall.time_since_epoch() / knownUntilInterval;
    if (!gap_.closed || gateways.empty() || interval == renewedInterval_)
        return false;
    const auto turn = static_cast<std::size_t>(interval) % gateways.size();
    if (std::next(gateways.begin(), static_cast<std::ptrdiff_t>(turn))->first != directory_->self())
        return false;
    renewedInterval_ = interval;
    return true;
}

/// Looks which services are in doubt, and asks the other gateways what they know.
void PoisonProtection::checkGap(TimePoint now)
{
    closeIfExpired(gap_, crashLifetime, now);
    guard_.setServicesInDoubt(servicesInDoubt(gap_, registry_, now), now);
    if (gap_.closed || !gap_.recordsReadAt || now - askedAt_ < askInterval)
        return;
    askedAt_ = now;
    directory_->introduceToAll();
}

void PoisonProtection::keepQuarantine(const Fingerprint &suspect, const KeptQuarantine &kept,
                                      bool foundHere)
{
    std::uniform_int_distribution<std::int64_t> delay(minOtherWrites.count(),
                                                      maxOtherWrites.count());
    const milliseconds waits = foundHere ? milliseconds(0) : milliseconds(delay(random_));
    records_->add(suspect, kept, monotonicNow() + waits);
}

void PoisonProtection::noteCrash(const ServerCrash &crash)
{
    logCrash(log_, metrics_, crash);
    guard_.noteCrash(crash, monotonicNow());
}

void PoisonProtection::receive(const CrashReport &report, TimePoint now)
{
    detector_.noteReported(report, now);
    guard_.receive(report, false, now);
}

/// Applies a report that the store has kept.
void PoisonProtection::addKept(const GroupMessage &report, bool own)
{
    const TimePoint now = monotonicNow();
    if (const auto *crash = std::get_if<CrashReport>(&report))
        guard_.receive(*crash, own, now);
    else if (const auto *copies = std::get_if<CopyReport>(&report))
        guard_.receive(*copies, now);
    else if (const auto *organisation = std::get_if<OrganisationIdReport>(&report))
        guard_.receive(*organisation);
}

void PoisonProtection::receive(const CompletionReport &report, TimePoint now)
{
    guard_.receive(report, now);
}

void PoisonProtection::receive(const CopyReport &report, TimePoint now)
{
    guard_.receive(report, now);
}

void PoisonProtection::receive(const ClaimMessage &claim, TimePoint now)
{
    guard_.receive(claim, now);
}

void PoisonProtection::receive(const EvidenceComplete &, TimePoint now)
{
    if (gap_.closed || !gap_.recordsReadAt)
        return;
    gap_.closed = true;
    log_.info("evidence.complete", {{"after_s", secondsOf(remaining(gap_.startedAt, now))}});
}

void PoisonProtection::checkTimeouts(TimePoint now)
{
    checkGap(now);
    detector_.checkTimeouts(now);
    guard_.checkTimeouts(now);
    records_->checkTimeouts(now);
    evidenceRecords_->checkTimeouts(now);
}

} // namespace wisteria
