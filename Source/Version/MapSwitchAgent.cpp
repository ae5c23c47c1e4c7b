#include "Version/MapSwitchAgent.h"

namespace wisteria {

namespace {

MapSwitchContext contextOf(const GroupAgent &agent)
{
    return {agent.group, agent.timing, agent.guards};
}

} // namespace

GroupAgent makeGroupAgent(const Member &self, std::uint32_t ranks, const MapSwitchTiming &timing,
                          const MapSwitchGuards &guards, TimePoint now)
{
    GroupAgent agent;
    agent.timing = timing;
    agent.guards = guards;
    agent.rank.self = self;
    agent.rank.startedAt = now;
    agent.coordinator.lease.self = self;
    agent.coordinator.lease.observedAt = now;
    agent.coordinator.ranks = ranks;
    return agent;
}

void onLogAnswered(GroupAgent &agent, TimePoint now)
{
    agent.rank.logAnsweredAt = now;
}

void onGroupMessage(GroupAgent &agent, TimePoint now, std::uint32_t fromRank,
                    const v1::GroupMessage &message, MapSwitchActions &actions)
{
    switch (message.message_case()) {
    case v1::GroupMessage::kStage:
    case v1::GroupMessage::kArm:
    case v1::GroupMessage::kCancel:
        onGroupOrder(agent.rank, contextOf(agent), now, fromRank, message, actions);
        break;
    case v1::GroupMessage::kReport:
        onRankReport(agent.coordinator, message.report());
        break;
    default:
        break;
    }
}

void onEngineAnswer(GroupAgent &agent, TimePoint now, std::uint64_t sequence,
                    const EngineStatus &status)
{
    onEngineStatus(agent.rank, contextOf(agent), now, sequence, status);
    // A restarted engine is a new incarnation, which can't go on as holder of the old one's lease.
    agent.coordinator.lease.self = agent.rank.self;
}

void advanceGroupAgent(GroupAgent &agent, TimePoint now, MapSwitchActions &actions)
{
    const MapSwitchContext context = contextOf(agent);
    advanceRank(agent.rank, context, now, actions);
    agent.coordinator.draining = agent.rank.draining;
    advanceCoordinator(agent.coordinator, context, now, agent.rank.logAnsweredAt,
                       isMember(agent.rank, agent.group), actions);
}

bool refusesCallers(const GroupAgent &agent, TimePoint now)
{
    return isStalled(agent.rank, contextOf(agent), now);
}

} // namespace wisteria
