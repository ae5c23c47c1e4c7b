#pragma once

#include <memory>
#include <string>

#include "Process/MapSwitchRunner.h"
#include "Process/Metrics.h"
#include "Version/ExpertMap.h"

namespace wisteria {

/// Decides the placement of a group's experts while its agent coordinates the group, on a thread of
/// its own, since a decision takes tens of milliseconds and the engine's reports are waited for.
class PlacementRunner
{
public:
    /// @param group What operators declared of the group.
    /// @param engineUrl Where the engine reports expert loads (GET /loads).
    /// @param reportInterval Time between two reports and decisions.
    /// @param runner Carries the maps to the ranks; outlives this object, as metrics do.
    PlacementRunner(const RankGroup &group, const std::string &groupName,
                    const std::string &engineUrl, MapSwitchRunner &runner, Metrics &metrics,
                    milliseconds reportInterval = milliseconds(1000));

    /// Stops and waits for the thread, about a second at most.
    ~PlacementRunner();
    PlacementRunner(const PlacementRunner &) = delete;
    PlacementRunner &operator=(const PlacementRunner &) = delete;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
