#include "Programs/Gateway/OperatorRecords.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Programs/Gateway/GatewayMetrics.h"
#include "platform/ConfigurationCodec.h"

namespace wisteria {

namespace {

bool hasServerIn(const BackendRegistry &registry, const std::string &domain)
{
    return std::any_of(
        registry.backends.begin(), registry.backends.end(),
        [&domain](const auto &item) { return item.second.entry.failureDomain == domain; });
}

/// Domains that are evacuated according to the newest records.
std::set<std::string> evacuatedIn(const std::vector<platform::KeyedRecord> &records)
{
    std::set<std::string> domains;
    for (const platform::KeyedRecord &record : records) {
        const auto evacuation = platform::decodeEvacuation(record);
        if (evacuation && evacuation->evacuated)
            domains.insert(evacuation->domain);
    }
    return domains;
}

} // namespace

OperatorRecords::OperatorRecords(GatewayContext &context, std::function<void()> evacuationsChanged)
    : context_(context), evacuationsChanged_(std::move(evacuationsChanged))
{ }

void OperatorRecords::apply(const platform::KeyedRecord &record, TimePoint now)
{
    if (applyRecord(record, now))
        noteEvacuationsChanged();
}

void OperatorRecords::applyAll(const std::vector<platform::KeyedRecord> &records, TimePoint now)
{
    const auto restored =
        restoreOtherDomains(context_.registry.evacuatedDomains, evacuatedIn(records), now);
    for (const RestoredDomain &domain : restored)
        noteRestored(domain);
    bool changed = !restored.empty();
    for (const platform::KeyedRecord &record : records)
        changed = applyRecord(record, now) || changed;
    if (changed)
        noteEvacuationsChanged();
}

/// @return Whether an evacuation began or ended.
bool OperatorRecords::applyRecord(const platform::KeyedRecord &record, TimePoint now)
{
    if (const auto evacuation = platform::decodeEvacuation(record))
        return applyEvacuation(*evacuation, record, now);
    applyConfiguration(record, now);
    return false;
}

void OperatorRecords::applyConfiguration(const platform::KeyedRecord &record, TimePoint now)
{
    if (record.key != platform::configurationKey || record.value.empty())
        return;
    auto decoded = platform::decodeConfiguration(record.value);
    if (decoded.has_error()) {
        context_.log.warn("config.refused", {{"reason", decoded.error().message}});
        return;
    }
    const std::uint64_t version = decoded.value().version;
    // If the store no longer has the next record, the newest records are read again. They must not
    // restore an older version.
    if (context_.routes && version <= context_.routes->configuration().version)
        return;
    const auto earlier = std::exchange(
        context_.routes,
        std::make_shared<const RouteTable>(
            std::make_shared<const ServiceConfiguration>(std::move(decoded.value()))));
    if (earlier)
        context_.poison.noteConfigurations(earlier->configuration(),
                                           context_.routes->configuration());
    setColdServices(context_.registry.coldServers, context_.registry.limits,
                    context_.routes->configuration().services, now);
    for (const auto &[name, service] : context_.routes->configuration().services) {
        if (!service.coldProblem.empty()) {
            context_.log.warn("config.bad_cold_phase",
                              {{"service", name}, {"reason", service.coldProblem}});
        }
    }
    context_.log.info("config.in_force", {{"version", version}, {"offset", record.offset}});
}

/// @return Whether an evacuation began or ended.
bool OperatorRecords::applyEvacuation(const platform::EvacuationRecord &evacuation,
                                      const platform::KeyedRecord &record, TimePoint now)
{
    EvacuatedDomains &domains = context_.registry.evacuatedDomains;
    if (!evacuation.evacuated) {
        const auto restored = restoreDomain(domains, evacuation.domain, now);
        if (restored)
            noteRestored(*restored);
        return restored.has_value();
    }
    if (evacuation.domain.empty()) {
        context_.log.warn("domain.bad_record",
                          {{"key", record.key},
                           {"reason",
                            "the key names no failure domain, so the record has no effect; write "
                            "one whose key ends in the domain's name, and delete this one"}});
        return false;
    }
    // The operator wants to prevent requests to the domain, so the key alone decides.
    if (!evacuation.readable) {
        context_.log.warn("domain.bad_record",
                          {{"key", record.key},
                           {"reason",
                            "the value is not JSON; the domain counts as evacuated, write {} to "
                            "keep it so or delete the record"}});
    }
    if (!evacuateDomain(domains, evacuation.domain, now))
        return false;
    context_.log.info("domain.evacuated",
                      {{"domain", evacuation.domain}, {"offset", record.offset}});
    return true;
}

void OperatorRecords::noteRestored(const RestoredDomain &restored)
{
    context_.log.info(
        "domain.restored",
        {{"domain", restored.domain}, {"evacuated_s", secondsOf(restored.evacuatedFor)}});
    // A gauge can't be removed; its last age would look like an evacuation that still lasts.
    setEvacuationAge(context_.metrics, restored.domain, milliseconds(0));
}

void OperatorRecords::noteEvacuationsChanged()
{
    logUnknownDomains();
    evacuationsChanged_();
}

void OperatorRecords::logUnknownDomains()
{
    if (!context_.backendsKnown)
        return;
    const auto hasServer = [this](const std::string &domain) {
        return hasServerIn(context_.registry, domain);
    };
    for (const std::string &domain :
         takeUnknownDomains(context_.registry.evacuatedDomains, hasServer)) {
        context_.log.warn("domain.unknown",
                          {{"domain", domain},
                           {"reason",
                            "no backend server is known in it; check the name, or delete the "
                            "record"}});
    }
}

void OperatorRecords::updateMetrics(TimePoint now)
{
    const EvacuatedDomains &domains = context_.registry.evacuatedDomains;
    setEvacuatedDomains(context_.metrics, domains.size());
    for (const auto &[domain, evacuation] : domains)
        setEvacuationAge(context_.metrics, domain, remaining(evacuation.knownSince, now));
}

} // namespace wisteria
