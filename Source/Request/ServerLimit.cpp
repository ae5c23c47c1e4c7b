#include "Request/ServerLimit.h"

#include <algorithm>
#include <cmath>

namespace wisteria {

namespace {

/// A permit that is not used within this time is lost: one that is kept could be used together
/// with all that are granted later.
constexpr milliseconds permitLifetime{500};
/// How long a permit is asked for after a request wanted one.
constexpr milliseconds wishLifetime{75};
/// Time for an answer of the keeper, after which it is asked again.
constexpr milliseconds answerTime{100};
/// Pauses between two questions of one gateway about one server that has no request to grant.
constexpr milliseconds leastPause{25};
constexpr milliseconds longestPause{250};
/// Requests that are granted at once after a time without any.
constexpr double burst = 2;
/// Requests a second that are granted whatever the limit: one that is none would never be known to
/// have ended.
constexpr double leastPerSecond = 0.2;
/// Without a question for this long nobody waits for a permit.
constexpr milliseconds quietAfter{1000};
constexpr std::chrono::minutes advertisedLimitLifetime{5};

bool holdsPermit(const ServerLimit &limit, TimePoint now)
{
    return limit.permits > 0 && now < limit.permitsUntil;
}

void refill(KeptLimit &kept, double perSecond, TimePoint now)
{
    if (kept.refilledAt == TimePoint())
        kept.refilledAt = now;
    const double passed = std::chrono::duration<double>(now - kept.refilledAt).count();
    kept.tokens = std::min(burst, kept.tokens + std::max(0.0, passed) * perSecond);
    kept.refilledAt = now;
}

milliseconds timeToToken(const KeptLimit &kept, double perSecond)
{
    constexpr double millisecondsPerSecond = 1000;
    return milliseconds(
        std::lround(std::max(0.0, 1 - kept.tokens) / perSecond * millisecondsPerSecond));
}

/// @param share The part of the limit that is granted here.
PermitAnswer answerWithin(KeptLimit &kept, const PermitQuestion &question, double share,
                          TimePoint now)
{
    updateLimit(kept.advertised, question.advertised);
    PermitAnswer answer{
        .server = question.server, .number = question.number, .advertised = kept.advertised};
    if (!kept.advertised.perSecond)
        return answer;
    const double perSecond = std::max(leastPerSecond, *kept.advertised.perSecond) * share;
    refill(kept, perSecond, now);
    answer.granted = question.wanted && kept.tokens >= 1;
    if (answer.granted)
        kept.tokens -= 1;
    answer.nextIn = timeToToken(kept, perSecond);
    return answer;
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
    limit.untold = true;
    return true;
}

bool isPermitted(const ServerLimits &limits, const std::string &id, TimePoint now)
{
    const auto found = limits.find(id);
    return found == limits.end() || !found->second.advertised.perSecond
        || holdsPermit(found->second, now);
}

void takePermit(ServerLimits &limits, const std::string &id, TimePoint now)
{
    const auto found = limits.find(id);
    if (found != limits.end() && holdsPermit(found->second, now))
        --found->second.permits;
}

void wantPermit(ServerLimits &limits, const std::string &id, TimePoint now)
{
    const auto found = limits.find(id);
    if (found != limits.end())
        found->second.wantedUntil = now + wishLifetime;
}

std::size_t limitsInForce(const ServerLimits &limits)
{
    return static_cast<std::size_t>(
        std::count_if(limits.begin(), limits.end(), [](const auto &entry) {
            return entry.second.advertised.perSecond.has_value();
        }));
}

std::optional<PermitQuestion> questionDue(ServerLimits &limits, const std::string &id,
                                          TimePoint now)
{
    ServerLimit &limit = limits[id];
    const bool wanted =
        now < limit.wantedUntil && limit.advertised.perSecond && !holdsPermit(limit, now);
    if ((!wanted || now < limit.askAgainAt) && !limit.untold)
        return std::nullopt;
    limit.untold = false;
    limit.askedAt = now;
    limit.open = true;
    limit.askAgainAt = now + answerTime;
    return PermitQuestion{
        .server = id, .wanted = wanted, .number = ++limit.asked, .advertised = limit.advertised};
}

bool takeAnswer(ServerLimits &limits, const PermitAnswer &answer, TimePoint now)
{
    const auto found = limits.find(answer.server);
    if (found == limits.end())
        return false;
    ServerLimit &limit = found->second;
    const bool ended =
        updateLimit(limit.advertised, answer.advertised) && !limit.advertised.perSecond;
    if (!limit.open || answer.number != limit.asked)
        return ended;
    limit.open = false;
    limit.nextPermitAt = now + answer.nextIn;
    limit.askAgainAt = now + std::clamp(answer.nextIn, leastPause, longestPause);
    if (answer.granted) {
        limit.permits = 1;
        limit.wantedUntil = TimePoint();
        limit.permitsUntil = limit.askedAt + permitLifetime;
    }
    return ended || answer.granted;
}

bool isExpired(const AdvertisedLimit &advertised, TimePoint now)
{
    return now - advertised.receivedAt > advertisedLimitLifetime;
}

PermitAnswer answerQuestion(KeptLimit &kept, const PermitQuestion &question, TimePoint now)
{
    return answerWithin(kept, question, 1, now);
}

PermitAnswer answerAlone(KeptLimit &kept, const PermitQuestion &question, double share,
                         double randomUnit, TimePoint now)
{
    // Of what many gateways saved up in a quiet time, each a request, a small limit is exceeded at
    // once. So nothing is saved, and each begins its turn at a moment of its own.
    if (now - kept.refilledAt > quietAfter) {
        kept.tokens = randomUnit;
        kept.refilledAt = now;
    }
    return answerWithin(kept, question, share, now);
}

void forgetOldLimits(KeptLimits &kept, TimePoint now)
{
    std::erase_if(kept,
                  [now](const auto &entry) { return isExpired(entry.second.advertised, now); });
}

} // namespace wisteria
