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
        QuarantineEvents{
            .changed = [this](const Fingerprint &request, std::optional<milliseconds> left) {
                guard_.applyQuarantine(request, left, monotonicNow());
            }});
}

PoisonGuardLinks PoisonProtection::links()
{
    return {.sendToAll =
                [this](const GroupMessage &message) {
                    for (const Endpoint &peer : directory_->peers())
                        send(peer, message);
                },
            .sendToOne = [this](const GroupMessage &message) { sendToOne(message); },
            .changed = [this] { changed_(); },
            .quarantined = [this](const Fingerprint &request, std::uint32_t crashes,
                                  bool foundHere) { keepQuarantine(request, crashes, foundHere); },
            .released = [this](const Fingerprint &request) { records_->remove(request); }};
}

void PoisonProtection::send(const Endpoint &to, const GroupMessage &message)
{
    socket_->send(to, encodeMessage(message));
}

void PoisonProtection::sendToOne(const GroupMessage &message)
{
    const std::vector<Endpoint> peers = directory_->peers();
    if (peers.empty())
        return;
    std::uniform_int_distribution<std::size_t> anyPeer(0, peers.size() - 1);
    send(peers[anyPeer(random_)], message);
}

void PoisonProtection::keepQuarantine(const Fingerprint &request, std::uint32_t crashes,
                                      bool foundHere)
{
    std::uniform_int_distribution<std::int64_t> delay(minOtherWrites.count(),
                                                      maxOtherWrites.count());
    const milliseconds waits = foundHere ? milliseconds(0) : milliseconds(delay(random_));
    records_->add(request, crashes, quarantineTime, monotonicNow() + waits);
}

void PoisonProtection::noteCrash(const ServerCrash &crash)
{
    logCrash(log_, metrics_, crash);
    guard_.noteCrash(crash, monotonicNow());
}

void PoisonProtection::receive(const CrashReport &report, TimePoint now)
{
    detector_.noteReported(report, now);
    guard_.receive(report, now);
}

void PoisonProtection::receive(const CompletionReport &report, TimePoint now)
{
    guard_.receive(report, now);
}

void PoisonProtection::checkTimeouts(TimePoint now)
{
    detector_.checkTimeouts(now);
    guard_.checkTimeouts(now);
    records_->checkTimeouts(now);
}

} // namespace wisteria
