#include "Programs/Gateway/LimitPermits.h"

#include <vector>

namespace wisteria {

namespace {

/// Share of a limit that gateways use together while they are not listed in the store. It is below
/// 1 because their uncoordinated requests may coincide.
constexpr double shareWhileNotListed = 0.5;

std::uint32_t ageOf(const AdvertisedLimit &advertised, TimePoint now)
{
    if (!wasAdvertised(advertised))
        return ageOfNoLimit;
    return static_cast<std::uint32_t>(remaining(advertised.receivedAt, now).count());
}

AdvertisedLimit advertisedLimitOf(const std::optional<double> &perSecond, std::uint32_t age,
                                  TimePoint now)
{
    if (age == ageOfNoLimit)
        return {};
    return {.perSecond = perSecond, .receivedAt = now - milliseconds(age)};
}

} // namespace

LimitPermits::LimitPermits(GatewayContext &context, DatagramSocket &socket,
                           GatewayDirectory &directory)
    : context_(context), socket_(socket), directory_(directory)
{ }

bool LimitPermits::requestPermits(TimePoint now)
{
    ServerLimits &limits = context_.registry.limits;
    removeExpiredLimits(context_.registry, now);
    removeExpiredLimits(ownedLimits_, now);
    std::vector<PermitRequest> due;
    for (const auto &[id, limit] : limits) {
        if (auto request = nextPermitRequest(limits, id, now))
            due.push_back(std::move(*request));
    }
    bool permitted = false;
    for (const PermitRequest &request : due)
        permitted = requestPermit(request, now) || permitted;
    return permitted;
}

bool LimitPermits::requestPermit(const PermitRequest &request, TimePoint now)
{
    PeerGateways &gateways = directory_.gateways();
    const auto owner = limitOwnerOf(gateways, request.server, now);
    OwnedLimit &owned = ownedLimits_[request.server];
    // While not listed, each of the assumed number of gateways grants itself an equal share.
    if (!owner) {
        const double share = shareWhileNotListed / assumedGateways(context_.retryQuota);
        return applyOwnReply(answerWithoutPeers(owned, request, share, context_.randomUnit(), now),
                             now);
    }
    if (*owner == directory_.self())
        return applyOwnReply(answerPermitRequest(owned, request, now), now);
    send(gateways.at(*owner), request, now);
    probeUnresponsive(request, now);
    return false;
}

/// Probes unresponsive gateways. One that replies owns its limits again.
void LimitPermits::probeUnresponsive(const PermitRequest &request, TimePoint now)
{
    const PermitRequest probe{.server = request.server, .advertised = request.advertised};
    for (auto &[name, gateway] : directory_.gateways()) {
        if (shouldProbe(gateway, now))
            send(gateway, probe, now);
    }
}

void LimitPermits::send(PeerGateway &gateway, const PermitRequest &request, TimePoint now)
{
    const bool wasUnresponsive = isUnresponsive(gateway, now);
    noteRequestSent(gateway, now);
    if (!wasUnresponsive && isUnresponsive(gateway, now))
        context_.log.warn("gateway.silent", {{"address", toText(gateway.address)}});
    const auto coldRate = rateOf(request.cold, now);
    const auto coldTime = static_cast<std::uint32_t>(remainingTime(request.cold, now).count());
    socket_.send(
        gateway.address,
        encodeMessage(PermitRequestMessage{.server = request.server,
                                           .wanted = request.wanted,
                                           .number = request.number,
                                           .perSecond = request.advertised.perSecond,
                                           .ageMilliseconds = ageOf(request.advertised, now),
                                           .coldPerSecond = coldRate,
                                           .coldMilliseconds = coldRate ? coldTime : 0}));
}

bool LimitPermits::applyOwnReply(const PermitReply &reply, TimePoint now)
{
    return applyPermitReply(context_.registry.limits, reply, now);
}

void LimitPermits::receive(const Endpoint &from, const PermitRequestMessage &message, TimePoint now)
{
    PermitRequest request{.server = message.server,
                          .wanted = message.wanted,
                          .number = message.number,
                          .advertised =
                              advertisedLimitOf(message.perSecond, message.ageMilliseconds, now)};
    if (message.coldPerSecond) {
        request.cold = {.perSecond = *message.coldPerSecond,
                        .until = now + milliseconds(message.coldMilliseconds)};
    }
    OwnedLimit &owned = ownedLimits_[message.server];
    // The other gateway may not know yet that the server is cold.
    const auto own = context_.registry.limits.find(message.server);
    if (own != context_.registry.limits.end())
        noteColdLimit(owned, currentLimit(own->second.cold, now), now);
    const PermitReply reply = answerPermitRequest(owned, request, now);
    socket_.send(from,
                 encodeMessage(PermitReplyMessage{
                     .server = reply.server,
                     .number = reply.number,
                     .granted = reply.granted,
                     .nextInMilliseconds = static_cast<std::uint32_t>(reply.nextIn.count()),
                     .perSecond = reply.advertised.perSecond,
                     .ageMilliseconds = ageOf(reply.advertised, now)}));
}

bool LimitPermits::receive(const Endpoint &from, const PermitReplyMessage &message, TimePoint now)
{
    noteMessageReceived(directory_.gateways(), from);
    const PermitReply reply{.server = message.server,
                            .number = message.number,
                            .granted = message.granted,
                            .nextIn = milliseconds(message.nextInMilliseconds),
                            .advertised =
                                advertisedLimitOf(message.perSecond, message.ageMilliseconds, now)};
    return applyPermitReply(context_.registry.limits, reply, now);
}

} // namespace wisteria
