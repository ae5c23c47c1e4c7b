#pragma once

#include <cstddef>
#include <vector>

#include "Process/Endpoint.h"
#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Counts of several ranks that one sidecar adds up for whoever asked. A plain value.
///
/// The demand for experts is known well only from all ranks: a rank reads some four prompts a
/// second, and each prompt has favourites of its own. The counts of all would fill the link of the
/// leader's VM, so sidecars add them up on the way.
struct CountsAggregation
{
    Endpoint requester;
    TimePoint since;
    /// How long the others are waited for. What comes later goes into the next sum.
    milliseconds timeout{0};
    /// Sidecars that have not answered yet.
    std::size_t awaited = 0;
    CountsReply sum;
};

/// Adds a rank's counts, or a sum of several. Those of a group that has formed anew replace the
/// older ones.
void addCounts(CountsAggregation &aggregation, const CountsReply &reply);

/// Whether the sum is to be told now.
bool isDue(const CountsAggregation &aggregation, TimePoint now);

/// Takes those out of the list that are due. They are out of it before anybody is told: a sum for
/// this process itself, asked for while it led and due when it no longer did, was added to the list
/// that was being gone through. The process crashed, at times after it had told another's sum so
/// often that its link was full for minutes.
std::vector<CountsAggregation> takeDue(std::vector<CountsAggregation> &aggregations, TimePoint now);

} // namespace wisteria
