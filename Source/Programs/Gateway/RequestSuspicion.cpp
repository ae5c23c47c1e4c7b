#include "Programs/Gateway/RequestSuspicion.h"

#include <utility>

namespace wisteria {

RequestSuspicion::RequestSuspicion(CrashDetector &crashes, PoisonGuard &poison,
                                   const GatewayRequest &request, std::string organisation,
                                   std::string service)
    : crashes_(crashes), poison_(poison), request_(request), organisation_(std::move(organisation)),
      service_(std::move(service))
{ }

RequestSuspicion::~RequestSuspicion()
{
    *alive_ = false;
}

const RequestIdentity &RequestSuspicion::identity()
{
    if (!identity_)
        identity_ = identityOf(request_, organisation_, service_);
    return *identity_;
}

std::string RequestSuspicion::fingerprintIfKnown() const
{
    return identity_ ? toText(identity_->request) : std::string();
}

std::map<std::string, std::string> RequestSuspicion::partFingerprints()
{
    std::map<std::string, std::string> fingerprints;
    for (std::size_t i = 0; i < request_.sharedPromptParts.size(); ++i)
        fingerprints[request_.sharedPromptParts[i]] = toText(identity().parts[i]);
    return fingerprints;
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
    crashes_.noteConnectionEnded({server, identity()}, now,
                                 [alive = alive_, checked = std::move(checked)] {
                                     if (*alive)
                                         checked();
                                 });
}

void RequestSuspicion::noteGivenUp(const std::string &server, TimePoint now)
{
    crashes_.noteGivenUp({server, identity()}, now);
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
