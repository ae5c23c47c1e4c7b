#include "Request/ServerLimit.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

/// A permit that is not used within this time is lost: one that is kept could be used together
/// with all that are granted later.
constexpr milliseconds permitLifetime{500};
/// How long a permit is asked for after a request wanted one.
constexpr milliseconds wantedLifetime{75};
/// Time for an answer of the keeper, after which it is asked again.
constexpr milliseconds answerTime{100};
/// Pauses between two questions of one gateway about one server that has no request to grant.
constexpr milliseconds minPause{25};
constexpr milliseconds maxPause{250};
/// Requests that are granted at once after a time without any.
constexpr double burst = 2;
/// Requests a second that are granted whatever the limit: one that is none would never be known to
/// have ended.
constexpr double minPerSecond = 0.2;
/// Without a question for this long nobody waits for a permit.
constexpr milliseconds quietAfter{1000};
constexpr std::chrono::minutes advertisedLimitLifetime{5};

bool holdsPermit(const ServerLimit &limit, TimePoint now)
{
    return limit.permits > 0 && now < limit.permitsUntil;
}

void refill(OwnedLimit &owned, double perSecond, TimePoint now)
{
    if (owned.refilledAt == TimePoint())
        owned.refilledAt = now;
    const double passed = std::chrono::duration<double>(now - owned.refilledAt).count();
    owned.tokens = std::min(burst, owned.tokens + std::max(0.0, passed) * perSecond);
    owned.refilledAt = now;
}

milliseconds timeToToken(const OwnedLimit &owned, double perSecond)
{
    constexpr double millisecondsPerSecond = 1000;
    return milliseconds(
        std::lround(std::max(0.0, 1 - owned.tokens) / perSecond * millisecondsPerSecond));
}

/// @param share The part of the limit that is granted here.
PermitReply answerWithin(OwnedLimit &owned, const PermitRequest &request, double share,
                         TimePoint now)
{
    updateLimit(owned.advertised, request.advertised);
    PermitReply reply{
        .server = request.server, .number = request.number, .advertised = owned.advertised};
    if (!owned.advertised.perSecond)
        return reply;
    const double perSecond = std::max(minPerSecond, *owned.advertised.perSecond) * share;
    refill(owned, perSecond, now);
    reply.granted = request.wanted && owned.tokens >= 1;
    if (reply.granted)
        owned.tokens -= 1;
    reply.nextIn = timeToToken(owned, perSecond);
    return reply;
}

} // namespace

bool updateLimit(AdvertisedLimit &known, const AdvertisedLimit &advertised)
{
    if (advertised.receivedAt < known.receivedAt)
        return false;
    const bool changes = known.perSecond != advertised.perSecond;
    known = advertised;
    return changes;
}

bool noteAdvertisedLimit(ServerLimits &limits, const std::string &id,
                         const AdvertisedLimit &advertised)
{
    const auto found = limits.find(id);
    if (found == limits.end() && !advertised.perSecond)
        return false;
    ServerLimit &limit = limits[id];
    if (!updateLimit(limit.advertised, advertised))
        return false;
    limit.ownerNotInformed = true;
    return true;
}

bool isPermitted(const ServerLimits &limits, const std::string &id, TimePoint now)
{
    const auto found = limits.find(id);
    return found == limits.end() || !found->second.advertised.perSecond
        || holdsPermit(found->second, now);
}

void consumePermit(ServerLimits &limits, const std::string &id, TimePoint now)
{
    const auto found = limits.find(id);
    if (found != limits.end() && holdsPermit(found->second, now))
        --found->second.permits;
}

void markPermitWanted(ServerLimits &limits, const std::string &id, TimePoint now)
{
    const auto found = limits.find(id);
    if (found != limits.end())
        found->second.wantedUntil = now + wantedLifetime;
}

std::size_t limitsInForce(const ServerLimits &limits)
{
    return static_cast<std::size_t>(
        std::count_if(limits.begin(), limits.end(), [](const auto &entry) {
            return entry.second.advertised.perSecond.has_value();
        }));
}

std::optional<PermitRequest> nextPermitRequest(ServerLimits &limits, const std::string &id,
                                               TimePoint now)
{
    ServerLimit &limit = limits[id];
    const bool wanted =
        now < limit.wantedUntil && limit.advertised.perSecond && !holdsPermit(limit, now);
    if ((!wanted || now < limit.nextRequestAt) && !limit.ownerNotInformed)
        return std::nullopt;
    limit.ownerNotInformed = false;
    limit.requestedAt = now;
    limit.awaitingReply = true;
    limit.nextRequestAt = now + answerTime;
    return PermitRequest{.server = id,
                         .wanted = wanted,
                         .number = ++limit.requestNumber,
                         .advertised = limit.advertised};
}

bool applyPermitReply(ServerLimits &limits, const PermitReply &reply, TimePoint now)
{
    const auto found = limits.find(reply.server);
    if (found == limits.end())
        return false;
    ServerLimit &limit = found->second;
    const bool ended =
        updateLimit(limit.advertised, reply.advertised) && !limit.advertised.perSecond;
    if (!limit.awaitingReply || reply.number != limit.requestNumber)
        return ended;
    limit.awaitingReply = false;
    limit.nextPermitAt = now + reply.nextIn;
    limit.nextRequestAt = now + std::clamp(reply.nextIn, minPause, maxPause);
    if (reply.granted) {
        limit.permits = 1;
        limit.wantedUntil = TimePoint();
        limit.permitsUntil = limit.requestedAt + permitLifetime;
    }
    return ended || reply.granted;
}

bool isExpired(const AdvertisedLimit &advertised, TimePoint now)
{
    return now - advertised.receivedAt > advertisedLimitLifetime;
}

PermitReply answerPermitRequest(OwnedLimit &owned, const PermitRequest &request, TimePoint now)
{
    return answerWithin(owned, request, 1, now);
}

PermitReply answerWithoutPeers(OwnedLimit &owned, const PermitRequest &request, double share,
                               double randomUnit, TimePoint now)
{
    // Of what many gateways saved up in a quiet time, each a request, a small limit is exceeded at
    // once. So nothing is saved, and each begins its turn at a moment of its own.
    if (now - owned.refilledAt > quietAfter) {
        owned.tokens = randomUnit;
        owned.refilledAt = now;
    }
    return answerWithin(owned, request, share, now);
}

void forgetOldLimits(OwnedLimits &owned, TimePoint now)
{
    std::erase_if(owned,
                  [now](const auto &entry) { return isExpired(entry.second.advertised, now); });
}

} // namespace wisteria
