#pragma once

#include <cstddef>
#include <vector>

#include "Process/Endpoint.h"
#include "Process/Time.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Expert counts of several ranks, which one sidecar sums up for the requester. A value type
/// without I/O.
///
/// Only the counts of all ranks estimate the demand well: a rank reads about four prompts per
/// second, and each prompt prefers different experts. The separate counts of all ranks would
/// saturate the link of the leader's VM, so sidecars sum them up on the way.
struct CountsAggregation
{
    Endpoint requester;
    TimePoint since;
    /// Longest wait for the replies; later ones go into the next sum.
    milliseconds timeout{0};
    /// Number of sidecars that have not replied yet.
    std::size_t awaited = 0;
    CountsReply sum;
};

/// Adds the counts of one rank, or the sum of several. A reply of an older epoch is
/// ignored, whatever its group. Otherwise one of another group, or of a newer epoch after the group
/// was re-formed, replaces the sum. A reply whose number of counts differs only adds to `ranks` and
/// may raise `passes`. Every reply, also an ignored one, reduces `awaited`.
void addCounts(CountsAggregation &aggregation, const CountsReply &reply);

/// Returns whether the sum is to be sent now: all sidecars have replied, or the timeout has passed.
bool isDue(const CountsAggregation &aggregation, TimePoint now);

/// Removes the due sums from the list and returns them. They must be removed before any of them is
/// sent, because sending can change the list: a sum that this process requested while it was the
/// leader may be due when it no longer is, and is then added to another sum of the list. A change
/// during an iteration over the list crashes the process, or makes it send one sum so often that
/// its link is saturated for minutes.
std::vector<CountsAggregation> extractDue(std::vector<CountsAggregation> &aggregations,
                                          TimePoint now);

} // namespace wisteria
