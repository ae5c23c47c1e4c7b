#include "Programs/Gateway/ServerSignals.h"

#include "Programs/Gateway/BackendList.h"

namespace wisteria {

namespace {

void applyLimit(GatewayContext &context, const BackendAnswer &answer, TimePoint now)
{
    // A refusal without a limit does not remove the advertised one.
    if (answer.head.notExecuted && !answer.head.limitPerSecond)
        return;
    const AdvertisedLimit advertised{.perSecond = answer.head.limitPerSecond, .receivedAt = now};
    if (!noteAdvertisedLimit(context.registry.limits, answer.backend, advertised))
        return;
    context.log.info("backend.limit",
                     {{"id", answer.attempt},
                      {"backend", answer.backend},
                      {"limited", advertised.perSecond.has_value()},
                      {"per_second", advertised.perSecond.value_or(0)}});
}

void applyCold(GatewayContext &context, const BackendAnswer &answer, TimePoint now)
{
    BackendRegistry &registry = context.registry;
    const auto backend = registry.backends.find(answer.backend);
    if (noteColdProblem(registry.coldServers, answer.backend, answer.head.coldProblem, now)) {
        context.log.warn("backend.bad_cold_time",
                         {{"backend", answer.backend}, {"reason", answer.head.coldProblem}});
    }
    if (answer.head.coldRemaining <= milliseconds(0) || backend == registry.backends.end())
        return;
    const bool wasCold = isCold(registry.coldServers, answer.backend, now);
    const std::string &service = backend->second.entry.service;
    beginColdPhase(registry.coldServers, registry.limits, answer.backend,
                   {.service = service, .until = now + answer.head.coldRemaining});
    if (!wasCold)
        logColdBegin(context.log, registry.coldServers, answer.backend, now);
}

void applyBackoff(GatewayContext &context, const BackendAnswer &answer, TimePoint now)
{
    const milliseconds retryAfter = answer.head.retryAfter;
    if (retryAfter <= milliseconds(0))
        return;
    noteBackoff(context.registry, answer.backend, now + retryAfter, now);
    context.log.info(
        "backend.rest",
        {{"id", answer.attempt}, {"backend", answer.backend}, {"for_s", secondsOf(retryAfter)}});
}

void applyDraining(GatewayContext &context, const BackendAnswer &answer, TimePoint now)
{
    if (answer.head.draining && noteDraining(context.registry, answer.backend, now))
        context.log.info("backend.leaving", {{"id", answer.attempt}, {"backend", answer.backend}});
}

} // namespace

void noteServerSignals(GatewayContext &context, const BackendAnswer &answer, TimePoint now)
{
    // Another server has the address now, and its signals don't apply to the expected one.
    if (answer.head.misdirected)
        return;
    applyLimit(context, answer, now);
    applyCold(context, answer, now);
    applyBackoff(context, answer, now);
    applyDraining(context, answer, now);
}

} // namespace wisteria
