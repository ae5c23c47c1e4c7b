#include "Version/ConfigEffect.h"

#include <algorithm>
#include <array>
#include <set>

#include <xxhash.h>

#include "Version/ConfigObject.h"
#include "Version/ConfigView.h"

namespace wisteria {

namespace {

/// A change that leaves less than this fraction of a capacity or quota needs a confirmation.
constexpr double minRemainingFraction = 0.5;

/// Sum of the concurrency of each service's backend servers that are not draining.
std::map<std::string, std::uint64_t> capacityByService(const ConfigView &view)
{
    std::map<std::string, std::uint64_t> capacity;
    view.forEach(v1::OBJECT_KIND_BACKEND_SERVER, [&](const v1::Object &object) {
        const v1::BackendServer &server = object.backend_server();
        if (!server.draining())
            capacity[server.service()] += server.concurrency();
    });
    return capacity;
}

void addCapacityEffects(const ConfigState &state, const v1::ChangeRecord &change,
                        std::vector<std::string> &effects)
{
    const auto touches = [](const v1::ObjectChange &entry) {
        return entry.kind() == v1::OBJECT_KIND_BACKEND_SERVER;
    };
    if (std::none_of(change.changes().begin(), change.changes().end(), touches))
        return;
    const auto before = capacityByService(ConfigView(state));
    auto after = capacityByService(ConfigView(state, change));
    for (const auto &[service, oldValue] : before) {
        const std::uint64_t newValue = after[service];
        const std::string numbers = std::to_string(oldValue) + " to " + std::to_string(newValue);
        if (newValue == 0) {
            effects.push_back("service '" + service
                              + "' is left without a backend server in service");
        } else if (static_cast<double>(newValue)
                   < minRemainingFraction * static_cast<double>(oldValue)) {
            effects.push_back("service '" + service
                              + "' loses more than half of its capacity, from " + numbers
                              + " requests at once");
        }
    }
}

void addQuotaEffect(const std::string &subject, const char *field, double oldValue, double newValue,
                    std::vector<std::string> &effects)
{
    if (newValue < minRemainingFraction * oldValue)
        effects.push_back(subject + " loses more than half of its " + field);
}

void addAccessEffects(const v1::Organisation &oldValue, const v1::Organisation &newValue,
                      std::vector<std::string> &effects)
{
    // An empty list allows every service.
    if (newValue.services().empty())
        return;
    const std::string subject = "organisation '" + newValue.name() + "'";
    const std::set<std::string> stillAllowed(newValue.services().begin(),
                                             newValue.services().end());
    if (oldValue.services().empty())
        effects.push_back(subject + " is cut off from every service that it does not list");
    for (const std::string &service : oldValue.services()) {
        if (!stillAllowed.contains(service))
            effects.push_back(subject + " is cut off from service '" + service + "'");
    }
}

void addOrganisationEffects(const v1::Organisation &oldValue, const v1::Organisation &newValue,
                            std::vector<std::string> &effects)
{
    const std::string subject = "organisation '" + newValue.name() + "'";
    addQuotaEffect(subject, "requests_per_second", oldValue.requests_per_second(),
                   newValue.requests_per_second(), effects);
    addQuotaEffect(subject, "concurrency", oldValue.concurrency(), newValue.concurrency(), effects);
    addAccessEffects(oldValue, newValue, effects);
}

void addObjectEffects(const ConfigState &state, const v1::ObjectChange &entry,
                      std::vector<std::string> &effects)
{
    const ObjectKey key{entry.kind(), entry.name()};
    const auto removed = state.removed.find(key);
    if (removed != state.removed.end() && !entry.remove()) {
        effects.push_back(describeKey(key) + " comes back after version "
                          + std::to_string(removed->second) + " removed it");
    }
    const auto existing = state.objects.find(key);
    if (existing == state.objects.end())
        return;
    const bool cutsOff =
        key.kind == v1::OBJECT_KIND_SERVICE || key.kind == v1::OBJECT_KIND_ORGANISATION;
    if (entry.remove() && cutsOff)
        effects.push_back(describeKey(key) + " is removed and its callers are cut off");
    if (!entry.remove() && key.kind == v1::OBJECT_KIND_ORGANISATION) {
        addOrganisationEffects(existing->second.object().organisation(),
                               entry.content().organisation(), effects);
    }
}

std::string hexadecimal(std::uint64_t value)
{
    constexpr std::array<char, 17> digits = {"0123456789abcdef"};
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4)
        text.push_back(digits[(value >> shift) & 0xf]);
    return text;
}

std::string digestOf(const v1::ChangeRecord &change, const std::vector<std::string> &effects)
{
    std::string text = hexadecimal(contentDigest(change));
    for (const std::string &effect : effects)
        text += "\n" + effect;
    return hexadecimal(XXH3_64bits(text.data(), text.size()));
}

} // namespace

ChangeEffects effectsOf(const ConfigState &state, const v1::ChangeRecord &change)
{
    ChangeEffects effects;
    addCapacityEffects(state, change, effects.farReaching);
    for (const v1::ObjectChange &entry : change.changes())
        addObjectEffects(state, entry, effects.farReaching);
    if (!effects.farReaching.empty())
        effects.digest = digestOf(change, effects.farReaching);
    return effects;
}

} // namespace wisteria
