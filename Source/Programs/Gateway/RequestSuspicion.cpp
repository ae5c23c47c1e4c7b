#include "Programs/Gateway/RequestSuspicion.h"

#include <utility>

namespace wisteria {

RequestSuspicion::RequestSuspicion(CrashDetector &crashes, PoisonGuard &poison,
                                   const GatewayRequest &request, std::string organisation)
    : crashes_(crashes), poison_(poison), request_(request), organisation_(std::move(organisation))
{ }

RequestSuspicion::~RequestSuspicion()
{
    *alive_ = false;
}

const RequestFingerprint &RequestSuspicion::fingerprint()
{
    if (!fingerprint_)
        fingerprint_ = fingerprintOf(request_, organisation_);
    return *fingerprint_;
}

std::string RequestSuspicion::fingerprintIfKnown() const
{
    return fingerprint_ ? toText(*fingerprint_) : std::string();
}

Suspicion RequestSuspicion::level(TimePoint now)
{
    return poison_.hasSuspects() ? poison_.suspicionOf(fingerprint(), now) : Suspicion::None;
}

TimePoint RequestSuspicion::mayRunAt(TimePoint now)
{
    return poison_.hasSuspects() ? poison_.mayRunAt(fingerprint(), now) : now;
}

std::optional<std::uint64_t> RequestSuspicion::hashIfSuspect(TimePoint now)
{
    if (level(now) == Suspicion::None)
        return std::nullopt;
    return hashOf(fingerprint());
}

void RequestSuspicion::beginRun(TimePoint now)
{
    suspectRun_ = level(now) != Suspicion::None;
    if (suspectRun_)
        poison_.noteRunBegin(fingerprint());
}

void RequestSuspicion::endRun()
{
    if (std::exchange(suspectRun_, false))
        poison_.noteRunEnd(fingerprint());
}

void RequestSuspicion::noteConnectionEnded(const std::string &server, TimePoint now,
                                           std::function<void()> checked)
{
    crashes_.noteConnectionEnded({server, fingerprint()}, now,
                                 [alive = alive_, checked = std::move(checked)] {
                                     if (*alive)
                                         checked();
                                 });
}

void RequestSuspicion::noteGivenUp(const std::string &server, TimePoint now)
{
    crashes_.noteGivenUp({server, fingerprint()}, now);
}

void RequestSuspicion::noteCompleted(TimePoint now)
{
    if (poison_.hasSuspects())
        poison_.noteCompleted(fingerprint(), now);
}

void RequestSuspicion::noteRefused(TimePoint now)
{
    poison_.noteRefusal(fingerprint(), now);
}

} // namespace wisteria
