#include "Programs/Gateway/SidecarHellos.h"

#include <algorithm>

namespace wisteria {

namespace {

/// Interval between hellos to all sidecars. A sidecar stops reporting loads after three missed
/// hellos.
constexpr milliseconds helloInterval{600};
/// Interval between hellos to sidecars that have not reported yet. After a power failure they start
/// within some tenths of a second of the gateways, and a rank without a report soon counts as open.
constexpr milliseconds initialHelloInterval{100};
/// How long after an engine becomes known the shorter interval applies to its sidecar.
constexpr milliseconds initialHelloDuration{2000};

ExpertProfile expertProfileOf(const EngineProfile &engine)
{
    constexpr double bitsPerByte = 8;
    constexpr double millisecondsPerSecond = 1000;
    const double copySeconds = engine.linkMegabitsPerSecond > 0
        ? engine.expertMegabytes * bitsPerByte / engine.linkMegabitsPerSecond
        : 0;
    return {.sets = engine.expertSets,
            .expertsPerSet = engine.expertsPerSet,
            .expertsPerRank = engine.expertsPerRank,
            .copiesPerMap = engine.copiesPerMap,
            .copyMilliseconds = copySeconds * millisecondsPerSecond};
}

} // namespace

SidecarHellos::SidecarHellos(const GatewayContext &context, DatagramSocket &socket,
                             std::uint16_t port)
    : context_(context), socket_(socket), port_(port)
{ }

void SidecarHellos::sendDue(TimePoint now)
{
    if (!context_.canAdmit())
        return;
    const bool toAll = now - sentToAllAt_ >= helloInterval;
    if (!toAll && now - sentAt_ < initialHelloInterval)
        return;
    sentAt_ = now;
    if (toAll)
        sentToAllAt_ = now;
    for (const auto &[name, service] : context_.routes->configuration().services) {
        if (isGroup(service))
            sendHello(name, *service.engine, toAll, now);
    }
}

/// @param toAll Whether to send to all sidecars, or only to those that have not reported yet.
void SidecarHellos::sendHello(const std::string &service, const EngineProfile &engine, bool toAll,
                              TimePoint now)
{
    const std::vector<Endpoint> awaitingReport = enginesAwaitingReport(service, now);
    if (!toAll && awaitingReport.empty())
        return;
    const EngineList list = engineListOf(service, engine);
    const std::string bytes = encodeMessage(GatewayHello{.listDigest = digestOf(list)});
    for (const Endpoint &address : toAll ? list.engines : awaitingReport)
        socket_.send({address.ip, port_}, bytes);
}

std::vector<Endpoint> SidecarHellos::enginesAwaitingReport(const std::string &service,
                                                           TimePoint now) const
{
    std::vector<Endpoint> awaitingReport;
    for (const auto &[id, state] : context_.registry.backends) {
        const bool awaited = !state.reportedLoad && now - state.knownSince < initialHelloDuration;
        if (awaited && state.entry.service == service && !state.replaced)
            awaitingReport.push_back(state.entry.address);
    }
    return awaitingReport;
}

EngineList SidecarHellos::engineListOf(const std::string &service,
                                       const EngineProfile &engine) const
{
    EngineList list{.profile = expertProfileOf(engine), .engines = {}};
    for (const auto &[id, state] : context_.registry.backends) {
        if (state.entry.service == service && !state.replaced)
            list.engines.push_back(state.entry.address);
    }
    // In the registry's order, by id, lists of the same engines and so their digests could differ.
    std::sort(list.engines.begin(), list.engines.end());
    return list;
}

void SidecarHellos::sendEngineList(const Endpoint &sidecar)
{
    if (!context_.routes)
        return;
    const auto engineOnVm = std::find_if(
        context_.registry.backends.begin(), context_.registry.backends.end(),
        [&sidecar](const auto &entry) {
            return entry.second.entry.address.ip == sidecar.ip && !entry.second.replaced;
        });
    if (engineOnVm == context_.registry.backends.end())
        return;
    const std::string &name = engineOnVm->second.entry.service;
    const auto &services = context_.routes->configuration().services;
    const auto service = services.find(name);
    if (service != services.end() && isGroup(service->second))
        socket_.send(sidecar, encodeMessage(engineListOf(name, *service->second.engine)));
}

} // namespace wisteria
