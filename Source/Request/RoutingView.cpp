#include "Request/RoutingView.h"

#include <algorithm>

#include "Request/EntryRequest.h"

// Also defines the functions of EntryRequest.h that change or read an entry's routing state.

namespace wisteria {

namespace {

constexpr double defaultWeight = 1.0;
constexpr double defaultRetryRatio = 0.1;
constexpr std::uint32_t defaultMaxAttempts = 3;

/// Policy of a service without a declared one.
v1::RoutingPolicy defaultPolicy()
{
    v1::RoutingPolicy policy;
    policy.set_load_weight(defaultWeight);
    policy.set_affinity_weight(defaultWeight / 2);
    policy.set_domain_weight(defaultWeight / 10);
    policy.set_retry_ratio(defaultRetryRatio);
    policy.set_max_attempts(defaultMaxAttempts);
    return policy;
}

v1::RoutingPolicy policyOf(const ConfigState &config, const v1::Service &service)
{
    const auto found =
        config.objects.find({v1::OBJECT_KIND_ROUTING_POLICY, service.routing_policy()});
    if (found == config.objects.end())
        return defaultPolicy();
    return found->second.object().routing_policy();
}

std::size_t entryIndex(const EntryState &state)
{
    return std::count_if(state.entryNames.begin(), state.entryNames.end(),
                         [&](const std::string &name) { return name < state.ownName; });
}

/// State of a declared backend server; kept if it is declared at the same address as before.
Candidate candidateFor(const v1::BackendServer &server, const ServiceView *before)
{
    Candidate candidate;
    const Candidate *known = before ? candidateNamed(*before, server.name()) : nullptr;
    if (known && known->address == server.agent_address())
        candidate = *known;
    candidate.name = server.name();
    candidate.address = server.agent_address();
    candidate.vm = server.vm();
    candidate.failureDomain = server.failure_domain();
    candidate.concurrency = std::max<std::uint32_t>(server.concurrency(), 1);
    return candidate;
}

/// The backend servers of this entry's subset, with the state that is already known of them.
std::vector<Candidate> candidatesOf(const EntryState &state, const DeclaredService &declared,
                                    const ServiceView *before)
{
    std::vector<Candidate> candidates;
    const auto subset = subsetOf(declared.servers, entryIndex(state), state.entryNames.size(),
                                 declared.policy.subset_size());
    for (const v1::BackendServer &server : subset)
        candidates.push_back(candidateFor(server, before));
    return candidates;
}

/// Declared backend servers of a service that are not draining.
std::vector<v1::BackendServer> serversOf(const ConfigState &config, const std::string &service)
{
    std::vector<v1::BackendServer> servers;
    for (const auto &[key, object] : config.objects) {
        if (key.kind != v1::OBJECT_KIND_BACKEND_SERVER)
            continue;
        const v1::BackendServer &server = object.object().backend_server();
        if (server.service() == service && !server.draining())
            servers.push_back(server);
    }
    return servers;
}

DeclaredService declaredService(const ConfigState &config, const v1::Service &service)
{
    DeclaredService declared;
    declared.service = service;
    declared.policy = policyOf(config, service);
    declared.servers = serversOf(config, service.name());
    for (const v1::BackendServer &server : declared.servers) {
        declared.ownerAddresses[server.name()] = server.agent_address();
        declared.ownerNames.push_back(server.name());
    }
    return declared;
}

std::shared_ptr<const DeclaredRouting> declaredRouting(const ConfigState &config)
{
    auto declared = std::make_shared<DeclaredRouting>();
    declared->version = config.version;
    for (const auto &[key, object] : config.objects) {
        if (key.kind == v1::OBJECT_KIND_SERVICE)
            declared->services[key.name] = declaredService(config, object.object().service());
        if (key.kind == v1::OBJECT_KIND_ORGANISATION)
            declared->organisations[key.name] = object.object().organisation();
    }
    return declared;
}

/// The routing data of the version, or of a newer one that another thread has already built.
std::shared_ptr<const DeclaredRouting> sharedRouting(EntryShared &shared, const ConfigState &config)
{
    {
        const std::lock_guard<std::mutex> lock(shared.mutex);
        if (shared.declared->version >= config.version)
            return shared.declared;
    }
    // Built without holding the lock, which every request needs.
    auto built = declaredRouting(config);
    const std::lock_guard<std::mutex> lock(shared.mutex);
    if (shared.declared->version < built->version)
        shared.declared = std::move(built);
    return shared.declared;
}

std::map<std::string, ServiceView> viewsOf(const EntryState &state, const DeclaredRouting &declared)
{
    std::map<std::string, ServiceView> views;
    for (const auto &[name, service] : declared.services) {
        const auto before = state.services.find(name);
        const ServiceView *known = before == state.services.end() ? nullptr : &before->second;
        views[name] = {&service, candidatesOf(state, service, known)};
    }
    return views;
}

template <typename Action>
void forCandidates(EntryState &state, const std::string &name, Action action)
{
    for (auto &[serviceName, service] : state.services) {
        for (Candidate &candidate : service.candidates) {
            if (candidate.name == name)
                action(candidate);
        }
    }
}

} // namespace

const Candidate *candidateNamed(const ServiceView &service, const std::string &name)
{
    for (const Candidate &candidate : service.candidates) {
        if (candidate.name == name)
            return &candidate;
    }
    return nullptr;
}

Candidate *findCandidate(EntryState &state, const std::string &service, const std::string &name)
{
    const auto found = state.services.find(service);
    if (found == state.services.end())
        return nullptr;
    for (Candidate &candidate : found->second.candidates) {
        if (candidate.name == name)
            return &candidate;
    }
    return nullptr;
}

void setDown(Candidate &candidate, bool down, TimePoint now)
{
    if (down && !candidate.down)
        candidate.downSince = now;
    candidate.down = down;
}

void applyLoad(Candidate &candidate, const v1::LoadReport &load, TimePoint now)
{
    candidate.running = load.running();
    candidate.queued = load.queued();
    candidate.serviceTime = microseconds(load.service_time_us());
    candidate.draining = load.leaving();
    setDown(candidate, load.backend_down(), now);
    candidate.sentSinceReport = 0;
}

void setConfiguration(EntryState &state, EntryShared &shared, const ConfigState &config,
                      TimePoint now)
{
    if (config.version <= state.configVersion)
        return;
    const auto declared = sharedRouting(shared, config);
    state.services = viewsOf(state, *declared);
    // The previous views point into state.declared, so it is replaced only after them.
    state.declared = declared;
    state.configVersion = declared->version;
    const std::lock_guard<std::mutex> lock(shared.mutex);
    if (shared.limits.configVersion >= declared->version)
        return;
    shared.limits.ownName = state.ownName;
    shared.limits.entryNames = state.entryNames;
    setLimits(shared.limits, declared->organisations, declared->version, now);
}

void setEntries(EntryState &state, EntryShared &shared, const std::vector<std::string> &names,
                TimePoint now)
{
    state.entryNames = names;
    for (auto &[name, view] : state.services)
        view.candidates = candidatesOf(state, *view.declared, &view);
    const std::lock_guard<std::mutex> lock(shared.mutex);
    shared.limits.ownName = state.ownName;
    shared.limits.entryNames = names;
    setLimits(shared.limits, state.declared->organisations, shared.limits.configVersion, now);
}

void observeLoad(EntryState &state, const std::string &backendServer, const v1::LoadReport &load,
                 std::uint64_t, TimePoint now)
{
    forCandidates(state, backendServer,
                  [&load, now](Candidate &candidate) { applyLoad(candidate, load, now); });
}

void observeUnreachable(EntryState &state, const std::string &backendServer, TimePoint now)
{
    forCandidates(state, backendServer,
                  [now](Candidate &candidate) { setDown(candidate, true, now); });
}

void observeVms(EntryState &state, const std::set<std::string> &leaving)
{
    for (auto &[name, service] : state.services) {
        for (Candidate &candidate : service.candidates)
            candidate.vmLeaving = leaving.contains(candidate.vm);
    }
}

std::set<std::string> routedVms(const EntryState &state)
{
    std::set<std::string> vms;
    for (const auto &[name, service] : state.services) {
        for (const Candidate &candidate : service.candidates)
            vms.insert(candidate.vm);
    }
    return vms;
}

std::vector<std::string> heartbeatTargets(const EntryState &state)
{
    std::vector<std::string> names;
    for (const auto &[name, service] : state.services) {
        for (const Candidate &candidate : service.candidates)
            names.push_back(candidate.name);
    }
    return names;
}

std::string agentAddress(const EntryState &state, const std::string &backendServer)
{
    for (const auto &[name, service] : state.declared->services) {
        const auto owner = service.ownerAddresses.find(backendServer);
        if (owner != service.ownerAddresses.end())
            return owner->second;
    }
    return {};
}

} // namespace wisteria
