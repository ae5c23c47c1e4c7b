#pragma once

#include <cstdint>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/ExpertMap.h"

namespace wisteria {

/// Transfer of one replica's weights from the weight store to a rank.
struct StagedTransfer
{
    std::uint32_t rank = 0;
    std::uint32_t layer = 0;
    ExpertId expert = 0;
    std::uint64_t bytes = 0;
    /// Maximum rate of this transfer.
    double bytesPerSecond = 0;
    /// Earliest begin and expected end, relative to the begin of the staging. They are durations
    /// and not times, because the clocks of VMs are not synchronized.
    milliseconds beginAfter{0};
    milliseconds endAfter{0};

    bool operator==(const StagedTransfer &) const = default;
};

/// All transfers of a switch of maps, in the order in which they begin. The
/// current map stays in force until the group agrees on the switch.
struct StagingPlan
{
    std::vector<StagedTransfer> transfers;
    /// Expected time until the last transfer ends.
    milliseconds duration{0};
};

/// Plans the transfers from one map to another. One transfer runs at a time at the full rate of the
/// store, and consecutive ones go to different ranks where possible, so that no rank's link carries
/// the full rate for long.
/// @return BadSettings for an invalid group. BadInput when a map does not fit the group, or when a
/// rank lacks the memory to hold the new replicas beside its current ones.
Result<StagingPlan> planStaging(const RankGroup &group, const ExpertMap &current,
                                const ExpertMap &next);

} // namespace wisteria
