#include <algorithm>

#include "Request/GateQueue.h"
#include "Request/KeyHome.h"
#include "Version/ConfigJudge.h"

namespace wisteria {

namespace {

std::vector<HomeMember> homeMembers(const ConfigState &config, const std::string &service)
{
    std::vector<HomeMember> members;
    for (const auto &[key, object] : config.objects) {
        if (key.kind != v1::OBJECT_KIND_BACKEND_SERVER)
            continue;
        const v1::BackendServer &server = object.object().backend_server();
        if (server.service() == service && !server.draining())
            members.push_back({server.name(), server.agent_address(), server.vm()});
    }
    return members;
}

/// Accepted changes after the version in force, up to the new one; more than one means that
/// versions in between were never in force here.
bool everyVersionSeen(const ConfigState &config, std::uint64_t version)
{
    // What happened before the window is not remembered.
    if (config.position > version + changeWindow)
        return false;
    const auto newer = [version](const auto &item) {
        return item.second.accepted() && item.second.offset() > version;
    };
    return std::count_if(config.seen.begin(), config.seen.end(), newer) == 1;
}

void takeDeclared(GateState &state, const ConfigState &config)
{
    const auto own = config.objects.find({v1::OBJECT_KIND_BACKEND_SERVER, state.ownName});
    state.configured = own != config.objects.end();
    if (!state.configured)
        return;
    state.declared = own->second.object().backend_server();
    // Another process was declared under this name at another address: it is the home now.
    if (!state.ownAddress.empty() && state.declared.agent_address() != state.ownAddress)
        state.configured = false;
    const auto service = config.objects.find({v1::OBJECT_KIND_SERVICE, state.declared.service()});
    if (service == config.objects.end())
        state.configured = false;
    else
        state.service = service->second.object().service();
}

} // namespace

GateActions setGateConfiguration(GateState &state, const ConfigState &config,
                                 const std::string &ownName, TimePoint, WallTime wall)
{
    GateActions actions;
    if (state.tenure.begun && config.version <= state.configVersion)
        return actions;
    const bool contiguous = state.tenure.begun && everyVersionSeen(config, state.configVersion);
    state.ownName = ownName;
    state.tenure.ownName = ownName;
    state.configVersion = config.version;
    takeDeclared(state, config);
    state.tenure.service = state.service.name();
    // An earlier life of this process, or a home of a version not seen here, may have run any key
    // made until now. Keys ahead of our clock by the allowance are let in, hence twice.
    if (!contiguous)
        state.keys.floor = std::max(state.keys.floor, wall + 2 * clockSkewAllowance);
    setHomes(state.tenure, homeMembers(config, state.service.name()), config.version, contiguous);
    refuseQueued(state, v1::REASON_NOT_HOME, shortGateRetry, actions, [&](const GateRun &run) {
        return run.key && state.guards.homeOnly
            && !isHome(state.tenure, canonicalKey(run.head.key()));
    });
    if (!state.configured || state.declared.draining()) {
        refuseQueued(state, v1::REASON_LEAVING, longGateRetry, actions,
                     [](const GateRun &) { return true; });
    }
    return actions;
}

v1::LoadReport loadReport(const GateState &state)
{
    v1::LoadReport report;
    report.set_running(state.running.size());
    report.set_queued(state.queue.size());
    report.set_concurrency(slots(state));
    report.set_service_time_us(state.serviceTime.count());
    report.set_leaving(state.leaving || state.declared.draining());
    report.set_backend_down(!state.backendUp || state.backendStalled);
    return report;
}

std::vector<HandoverWanted> handoversWanted(const GateState &state)
{
    return pendingReleases(state.tenure);
}

void handoverAnswered(GateState &state, const std::string &formerHome,
                      const v1::KeyHandoverReply &reply, TimePoint, WallTime wall)
{
    if (reply.released())
        released(state.tenure, formerHome, reply.config_version(), wall);
}

void vmGone(GateState &state, const std::string &vm, TimePoint, WallTime wall)
{
    releasedByVm(state.tenure, vm, wall);
}

v1::KeyHandoverReply answerHandover(const GateState &state, const v1::KeyHandover &question)
{
    v1::KeyHandoverReply reply;
    reply.set_released(state.configVersion >= question.config_version());
    reply.set_config_version(state.configVersion);
    return reply;
}

} // namespace wisteria
