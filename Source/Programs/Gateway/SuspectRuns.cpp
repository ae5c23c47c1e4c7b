#include "Programs/Gateway/SuspectRuns.h"

#include <utility>

namespace wisteria {

SuspectRuns::SuspectRuns(std::function<void(const GroupMessage &)> sendToAll)
    : sendToAll_(std::move(sendToAll))
{ }

bool SuspectRuns::mayRun(const Fingerprint &suspect, TimePoint now) const
{
    return runsHere(suspect) || claimsHoldUntil(claims_, {suspect}, now) > now;
}

TimePoint SuspectRuns::claim(const std::vector<Fingerprint> &suspects, TimePoint now)
{
    if (suspects.empty())
        return now;
    if (const TimePoint until = claimedByOthersUntil(claims_, suspects, now); until > now)
        return until;
    for (const Fingerprint &claimed : wisteria::claim(claims_, suspects, random_(), now))
        tell(claimed, claimTime);
    return claimsHoldAt(claims_, suspects, now);
}

void SuspectRuns::begin(const std::vector<Fingerprint> &suspects)
{
    for (const Fingerprint &suspect : suspects)
        ++running_[suspect];
}

void SuspectRuns::end(const Fingerprint &suspect, milliseconds holds, TimePoint now)
{
    const auto found = running_.find(suspect);
    if (found == running_.end())
        return;
    if (--found->second == 0)
        running_.erase(found);
    const auto claim = claims_.bySuspect.find(suspect);
    if (claim == claims_.bySuspect.end() || !claim->second.own)
        return;
    endOwnClaim(claims_, suspect, holds, now);
    tell(suspect, holds);
}

void SuspectRuns::receive(const ClaimMessage &message, TimePoint now)
{
    const Fingerprint suspect{message.suspect};
    const bool applied =
        applyClaim(claims_, suspect, message.ticket, milliseconds(message.holdsMilliseconds),
                   runsHere(suspect), now);
    if (!applied && mayObject(claims_, suspect, now))
        tell(suspect, remaining(now, claims_.bySuspect[suspect].until));
}

void SuspectRuns::renew(TimePoint now)
{
    for (const auto &[suspect, runs] : running_) {
        const auto claim = claims_.bySuspect.find(suspect);
        if (claim == claims_.bySuspect.end() || !claim->second.own)
            continue;
        renewOwnClaim(claims_, suspect, now);
        tell(suspect, claimTime);
    }
    removeExpired(claims_, now);
}

/// Tells the other gateways of a claim.
void SuspectRuns::tell(const Fingerprint &suspect, milliseconds holds)
{
    sendToAll_(ClaimMessage{.ticket = claims_.bySuspect[suspect].ticket,
                            .holdsMilliseconds = static_cast<std::uint32_t>(holds.count()),
                            .suspect = suspect.bytes});
}

} // namespace wisteria
