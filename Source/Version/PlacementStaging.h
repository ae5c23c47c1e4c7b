#pragma once

#include <cstdint>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/ExpertMap.h"

namespace wisteria {

/// One replica's weights on their way from the weight store to a rank.
struct StagedTransfer
{
    std::uint32_t rank = 0;
    std::uint32_t layer = 0;
    ExpertId expert = 0;
    std::uint64_t bytes = 0;
    /// Rate that this transfer may take, in bytes a second.
    double bytesPerSecond = 0;
    /// When it may begin and is expected to end, counted from the beginning of the staging. Spans
    /// and not moments, as the clocks of VMs are not compared.
    milliseconds beginAfter{0};
    milliseconds endAfter{0};

    bool operator==(const StagedTransfer &) const = default;
};

/// All transfers that a switch of maps needs, in the order of their beginning. Staging has no
/// effect on steps: the present map stays in force until the group agrees on the switch.
struct StagingPlan
{
    std::vector<StagedTransfer> transfers;
    /// Expected time until the last one has ended.
    milliseconds duration{0};
};

/// Plans the transfers from one map to another. One transfer runs at a time at the store's whole
/// rate, and consecutive ones go to different ranks where possible, so that no rank's link has to
/// take the whole rate for long.
/// @return BadInput when a map does not fit the group, or when a rank lacks the memory to hold the
/// new replicas beside all that it holds now.
Result<StagingPlan> planStaging(const RankGroup &group, const ExpertMap &current,
                                const ExpertMap &next);

} // namespace wisteria
