#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Connection/GroupLink.h"
#include "Connection/LogClient.h"
#include "Connection/RankClient.h"
#include "Process/EventLoop.h"
#include "Process/Metrics.h"
#include "Version/MapSwitchTypes.h"

namespace wisteria {

/// What a runner knows about its group, for status and the request gate.
struct MapSwitchStatus
{
    /// Version of the map in force, as far as the stream was read.
    std::uint64_t mapVersion = 0;
    std::string mapDigest;
    /// Callers are to be refused with REASON_MAP_SWITCH.
    bool stalled = true;
    bool coordinates = false;
    /// This incarnation was replaced by a newer one; the process should end.
    bool superseded = false;
    bool logAnswers = false;
};

/// Identity of the agent in its group.
struct GroupMembership
{
    std::string group;
    Member self;
    std::uint32_t ranks = 0;
    /// Whether the engine refuses old fencing numbers.
    bool engineChecksFencing = false;
};

/// Connections that a runner works with. All outlive it. The log is met through two clients, since
/// one waits in a read while the other appends.
struct MapSwitchPorts
{
    LogClient &reader;
    LogClient &appender;
    RankClient &engine;
    GroupLink &link;
};

/// Called on the control loop whenever stalled, superseded, the coordinator or the map changes.
using MapSwitchChanged = std::function<void(const MapSwitchStatus &)>;

/// Runs the agreement on a group's expert map for one agent: decisions on the control loop, and one
/// thread each for reading the log, appending and the engine, since their calls block.
class MapSwitchRunner
{
public:
    /// @param loop The control loop; outlives the runner. The runner is built before the loop runs
    /// or on its thread, and destroyed after it has stopped.
    MapSwitchRunner(EventLoop &loop, const GroupMembership &membership, MapSwitchPorts ports,
                    Metrics &metrics, MapSwitchChanged changed = {},
                    const MapSwitchTiming &timing = {});
    ~MapSwitchRunner();
    MapSwitchRunner(const MapSwitchRunner &) = delete;
    MapSwitchRunner &operator=(const MapSwitchRunner &) = delete;

    /// Takes a message of another agent. Any thread may call it.
    void deliver(const v1::GroupMessage &message);

    /// Asks for a map; has an effect while this agent coordinates. Any thread may call it.
    void want(const v1::ExpertMap &map);

    /// The group is drained: no switch is begun any more. Any thread may call it.
    void setDraining(bool draining);

    /// Any thread may call it.
    MapSwitchStatus status() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
