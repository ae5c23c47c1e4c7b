#include "Request/RunClaims.h"

#include <algorithm>

namespace wisteria {

namespace {

const RunClaims::Claim *liveClaim(const RunClaims &claims, const Fingerprint &suspect,
                                  TimePoint now)
{
    const auto found = claims.bySuspect.find(suspect);
    const bool live = found != claims.bySuspect.end() && found->second.until > now;
    return live ? &found->second : nullptr;
}

} // namespace

TimePoint claimedByOthersUntil(const RunClaims &claims, const std::vector<Fingerprint> &suspects,
                               TimePoint now)
{
    TimePoint until = now;
    for (const Fingerprint &suspect : suspects) {
        const RunClaims::Claim *claim = liveClaim(claims, suspect, now);
        if (claim != nullptr && !claim->own)
            until = std::max(until, claim->until);
    }
    return until;
}

TimePoint claimsHoldUntil(const RunClaims &claims, const std::vector<Fingerprint> &suspects,
                          TimePoint now)
{
    TimePoint until = now;
    for (const Fingerprint &suspect : suspects) {
        if (const RunClaims::Claim *claim = liveClaim(claims, suspect, now))
            until = std::max(until, claim->until);
    }
    return until;
}

std::vector<Fingerprint> claim(RunClaims &claims, const std::vector<Fingerprint> &suspects,
                               std::uint64_t ticket, TimePoint now)
{
    std::vector<Fingerprint> added;
    for (const Fingerprint &suspect : suspects) {
        if (liveClaim(claims, suspect, now) != nullptr || claims.bySuspect.size() >= maxClaims)
            continue;
        claims.bySuspect[suspect] = {
            .ticket = ticket, .own = true, .since = now, .until = now + claimTime, .toldAt = now};
        added.push_back(suspect);
    }
    return added;
}

TimePoint claimsHoldAt(const RunClaims &claims, const std::vector<Fingerprint> &suspects,
                       TimePoint now)
{
    TimePoint at = now;
    for (const Fingerprint &suspect : suspects) {
        const RunClaims::Claim *claim = liveClaim(claims, suspect, now);
        if (claim == nullptr)
            at = std::max(at, now + claimSettleTime);
        else
            at = std::max(
                at, claim->own && !claim->afterRun ? claim->since + claimSettleTime : claim->until);
    }
    return at;
}

void renewOwnClaim(RunClaims &claims, const Fingerprint &suspect, TimePoint now)
{
    const auto found = claims.bySuspect.find(suspect);
    if (found != claims.bySuspect.end() && found->second.own)
        found->second.until = now + claimTime;
}

void endOwnClaim(RunClaims &claims, const Fingerprint &suspect, milliseconds holds, TimePoint now)
{
    const auto found = claims.bySuspect.find(suspect);
    if (found == claims.bySuspect.end() || !found->second.own)
        return;
    found->second.until = now + holds;
    found->second.afterRun = true;
}

bool mayObject(RunClaims &claims, const Fingerprint &suspect, TimePoint now)
{
    const auto found = claims.bySuspect.find(suspect);
    if (found == claims.bySuspect.end() || now - found->second.toldAt < objectionInterval)
        return false;
    found->second.toldAt = now;
    return true;
}

bool applyClaim(RunClaims &claims, const Fingerprint &suspect, std::uint64_t ticket,
                milliseconds holds, bool runsHere, TimePoint now)
{
    const RunClaims::Claim *known = liveClaim(claims, suspect, now);
    const bool ownGoesBefore = known != nullptr && known->own
        && (runsHere || now - known->since >= claimSettleTime || known->ticket <= ticket);
    if (ownGoesBefore)
        return false;
    const bool otherGoesBefore =
        known != nullptr && !known->own && known->ticket < ticket && known->until > now;
    if (!otherGoesBefore && (known != nullptr || claims.bySuspect.size() < maxClaims)) {
        claims.bySuspect[suspect] = {.ticket = ticket,
                                     .own = false,
                                     .since = now,
                                     .until = now + std::min(holds, claimTime)};
    }
    return true;
}

void removeExpired(RunClaims &claims, TimePoint now)
{
    std::erase_if(claims.bySuspect, [now](const auto &item) { return item.second.until <= now; });
}

} // namespace wisteria
