#include "Programs/Gateway/LimitPermits.h"

#include <vector>

namespace wisteria {

namespace {

/// The part of a limit that gateways use that don't know each other: their turns fall together by
/// chance.
constexpr double usedAlone = 0.5;

std::uint32_t ageOf(const AdvertisedLimit &advertised, TimePoint now)
{
    return static_cast<std::uint32_t>(remaining(advertised.receivedAt, now).count());
}

AdvertisedLimit advertisedLimitOf(const std::optional<double> &perSecond, std::uint32_t age,
                                  TimePoint now)
{
    return {.perSecond = perSecond, .receivedAt = now - milliseconds(age)};
}

} // namespace

LimitPermits::LimitPermits(GatewayContext &context, DatagramSocket &peers,
                           GatewayDirectory &directory)
    : context_(context), peers_(peers), directory_(directory)
{ }

bool LimitPermits::ask(TimePoint now)
{
    ServerLimits &limits = context_.registry.limits;
    forgetOldLimits(context_.registry, now);
    forgetOldLimits(kept_, now);
    std::vector<PermitQuestion> due;
    for (const auto &[id, limit] : limits) {
        if (auto question = questionDue(limits, id, now))
            due.push_back(std::move(*question));
    }
    bool permitted = false;
    for (const PermitQuestion &question : due)
        permitted = ask(question, now) || permitted;
    return permitted;
}

bool LimitPermits::ask(const PermitQuestion &question, TimePoint now)
{
    PeerGateways &gateways = directory_.gateways();
    const auto keeper = keeperOf(gateways, question.server, now);
    KeptLimit &kept = kept_[question.server];
    // Without a word of the others, each of as many as there may be grants itself its part.
    if (!keeper) {
        const double share = usedAlone / assumedGateways(context_.retryQuota);
        return takeOwn(answerAlone(kept, question, share, context_.randomUnit(), now), now);
    }
    if (*keeper == directory_.self())
        return takeOwn(answerQuestion(kept, question, now), now);
    send(gateways.at(*keeper), question, now);
    tryAgain(question, now);
    return false;
}

/// Asks silent gateways whether they are back; one that is keeps its limits again.
void LimitPermits::tryAgain(const PermitQuestion &question, TimePoint now)
{
    const PermitQuestion nothing{.server = question.server, .advertised = question.advertised};
    for (auto &[name, gateway] : directory_.gateways()) {
        if (shouldTryAgain(gateway, now))
            send(gateway, nothing, now);
    }
}

void LimitPermits::send(PeerGateway &gateway, const PermitQuestion &question, TimePoint now)
{
    const bool wasSilent = isSilent(gateway, now);
    noteAsked(gateway, now);
    if (!wasSilent && isSilent(gateway, now))
        context_.log.warn("gateway.silent", {{"address", toText(gateway.address)}});
    peers_.send(gateway.address,
                encodeMessage(PermitAsked{.server = question.server,
                                          .wanted = question.wanted,
                                          .number = question.number,
                                          .perSecond = question.advertised.perSecond,
                                          .ageMilliseconds = ageOf(question.advertised, now)}));
}

bool LimitPermits::takeOwn(const PermitAnswer &answer, TimePoint now)
{
    return takeAnswer(context_.registry.limits, answer, now);
}

void LimitPermits::take(const Endpoint &from, const PermitAsked &asked, TimePoint now)
{
    const PermitQuestion question{
        .server = asked.server,
        .wanted = asked.wanted,
        .number = asked.number,
        .advertised = advertisedLimitOf(asked.perSecond, asked.ageMilliseconds, now)};
    const PermitAnswer answer = answerQuestion(kept_[asked.server], question, now);
    peers_.send(from,
                encodeMessage(PermitTold{.server = answer.server,
                                         .number = answer.number,
                                         .granted = answer.granted,
                                         .nextInMilliseconds =
                                             static_cast<std::uint32_t>(answer.nextIn.count()),
                                         .perSecond = answer.advertised.perSecond,
                                         .ageMilliseconds = ageOf(answer.advertised, now)}));
}

bool LimitPermits::take(const Endpoint &from, const PermitTold &told, TimePoint now)
{
    noteHeard(directory_.gateways(), from);
    const PermitAnswer answer{.server = told.server,
                              .number = told.number,
                              .granted = told.granted,
                              .nextIn = milliseconds(told.nextInMilliseconds),
                              .advertised =
                                  advertisedLimitOf(told.perSecond, told.ageMilliseconds, now)};
    return takeAnswer(context_.registry.limits, answer, now);
}

} // namespace wisteria
