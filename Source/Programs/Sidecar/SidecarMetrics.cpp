#include "Programs/Sidecar/SidecarMetrics.h"

#include "Version/GroupQueries.h"

namespace wisteria {

void countSwitchEvent(Metrics &metrics, const GroupSwitch &group, SwitchEvent event, TimePoint now)
{
    metrics.count("wisteria_map_steps_total", "Steps of switches of expert maps",
                  {{"group", group.group}, {"note", eventText(event)}});
    const bool inForce = event == SwitchEvent::InForce;
    if (event != SwitchEvent::Preparing && !inForce)
        return;
    if (hasProposal(group)) {
        metrics.set("wisteria_map_skew_before", "Step-time skew that the last proposed map found",
                    group.proposal.skewBefore, {{"group", group.group}});
        metrics.set("wisteria_map_skew_after", "Step-time skew that the last proposed map leaves",
                    group.proposal.skewAfter, {{"group", group.group}});
    }
    if (inForce && group.heldSince != TimePoint()) {
        metrics.observeSeconds("wisteria_map_held_seconds",
                               "For how long a switch of maps kept a group from its passes",
                               secondsOf(remaining(group.heldSince, now)),
                               {{"group", group.group}});
    }
}

void countOrder(Metrics &metrics, RankOrderKind kind, const std::string &result)
{
    metrics.count("wisteria_orders_total", "Orders given to the own engine by result",
                  {{"kind", orderName(kind)}, {"result", result}});
}

void setSidecarState(Metrics &metrics, const SidecarState &state)
{
    metrics.set("wisteria_engine_running", "Requests that the engine works on",
                state.report.running);
    metrics.set("wisteria_engine_waiting", "Requests that wait at the engine",
                state.report.waiting);
    metrics.set("wisteria_engine_pace", "1 for usual, above for slower", state.report.slowdown);
    metrics.set("wisteria_engine_memory_used", "Tokens in the engine's memory",
                static_cast<double>(state.report.memoryUsed));
    metrics.set("wisteria_engine_memory", "Tokens that fit into the engine's memory",
                static_cast<double>(state.report.memoryTotal));
    metrics.set("wisteria_engine_report_age_seconds", "Since the engine last answered",
                secondsOf(state.reportAge));
    metrics.set("wisteria_map_version", "Version of the expert map in force at the own rank",
                static_cast<double>(state.report.map));
    metrics.set("wisteria_group_held", "1 while the own rank holds its group",
                state.report.heldPass ? 1 : 0);
    metrics.set("wisteria_leader", "1 while this sidecar leads its engine's group",
                state.leading ? 1 : 0);
    metrics.set("wisteria_gateways", "Gateways that are told the engine's load",
                static_cast<double>(state.gateways));
    metrics.set("wisteria_log_lines_dropped", "Log lines that nobody read in time, since the start",
                static_cast<double>(state.droppedLogLines));
}

} // namespace wisteria
