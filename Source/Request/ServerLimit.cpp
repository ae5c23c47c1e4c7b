#include "Request/ServerLimit.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

/// A permit expires if it is not used within this time: permits that are kept could be used
/// together with those granted later and exceed the limit.
constexpr milliseconds permitLifetime{500};
/// How long permits are requested after markPermitWanted().
constexpr milliseconds wantedLifetime{75};
/// Time after which an unanswered permit request is repeated.
constexpr milliseconds replyTimeout{100};
/// Bounds of the interval between two permit requests of one gateway for the same server.
constexpr milliseconds minRequestInterval{25};
constexpr milliseconds maxRequestInterval{250};
/// Size of the token bucket: permits that are granted at once after a time without requests.
constexpr double burst = 2;
/// Lower bound of the rate that is granted, in requests per second. With a limit of zero no answer
/// would arrive that tells the gateways of the limit's end.
constexpr double minPerSecond = 0.2;
/// Without permit requests for this long, no request is waiting for a permit.
constexpr milliseconds idleAfter{1000};
/// How long a limit owner uses a rate of the slow start, or keeps a rate while higher ones are
/// reported: each permit request brings the current one.
constexpr milliseconds slowStartStep{250};
/// Age from which an advertised limit counts as expired; see isExpired().
constexpr std::chrono::minutes advertisedLimitLifetime{5};

bool holdsPermit(const ServerLimit &limit, TimePoint now)
{
    return limit.permits > 0 && now < limit.permitsUntil;
}

std::optional<double> lowerOf(const std::optional<double> &first,
                              const std::optional<double> &second)
{
    return first && second ? std::min(first, second) : (first ? first : second);
}

void refill(OwnedLimit &owned, double perSecond, TimePoint now)
{
    if (owned.refilledAt == TimePoint())
        owned.refilledAt = now;
    const double passed = std::chrono::duration<double>(now - owned.refilledAt).count();
    owned.tokens = std::min(burst, owned.tokens + std::max(0.0, passed) * perSecond);
    owned.refilledAt = now;
}

milliseconds timeToNextToken(const OwnedLimit &owned, double perSecond)
{
    constexpr double millisecondsPerSecond = 1000;
    if (owned.tokens >= 1)
        return milliseconds(0);
    // Never zero, which would mean that the owner knows no limit; see isUnknownToOwner().
    return std::max(
        milliseconds(1),
        milliseconds(std::lround((1 - owned.tokens) / perSecond * millisecondsPerSecond)));
}

/// Returns whether a reply shows that the owner knows no limit, although the server is cold. An
/// owner of an earlier version knows no cold rates and never grants a permit for one; then the
/// bound relies on this gateway's share of requests. The reply to a message that requested no
/// permit shows nothing: an owner with a permit left replies alike.
bool isUnknownToOwner(const ServerLimit &limit, const PermitReply &reply, TimePoint now)
{
    return !reply.granted && reply.nextIn == milliseconds(0) && !reply.advertised.perSecond
        && rateOf(limit.cold, now) && limit.requestedPermit;
}

/// @param share Fraction of the limit that is granted here.
PermitReply answerFromBucket(OwnedLimit &owned, const PermitRequest &request, double share,
                             TimePoint now)
{
    updateLimit(owned.advertised, request.advertised);
    noteColdLimit(owned, request.cold, now);
    PermitReply reply{
        .server = request.server, .number = request.number, .advertised = owned.advertised};
    const auto limit = lowerOf(owned.advertised.perSecond, rateOf(owned.cold, now));
    if (!limit)
        return reply;
    const double perSecond = std::max(minPerSecond, *limit) * share;
    refill(owned, perSecond, now);
    reply.granted = request.wanted && owned.tokens >= 1;
    if (reply.granted)
        owned.tokens -= 1;
    reply.nextIn = timeToNextToken(owned, perSecond);
    return reply;
}

} // namespace

std::optional<double> rateOf(const ColdLimit &limit, TimePoint now)
{
    if (now < limit.until)
        return limit.perSecond;
    if (now >= limit.until + limit.slowStart)
        return std::nullopt;
    const std::chrono::duration<double> passed = now - limit.until;
    const std::chrono::duration<double> slowStart = limit.slowStart;
    return limit.perSecond
        + (limit.fullPerSecond - limit.perSecond) * (passed.count() / slowStart.count());
}

ColdLimit currentLimit(const ColdLimit &limit, TimePoint now)
{
    const auto perSecond = rateOf(limit, now);
    if (!perSecond)
        return {};
    const TimePoint until = now < limit.until ? limit.until : now + slowStartStep;
    return {.perSecond = *perSecond, .until = until};
}

