#include <algorithm>

#include "Request/AttemptQueue.h"
#include "Request/KeyHashing.h"
#include "Version/ChangeValidation.h"

// Defines the functions of AgentAdmission.h on configuration, load reports and handover of keys.

namespace wisteria {

namespace {

std::vector<OwnerCandidate> ownerCandidates(const ConfigState &config, const std::string &service)
{
    std::vector<OwnerCandidate> members;
    for (const auto &[key, object] : config.objects) {
        if (key.kind != v1::OBJECT_KIND_BACKEND_SERVER)
            continue;
        const v1::BackendServer &server = object.object().backend_server();
        if (server.service() == service && !server.draining())
            members.push_back({server.name(), server.agent_address(), server.vm()});
    }
    return members;
}

/// Whether `version`, the one in force, directly precedes the new configuration. More than one
/// accepted change after it means that versions in between were never in force here.
bool directlyPrecedes(const ConfigState &config, std::uint64_t version)
{
    // Changes older than the window are not kept.
    if (config.position > version + changeWindow)
        return false;
    const auto newer = [version](const auto &item) {
        return item.second.accepted() && item.second.offset() > version;
    };
    return std::count_if(config.seen.begin(), config.seen.end(), newer) == 1;
}

void applyDeclared(AdmissionState &state, const ConfigState &config)
{
    const auto own = config.objects.find({v1::OBJECT_KIND_BACKEND_SERVER, state.ownName});
    state.configured = own != config.objects.end();
    if (!state.configured)
        return;
    state.declared = own->second.object().backend_server();
    // Another process is declared under this name at another address: it owns the keys now.
    if (!state.ownAddress.empty() && state.declared.agent_address() != state.ownAddress)
        state.configured = false;
    const auto service = config.objects.find({v1::OBJECT_KIND_SERVICE, state.declared.service()});
    if (service == config.objects.end())
        state.configured = false;
    else
        state.service = service->second.object().service();
}

} // namespace

AdmissionActions setAdmissionConfiguration(AdmissionState &state, const ConfigState &config,
                                           const std::string &ownName, TimePoint, WallTime wall)
{
    AdmissionActions actions;
    if (state.ownership.begun && config.version <= state.configVersion)
        return actions;
    const bool contiguous = state.ownership.begun && directlyPrecedes(config, state.configVersion);
    state.ownName = ownName;
    state.ownership.ownName = ownName;
    state.configVersion = config.version;
    applyDeclared(state, config);
    state.ownership.service = state.service.name();
    // An earlier incarnation of this process, or an owner of a version not seen here, may have run
    // any key created until now. Its clock may be ahead of ours by the allowance, and it accepted
    // keys ahead of its clock by the allowance, hence twice.
    if (!contiguous)
        state.keys.floor = std::max(state.keys.floor, wall + 2 * clockSkewAllowance);
    setOwnerCandidates(state.ownership, ownerCandidates(config, state.service.name()),
                       config.version, contiguous);
    refuseQueued(state, v1::REASON_NOT_HOME, shortAdmissionRetry, actions,
                 [&](const AgentAttempt &run) {
                     return run.key && state.guards.ownerOnly
                         && !isOwner(state.ownership, canonicalKey(run.head.key()));
                 });
    if (!state.configured || state.declared.draining()) {
        refuseQueued(state, v1::REASON_LEAVING, longAdmissionRetry, actions,
                     [](const AgentAttempt &) { return true; });
    }
    return actions;
}

v1::LoadReport loadReport(const AdmissionState &state)
{
    v1::LoadReport report;
    report.set_running(state.running.size());
    report.set_queued(state.queue.size());
    report.set_concurrency(slots(state));
    report.set_service_time_us(state.serviceTime.count());
    report.set_leaving(state.draining || state.declared.draining());
    report.set_backend_down(!state.backendUp || state.backendStalled);
    return report;
}

std::vector<HandoverRequest> pendingHandovers(const AdmissionState &state)
{
    return pendingReleases(state.ownership);
}

void handoverAnswered(AdmissionState &state, const std::string &formerOwner,
                      const v1::KeyHandoverReply &reply, TimePoint, WallTime wall)
{
    if (reply.released())
        noteReleased(state.ownership, formerOwner, reply.config_version(), wall);
}

void vmGone(AdmissionState &state, const std::string &vm, TimePoint, WallTime wall)
{
    releaseByVm(state.ownership, vm, wall);
}

v1::KeyHandoverReply answerHandover(const AdmissionState &state, const v1::KeyHandover &request)
{
    v1::KeyHandoverReply reply;
    reply.set_released(state.configVersion >= request.config_version());
    reply.set_config_version(state.configVersion);
    return reply;
}

} // namespace wisteria
