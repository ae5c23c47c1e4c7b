#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "Peer.pb.h"
#include "Process/AgentSettings.h"
#include "Process/EventLoop.h"
#include "Process/Metrics.h"

namespace wisteria {

/// What an agent's group tells the rest of the process; called on the control loop.
struct AgentGroupEvents
{
    /// The rank waits for a map switch, or no longer does.
    std::function<void(bool)> stalled;
    /// A newer incarnation of the agent has taken this one's place.
    std::function<void()> superseded;
};

/// An agent's part in its rank group: the connections that the map switch needs, and its runner.
class AgentGroup
{
public:
    /// @param loop The control loop; outlives the group. Build and destroy it while the loop does
    /// not run.
    /// @param incarnation Differs between lives of the process and only grows.
    AgentGroup(EventLoop &loop, const AgentGroupSettings &settings, const std::string &logUrl,
               std::uint64_t incarnation, Metrics &metrics, AgentGroupEvents events);
    ~AgentGroup();
    AgentGroup(const AgentGroup &) = delete;
    AgentGroup &operator=(const AgentGroup &) = delete;

    /// Takes a message of another agent. Any thread may call it.
    void deliver(const v1::GroupMessage &message);

    /// Takes part in no new switch any more. Any thread may call it.
    void beginLeaving();

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
