#include "Version/GroupDemand.h"

#include <algorithm>
#include <utility>

#include "Version/GroupQueries.h"

namespace wisteria {

namespace {

/// Closes a window of counts and merges it into the known demand, unless it shows a shift and
/// covers several passes.
void closeWindow(GroupSwitch &group, const ExpertProfile &profile, TimePoint now)
{
    const ExpertDemand window = std::exchange(group.window, {});
    const std::uint64_t passes = std::exchange(group.windowPasses, 0);
    group.windowRanks = 0;
    if (passes == 0)
        return;
    const bool shifted = !group.shiftWindowDiscarded
        && hasShifted(group.demand, window, currentMap(group, profile), slowdownsOf(group));
    if (shifted) {
        group.demand = {};
        group.demandShiftedAt = now;
    }
    group.shiftWindowDiscarded = shifted && passes > 1;
    if (group.shiftWindowDiscarded)
        return;
    mergeWindow(group.demand, window, now);
    group.demandIsNew = true;
}

} // namespace

void closeOverdueWindow(GroupSwitch &group, const ExpertProfile &profile,
                        const SwitchTiming &timing, TimePoint now)
{
    if (group.windowRanks > 0 && now - group.windowSince > timing.countsWindow)
        closeWindow(group, profile, now);
}

void addDemand(GroupSwitch &group, const ExpertProfile &profile, const SwitchTiming &timing,
               const CountsReply &reply, TimePoint now)
{
    if (reply.epoch != group.epoch)
        return;
    closeOverdueWindow(group, profile, timing, now);
    if (group.windowRanks == 0)
        group.windowSince = now;
    addCounts(group.window, profile, reply.counts);
    group.windowRanks += reply.ranks;
    group.windowPasses = std::max(group.windowPasses, reply.passes);
    if (group.windowRanks >= group.ranks.size())
        closeWindow(group, profile, now);
}

} // namespace wisteria
