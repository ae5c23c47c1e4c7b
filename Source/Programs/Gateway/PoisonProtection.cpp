#include "Programs/Gateway/PoisonProtection.h"

#include <utility>
#include <vector>

#include "Programs/Gateway/CrashLog.h"

namespace wisteria {

namespace {

/// Bounds of the time that a gateway leaves it to the one that detected the last crash to write the
/// record of a quarantined request.
constexpr milliseconds minOtherWrites{1500};
constexpr milliseconds maxOtherWrites{3000};

} // namespace

PoisonProtection::PoisonProtection(EventLoop &loop, EventLog &log, Metrics &metrics,
                                   const BackendRegistry &registry, std::function<void()> changed)
    : loop_(loop), log_(log), metrics_(metrics), changed_(std::move(changed)),
      detector_(loop, registry, [this](const ServerCrash &crash) { noteCrash(crash); }),
      guard_(log, links())
{ }

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
            .add = [this](const GroupMessage &report, bool own) { addKept(report, own); }});
}

PoisonGuardLinks PoisonProtection::links()
{
    return {.evidence = {.sendToAll = [this](const GroupMessage &message) { sendToAll(message); },
                         .sendToOne = [this](const auto &messages) { sendToOne(messages); }},
            .changed = [this] { changed_(); },
            .quarantined = [this](const Fingerprint &suspect, const KeptQuarantine &kept,
                                  bool foundHere) { keepQuarantine(suspect, kept, foundHere); },
            .evidenceChanged = [this] { evidenceRecords_->noteChange(); },
            .released = [this](const Fingerprint &suspect) { records_->remove(suspect); }};
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
    for (const GroupMessage &report : guard_.latestReports(now))
        send(peer, report);
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

void PoisonProtection::checkTimeouts(TimePoint now)
{
    detector_.checkTimeouts(now);
    guard_.checkTimeouts(now);
    records_->checkTimeouts(now);
    evidenceRecords_->checkTimeouts(now);
}

} // namespace wisteria