milliseconds remainingTime(const ColdLimit &limit, TimePoint now)
{
    return std::chrono::ceil<milliseconds>(std::max(limit.until - now, TimePoint::duration(0)));
}

std::optional<double> limitAt(const ServerLimit &limit, TimePoint now)
{
    return lowerOf(limit.advertised.perSecond, rateOf(limit.cold, now));
}

bool wasAdvertised(const AdvertisedLimit &advertised)
{
    return advertised.receivedAt != TimePoint();
}

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
    const bool known = found != limits.end() && wasAdvertised(found->second.advertised);
    if (!known && !advertised.perSecond)
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
    return found == limits.end() || !limitAt(found->second, now) || holdsPermit(found->second, now);
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

std::size_t activeLimitCount(const ServerLimits &limits)
{
    return static_cast<std::size_t>(
        std::count_if(limits.begin(), limits.end(), [](const auto &item) {
            return item.second.advertised.perSecond.has_value();
        }));
}

std::optional<PermitRequest> nextPermitRequest(ServerLimits &limits, const std::string &id,
                                               TimePoint now)
{
    ServerLimit &limit = limits[id];
    const bool wanted = now < limit.wantedUntil && limitAt(limit, now) && !holdsPermit(limit, now);
    if ((!wanted || now < limit.nextRequestAt) && !limit.ownerNotInformed)
        return std::nullopt;
    limit.ownerNotInformed = false;
    limit.requestedAt = now;
    limit.awaitingReply = true;
    limit.requestedPermit = wanted;
    limit.nextRequestAt = now + replyTimeout;
    return PermitRequest{.server = id,
                         .wanted = wanted,
                         .number = ++limit.requestNumber,
                         .advertised = limit.advertised,
                         .cold = currentLimit(limit.cold, now)};
}

bool applyPermitReply(ServerLimits &limits, const PermitReply &reply, TimePoint now)
{
    const auto found = limits.find(reply.server);
    if (found == limits.end())
        return false;
    ServerLimit &limit = found->second;
    const bool limitEnded = updateLimit(limit.advertised, reply.advertised) && !limitAt(limit, now);
    if (!limit.awaitingReply || reply.number != limit.requestNumber)
        return limitEnded;
    limit.awaitingReply = false;
    limit.nextPermitAt = now + reply.nextIn;
    limit.nextRequestAt = now + std::clamp(reply.nextIn, minRequestInterval, maxRequestInterval);
    const bool granted = reply.granted || isUnknownToOwner(limit, reply, now);
    if (granted) {
        limit.permits = 1;
        limit.wantedUntil = TimePoint();
        limit.permitsUntil = limit.requestedAt + permitLifetime;
    }
    return limitEnded || granted;
}

bool isExpired(const AdvertisedLimit &advertised, TimePoint now)
{
    return now - advertised.receivedAt > advertisedLimitLifetime;
}

bool isObsolete(const ServerLimit &limit, TimePoint now)
{
    return !wasAdvertised(limit.advertised) && !rateOf(limit.cold, now);
}

void noteColdLimit(OwnedLimit &owned, const ColdLimit &reported, TimePoint now)
{
    if (!rateOf(reported, now))
        return;
    const auto known = rateOf(owned.cold, now);
    const bool outdated = now - owned.coldReportedAt > slowStartStep;
    if (known && !outdated && reported.perSecond > *known)
        return;
    const bool sameRate = known && !outdated && reported.perSecond == *known;
    const TimePoint until = sameRate ? std::max(owned.cold.until, reported.until) : reported.until;
    owned.cold = {.perSecond = reported.perSecond, .until = until};
    owned.coldReportedAt = now;
}

PermitReply answerPermitRequest(OwnedLimit &owned, const PermitRequest &request, TimePoint now)
{
    return answerFromBucket(owned, request, 1, now);
}

PermitReply answerWithoutPeers(OwnedLimit &owned, const PermitRequest &request, double share,
                               double randomUnit, TimePoint now)
{
    // If many gateways each saved up one permit while idle, they would exceed a small limit at
    // once. So an idle bucket saves nothing; its random fill spreads the first grants of the
    // gateways.
    if (now - owned.refilledAt > idleAfter) {
        owned.tokens = randomUnit;
        owned.refilledAt = now;
    }
    return answerFromBucket(owned, request, share, now);
}

void removeExpiredLimits(OwnedLimits &owned, TimePoint now)
{
    // The age of the advertised limit alone does not suffice: if a bucket is removed while permits
    // are requested, the next one starts empty and grants nothing.
    std::erase_if(owned, [now](const auto &item) {
        return isExpired(item.second.advertised, now)
            && now - item.second.refilledAt > advertisedLimitLifetime;
    });
}

} // namespace wisteria
